"""Simulated upstreams, which check whose turn it is."""

from __future__ import annotations

import functools
import typing

from knapweedhall_bench.schedules import processes
from knapweedhall_ownership import messages
from knapweedhall_records import ids

if typing.TYPE_CHECKING:
    from knapweedhall_bench.schedules import world


class Upstream(processes.Process):
    """An upstream; `plain` ones check deadlines only."""

    def __init__(self, schedule: world.World, name: str, service: str) -> None:
        super().__init__(schedule)
        self.name = name
        self.service = service
        self.incarnation = 1
        self.clear()

    def clear(self) -> None:
        """Forget everything but the name."""
        self.grants: dict[int, ids.Token] = {}
        self.deadline_ms = 0
        self.highest_term = 0
        self.running: list[tuple[int, float]] = []

    def restart(self) -> None:
        """Start another run, whose clock is lower."""
        self.incarnation += 1
        self.offset -= self.world.rng.uniform(0, 500)
        self.clear()

    def clock_ms(self) -> int:
        """Return the clock as responses carry it."""
        return int(self.now() * 1000)

    def grant(
        self, body: messages.GrantBody
    ) -> messages.GrantAnswer | int | None:
        """Apply a grant; return the answer, or the highest term."""
        if body.term < self.highest_term:
            return self.highest_term
        held = [
            messages.Grant(self.service, str(token), [number])
            for number, token in self.grants.items()
        ]
        if self.accepts(body):
            self.highest_term = body.term
            self.deadline_ms = body.deadline_ms
            self.grants = {
                number: ids.Token.parse(grant.token)
                for grant in body.grants
                for number in grant.slices
                if ids.Token.parse(grant.token)
                >= self.grants.get(number, ids.Token(0, 0))
            }
            self.check_grants()
        return messages.GrantAnswer(
            self.incarnation, self.clock_ms(), False, 4, 100, held
        )

    def accepts(self, body: messages.GrantBody) -> bool:
        """Return whether the deadline refers to this run's clock."""
        return body.incarnation == self.incarnation

    def owns(self, number: int) -> bool:
        """Return whether a grant for a slice is in force."""
        return number in self.grants and self.clock_ms() < self.deadline_ms

    def check_grants(self) -> None:
        """Note when another upstream owns one of the slices, too."""
        if self.service != 'checked':
            return
        for other in self.world.upstreams.values():
            both = [
                number
                for number in self.grants
                if self.owns(number)
                and other is not self
                and other.service == self.service
                and other.owns(number)
            ]
            if both:
                self.world.violations.append(f'two owners of slices {both}')

    def release(
        self, body: messages.ReleaseBody, answer: processes.Action
    ) -> None:
        """Give slices up; answer when none of their work runs."""
        for number in body.slices:
            if body.term >= self.highest_term:
                self.grants.pop(number, None)
        ends = [end for number, end in self.running if number in body.slices]
        wait = max([0.0, *(end - self.world.time for end in ends)])
        self.world.later(wait, functools.partial(self.do, answer))

    def work(self, number: int, token: ids.Token, deadline_ms: int) -> bool:
        """Run a request unless it is refused; check whose turn it is."""
        work_s = self.world.rng.uniform(0.0, 0.1)
        if self.clock_ms() + work_s * 1000 >= deadline_ms:
            return False
        if self.service == 'checked':
            if not self.owns(number) or self.grants[number] != token:
                return False
        key = self.service, number
        newest, owner = self.world.newest.get(key, (token, self.name))
        if token < newest and owner != self.name:
            self.world.violations.append(
                f'{key} {token} ran at {self.name} after {newest} at {owner}'
            )
        for other in self.world.upstreams.values():
            if other is not self and other.service == self.service:
                busy = [
                    end
                    for running, end in other.running
                    if running == number and end > self.world.time
                ]
                if busy and self.service == 'plain':
                    self.world.violations.append(f'slice {key} ran twice')
        self.world.newest[key] = max((newest, owner), (token, self.name))
        self.world.executed += 1
        self.running.append((number, self.world.time + work_s))
        return True
