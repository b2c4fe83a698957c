"""Slots, queue, cold start and service time; time is passed in."""

from __future__ import annotations

import typing


class Limits(typing.NamedTuple):
    """What an upstream bears.

    Attributes
    ----------
    slots : int
        Requests that run at the same time.
    queue : int
        Requests that wait for a slot.
    cold_slots : int
        Requests, running or waiting, during a cold start.
    cold_s : float
        Length of the cold start after the process begins, in seconds.
    cold_factor : float
        Factor of the service time during a cold start.
    work_s : float
        Service time in seconds.
    """

    slots: int
    queue: int
    cold_slots: int
    cold_s: float
    cold_factor: float
    work_s: float


class Capacity:
    """Decides what an upstream runs, queues or refuses.

    Attributes
    ----------
    running, waiting : int
        Requests with and without a slot.
    cold_violations, shed : int
        Requests refused because of the cold start or a full queue.
    """

    def __init__(self, limits: Limits, now_s: float) -> None:
        self.limits = limits
        self.running = 0
        self.waiting = 0
        self.cold_violations = 0
        self.shed = 0
        self.cold_until_s = now_s + limits.cold_s
        self.silent = False
        self.straggle_factor = 1.0
        self.straggle_until_s = now_s
        self.busy_until_s = now_s

    def is_cold(self, now_s: float) -> bool:
        """Return whether a cold start is in progress."""
        return now_s < self.cold_until_s

    def shows_cold(self, now_s: float) -> bool:
        """Return whether responses say that the upstream is cold."""
        return self.is_cold(now_s) and not self.silent

    def turn_cold(self, length_s: float, silent: bool, now_s: float) -> None:
        """Begin a cold start; a silent one is not told to callers."""
        self.cold_until_s = now_s + length_s
        self.silent = silent

    def straggle(self, factor: float, length_s: float, now_s: float) -> None:
        """Multiply the service time for a while."""
        self.straggle_factor = factor
        self.straggle_until_s = now_s + length_s

    def refusal(self, now_s: float) -> str | None:
        """Return why a new request is refused, and count it."""
        load = self.running + self.waiting
        if self.is_cold(now_s) and load >= self.limits.cold_slots:
            self.cold_violations += 1
            return 'cold'
        if load >= self.limits.slots + self.limits.queue:
            self.shed += 1
            return 'shed'
        return None

    def has_slot(self, now_s: float) -> bool:
        """Return whether one more request may run."""
        cold = self.is_cold(now_s)
        slots = self.limits.cold_slots if cold else self.limits.slots
        return self.running < slots

    def spend(self, cost_s: float, now_s: float) -> None:
        """Use processor time that delays the work started after it."""
        self.busy_until_s = max(self.busy_until_s, now_s) + cost_s

    def service_time_s(self, work_s: float | None, now_s: float) -> float:
        """Return how long a request that starts now runs, in seconds."""
        length_s = self.limits.work_s if work_s is None else work_s
        if now_s < self.straggle_until_s:
            length_s *= self.straggle_factor
        if self.is_cold(now_s):
            length_s *= self.limits.cold_factor
        return length_s + max(0.0, self.busy_until_s - now_s)
