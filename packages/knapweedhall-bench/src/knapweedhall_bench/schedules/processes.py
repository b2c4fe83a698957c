"""What all simulated processes have in common."""

from __future__ import annotations

import functools
import typing

from knapweedhall_records import bodies

if typing.TYPE_CHECKING:
    from knapweedhall_bench.schedules import world

GROUP = 'domain/a'
TICK_S = 0.05
SLICES = 4
MAX_WORK_MS = 250
LIMITS = bodies.Limits(4, 100)
SERVICES = {
    'checked': bodies.Service('divided', LIMITS, SLICES, checks_tokens=True),
    'plain': bodies.Service('divided', LIMITS, SLICES),
}
Action = typing.Callable[[], None]


class Process:
    """Something with a clock of its own that can pause."""

    def __init__(self, schedule: world.World) -> None:
        self.world = schedule
        self.paused_until = 0.0
        self.cut_until = 0.0
        self.ended = False
        self.offset = schedule.rng.uniform(0, 1000)
        self.rate = schedule.rng.choice([0.998, 0.999, 1.001, 1.002])

    def now(self) -> float:
        """Return the process's monotonic clock."""
        return self.offset + self.world.time * self.rate

    def do(self, action: Action) -> None:
        """Run an action, after the end of a pause."""
        if self.ended:
            return
        wait = self.paused_until - self.world.time
        if wait > 0:
            self.world.later(wait, functools.partial(self.do, action))
        else:
            action()
