"""Tests of the engine that runs work."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import unittest

from knapweedhall_events import catalogue
from knapweedhall_events import trace
from knapweedhall_records import ids

from knapweedhall_standins import capacity
from knapweedhall_standins import engine
from knapweedhall_standins import grants

TOKEN = ids.Token(1, 1)
FOREVER_S = 3600.0


def _task(
    request: str, work_s: float = 0.0, deadline_ms: int | None = None
) -> engine.Task:
    return engine.Task(request, 'k', 1, TOKEN, deadline_ms, work_s)


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """Traces of the engine are the evidence for the ten points."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'trace'
        events = trace.TraceWriter('u', self.path)
        self.addCleanup(events.close)
        self.now_s = 0.0
        limits = capacity.Limits(1, 1, 1, 0, 1, 0)
        table = grants.GrantTable(checks_tokens=True)
        self.engine = engine.Engine(
            'u', 's', table, limits, events, lambda: self.now_s
        )
        self._grant([1])

    def _grant(self, slices: list[int], deadline_ms: int = 1000) -> None:
        grant: grants.GrantFields = {
            'service': 's',
            'token': str(TOKEN),
            'slices': slices,
        }
        self.engine.apply(
            {
                'group': 'g',
                'term': 1,
                'deadline_ms': deadline_ms,
                'grants': [grant],
            }
        )

    async def _start(self, task: engine.Task) -> asyncio.Task[engine.Outcome]:
        started = asyncio.create_task(self.engine.run(task))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return started

    def _events(self) -> list[str]:
        return [
            catalogue.EVENTS[event.number].name
            for event in trace.read_trace(self.path)
        ]

    async def test_work_is_traced(self) -> None:
        """Guards against work that the checker cannot see."""
        self.assertEqual(engine.Done(), await self.engine.run(_task('r')))
        self.assertEqual(
            ['grant_accepted', 'work_started', 'work_finished'],
            self._events(),
        )

    async def test_work_ends_with_its_grant(self) -> None:
        """Guards against an effect after the grant has expired."""
        running = await self._start(_task('r', FOREVER_S))
        self.now_s = 1.0
        self.engine.expire()
        self.assertEqual(engine.Abandoned('grant-expired'), await running)

    async def test_late_timer_does_not_finish_work(self) -> None:
        """Guards against an effect after a pause of the process."""
        running = await self._start(_task('r', 0.001))
        self.now_s = 1.0
        self.assertEqual(engine.Abandoned('grant-expired'), await running)

    async def test_work_stops_at_its_deadline(self) -> None:
        """Guards against work that runs on after the request's deadline."""
        self.engine.table.checks_tokens = False
        running = await self._start(_task('r', FOREVER_S, deadline_ms=1))
        self.now_s = 0.001
        self.assertEqual(engine.Abandoned('past-deadline'), await running)
        late = await self.engine.run(_task('l', deadline_ms=1))
        self.assertEqual(engine.Refused('past-deadline'), late)

    async def test_release_waits_for_running_work(self) -> None:
        """Guards against a confirmed release while work still runs."""
        running = await self._start(_task('r', FOREVER_S))
        release = asyncio.create_task(
            self.engine.release(
                {'group': 'g', 'term': 1, 'service': 's', 'slices': [1]}
            )
        )
        await asyncio.sleep(0)
        refused = await self.engine.run(_task('late'))
        self.assertEqual(engine.Refused('draining'), refused)
        self.assertFalse(release.done())
        running.cancel()
        self.assertIsNone(await release)
        self.assertEqual({}, self.engine.table.held)
        self.assertEqual(
            ['work_abandoned', 'slices_released'], self._events()[-2:]
        )

    async def test_abandoned_release_lets_work_continue(self) -> None:
        """Guards against a slice that nobody serves after a lost command."""
        running = await self._start(_task('r', FOREVER_S))
        release = asyncio.create_task(
            self.engine.release(
                {'group': 'g', 'term': 1, 'service': 's', 'slices': [1]}
            )
        )
        await asyncio.sleep(0)
        self.assertEqual({1}, self.engine.table.draining)
        release.cancel()
        await asyncio.gather(release, return_exceptions=True)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.assertEqual(engine.Done(), await self.engine.run(_task('n')))

    async def test_queue_is_in_order_and_bounded(self) -> None:
        """Guards against lost slots and against a queue without bound."""
        running = await self._start(_task('a', FOREVER_S))
        waiting = await self._start(_task('b'))
        self.assertEqual(
            engine.Refused('shed'), await self.engine.run(_task('c'))
        )
        running.cancel()
        self.assertEqual(engine.Done(), await waiting)
        self.assertEqual(0, self.engine.capacity.running)

    async def test_cancelled_wait_keeps_no_slot(self) -> None:
        """Guards against a slot that a closed connection takes along."""
        running = await self._start(_task('a', FOREVER_S))
        waiting = await self._start(_task('b'))
        waiting.cancel()
        running.cancel()
        await asyncio.gather(running, waiting, return_exceptions=True)
        bears = self.engine.capacity
        self.assertEqual((0, 0), (bears.running, bears.waiting))
        self.assertIn('work_refused', self._events())

    async def test_given_up_slice_ends_its_work(self) -> None:
        """Guards against work that goes on for a slice taken away."""
        running = await self._start(_task('r', FOREVER_S))
        self._grant([])
        self.assertEqual(engine.Abandoned('no-grant'), await running)
