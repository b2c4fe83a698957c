"""Decides which conditions of upstreams the coordinator announces.

It answers fleets in which many upstreams are near their limits at once: the
conditions of all of them, sent to all instances three times a second, would
take a large part of the coordinator's network link.
"""

from __future__ import annotations

import typing

from knapweedhall_routing import concurrency
from knapweedhall_routing import conditions

# Number of conditions that one heartbeat may contain for all instances
# together. With 11 bytes each and a heartbeat each 0.3 s these are 183 KB/s or
# 1.5 Mbit/s; the links of instances have 5 to 100 Mbit/s.
MAX_CONDITIONS_PER_HEARTBEAT = 5000
# Number of conditions that one heartbeat may contain in any case.
MIN_CONDITIONS = 16
# Changes from which a condition is announced again: of the load as a share of
# the limit, of the limit, the service time and the number of users as a share
# of the last ones. Smaller ones are less than the error of the measurement.
MIN_LOAD_CHANGE = 0.2
MIN_LIMIT_CHANGE = 0.05
MIN_SERVICE_CHANGE = 0.2
MIN_USERS_CHANGE = 0.3
# Largest number that messages can contain.
MAX_NUMBER = 65535


class Change(typing.NamedTuple):
    """What instances are told of one upstream.

    Attributes
    ----------
    number : int
        Number that stands for its name.
    name : str
        Its name; '' if the instances know which one has this number.
    condition : conditions.Condition or None
        Its condition; None if it is not near its limit any more.
    """

    number: int
    name: str
    condition: conditions.Condition | None


class Announcements:
    """What the instances were told in a term.

    Attributes
    ----------
    told : dict of str to conditions.Condition
        Conditions that the instances know, by upstream.
    numbers : dict of str to int
        Numbers of upstreams that the instances know.
    """

    def __init__(self) -> None:
        self.told: dict[str, conditions.Condition] = {}
        self.numbers: dict[str, int] = {}

    def changes(
        self, limits: concurrency.Limits, instances: int, now: float
    ) -> list[Change]:
        """Return what to tell all instances, the largest changes first.

        Parameters
        ----------
        limits : concurrency.Limits
            The current limits.
        instances : int
            Number of connected instances; 0 if they are told nothing.
        now : float
            Current time, seconds.
        """
        current = {}
        if limits.is_shared(instances):
            current = {
                name: known.condition(now)
                for name, known in limits.upstreams.items()
                if known.notable_until > now
            }
        ranked: list[tuple[float, str]] = []
        for name, condition in current.items():
            told = self.told.get(name)
            size = MAX_NUMBER if told is None else _size(told, condition)
            if size >= 1:
                ranked.append((size, name))
        ranked.extend(
            (float(MAX_NUMBER), name) for name in self.told.keys() - current
        )
        ranked.sort(reverse=True)
        count = MAX_CONDITIONS_PER_HEARTBEAT // max(1, instances)
        changed = []
        for _, name in ranked[: max(MIN_CONDITIONS, count)]:
            change = self._change(name, current.get(name))
            if change is not None:
                changed.append(change)
        return changed

    def _change(
        self, name: str, condition: conditions.Condition | None
    ) -> Change | None:
        known = self.numbers.get(name)
        number = len(self.numbers) if known is None else known
        if number > MAX_NUMBER:
            return None
        self.numbers[name] = number
        if condition is None:
            del self.told[name]
        else:
            self.told[name] = condition
        return Change(number, name if known is None else '', condition)

    def all(self) -> list[Change]:
        """Return what an instance that connects has to be told.

        It contains the numbers of all upstreams that were named.
        """
        return [
            Change(number, name, self.told.get(name))
            for name, number in self.numbers.items()
        ]


def _size(told: conditions.Condition, current: conditions.Condition) -> float:
    """Return the size of a change, as a multiple of one to announce."""
    return max(
        abs(current.load - told.load) / (MIN_LOAD_CHANGE * current.limit),
        abs(current.limit / told.limit - 1) / MIN_LIMIT_CHANGE,
        abs(current.service_s - told.service_s)
        / (MIN_SERVICE_CHANGE * max(0.001, told.service_s)),
        abs(current.users - told.users)
        / (MIN_USERS_CHANGE * max(1, told.users)),
    )
