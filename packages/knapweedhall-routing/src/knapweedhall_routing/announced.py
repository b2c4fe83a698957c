"""Which instances are alive, as the coordinators announce it."""

from __future__ import annotations

import typing

# Time for which an instance that the former coordinator announced counts
# unless the next one announces it too: a pause of up to 1.2 s, a search of up
# to 1 s and a connection of up to 0.5 s.
FORMER_S = 3.0


class AnnouncedMembers:
    """Member IDs of the live instances.

    A coordinator announces the instances that are connected to it. When it
    changes, they connect to the next one over some seconds. If each instance
    knew only the first ones, it would use too large a share of the budgets
    that all instances divide.

    Attributes
    ----------
    current : set of str
        Members that the current coordinator announced.
    former : dict of str to float
        Until when members count that only former coordinators announced,
        seconds.
    """

    def __init__(self) -> None:
        self.current: set[str] = set()
        self.former: dict[str, float] = {}

    def begin(self, now: float) -> None:
        """Begin with a coordinator, which has not announced any member."""
        until = now + FORMER_S
        self.former.update(dict.fromkeys(self.current, until))
        self.current = set()

    def update(
        self, joined: typing.Iterable[str], left: typing.Iterable[str]
    ) -> None:
        """Record that members connected to the coordinator or left it."""
        for member in joined:
            self.current.add(member)
            self.former.pop(member, None)
        self.current.difference_update(left)

    def members(self, now: float) -> set[str]:
        """Return all members that count as alive."""
        self.former = {
            member: until
            for member, until in self.former.items()
            if now < until
        }
        return self.current | self.former.keys()
