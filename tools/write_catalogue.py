"""Writes docs/events.md from the catalogue of events."""

from __future__ import annotations

import pathlib

from knapweedhall_events import catalogue

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'events.md'
HEAD = """# Events

Each line on a router's standard output is one JSON object: `at` (wall clock
time, in seconds since the Unix epoch), `level`, `process`, `event` (its name),
`number` and the fields below.

At most 20 lines per second are written of each kind of event (500 of
`request_failed`, so that failures are not sampled, and 2 of
`request_answered`). The field `left_out` of the next line is the number of
events of its kind that were not written.

`knapweedhallctl timeline` merges the logs of several processes. `make
catalogue` writes this page.

| number | name | level | fields | meaning |
|---|---|---|---|---|
"""


def main() -> None:
    """Write the page."""
    rows = [
        f'| {kind.number} | {kind.name} | {kind.level} '
        f'| {", ".join(kind.fields)} | {kind.meaning} |\n'
        for _, kind in sorted(catalogue.BY_NUMBER.items())
    ]
    PAGE.write_text(HEAD + ''.join(rows))


if __name__ == '__main__':
    main()
