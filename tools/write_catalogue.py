"""Writes docs/events.md from the event catalogue."""

from __future__ import annotations

import pathlib

from knapweedhall_events import catalogue

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'events.md'
HEAD = """# Events

Each line on a router's standard output is one JSON object: `at` (time of day,
seconds), `level`, `process`, `event` (its name) and the fields below. A field
`left_out` counts the events of the same kind that were not written, as a kind
has 20 lines a second at most (`request_failed` 500, as no failure is a sample,
and `request_answered` 2). `knapweedhallctl timeline` merges the logs of
all processes. `make catalogue` writes this page.

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
