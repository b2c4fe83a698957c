"""Instance list that shows each change only after a lag."""

from __future__ import annotations

import collections
import typing

KINDS = ('entry', 'upstream')
STATES = ('live', 'leaving')
ADDRESS_FIELDS = (
    'address',
    'forward_address',
    'admin_address',
    'peer_address',
)


class Row(typing.TypedDict):
    """One registered process.

    `relays` maps the number of an asking failure domain to the addresses that
    this domain has to use instead of the direct ones.
    """

    kind: typing.Literal['entry', 'upstream']
    failure_domain: str
    state: typing.Literal['live', 'leaving']
    service: typing.NotRequired[str]
    address: typing.NotRequired[str]
    forward_address: typing.NotRequired[str]
    admin_address: typing.NotRequired[str]
    peer_address: typing.NotRequired[str]
    relays: typing.NotRequired[dict[str, dict[str, str]]]


class _Change(typing.NamedTuple):
    visible_s: float
    name: str
    row: Row | None


class InstanceList:
    """Registered processes; readers see the state of `lag_s` ago.

    Parameters
    ----------
    lag_s : float
        Time between a change and its appearance, in seconds.
    """

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.changes: collections.deque[_Change] = collections.deque()
        self.rows: dict[str, Row] = {}

    def put(self, name: str, row: Row, now_s: float) -> None:
        """Register a process or change its row."""
        self.changes.append(_Change(now_s + self.lag_s, name, row))

    def delete(self, name: str, now_s: float) -> None:
        """Remove a process."""
        self.changes.append(_Change(now_s + self.lag_s, name, None))

    def read(self, domain: int, now_s: float) -> list[dict[str, str]]:
        """Return the rows as a failure domain sees them, sorted by name.

        Parameters
        ----------
        domain : int
            Number of the asking failure domain, 0 for none.
        now_s : float
            Monotonic clock in seconds.
        """
        while self.changes and self.changes[0].visible_s <= now_s:
            change = self.changes.popleft()
            if change.row is None:
                self.rows.pop(change.name, None)
            else:
                self.rows[change.name] = change.row
        return [
            _seen_from(domain, name, row)
            for name, row in sorted(self.rows.items())
        ]


def _seen_from(domain: int, name: str, row: Row) -> dict[str, str]:
    relays = row.get('relays', {}).get(str(domain), {})
    seen = {
        'name': name,
        'kind': row['kind'],
        'service': row.get('service', ''),
        'failure_domain': row['failure_domain'],
        'state': row['state'],
    }
    for field in ADDRESS_FIELDS:
        seen[field] = relays.get(field, str(row.get(field, '')))
    return seen
