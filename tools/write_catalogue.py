"""Writes docs/events.md from the event catalogue."""

from __future__ import annotations

import pathlib

from knapweedhall_events import catalogue

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'events.md'
HEAD = """# Events

Every log line that states a fact carries a number from this table. A trace
file holds the same events as JSON lines; `knapweedhallctl timeline` merges
the traces of all processes. `make catalogue` writes this page.

| number | name | level | fields | meaning |
|---|---|---|---|---|
"""


def main() -> None:
    """Write the page."""
    rows = [
        f'| {kind.number} | {kind.name} | {kind.level} '
        f'| {", ".join(kind.fields)} | {kind.meaning} |\n'
        for _, kind in sorted(catalogue.EVENTS.items())
    ]
    PAGE.write_text(HEAD + ''.join(rows))


if __name__ == '__main__':
    main()
