"""Tests of the answer where a request would go."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from knapweedhall_router import clock
from knapweedhall_router.links import messages
from tests import fleet


class ExplanationTest(unittest.IsolatedAsyncioTestCase):
    """The answer of a running router."""

    async def asyncSetUp(self) -> None:
        """Start a router with upstreams of two services."""
        self.fleet = fleet.Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start(1)
        (self.router,) = self.fleet.routers

    async def ask(
        self, path: str, key: str = '', host: str = fleet.HOST
    ) -> messages.Explanation:
        """Ask over the port for other instances."""
        settings = self.router.settings
        reader, writer = await asyncio.open_connection(
            settings.address, settings.peer_port
        )
        try:
            request = messages.ExplainRequest(host, path, 'POST', key)
            writer.write(messages.encode(request))
            async with asyncio.timeout(fleet.START_TIMEOUT_S):
                answer = await messages.read(reader)
        finally:
            writer.transport.abort()
        assert isinstance(answer, messages.Explanation)
        return answer

    def run_counts(self) -> dict[str, int]:
        """Return how many requests each upstream has run."""
        return {each.name: len(each.runs) for each in self.fleet.upstreams}

    async def test_next_request_goes_there(self) -> None:
        """Guards against an answer that is not the router's decision.

        Asking must not change the decision either, for example by the use of
        random numbers.
        """
        for number in range(8):
            before = self.run_counts()
            rng = self.router.state.rng.getstate()
            # Loads lose their weight with time, so a later decision may
            # differ.
            with mock.patch.object(clock, 'now', return_value=clock.now()):
                for _ in range(3):
                    answer = await self.ask('/order/x')
                self.assertEqual(rng, self.router.state.rng.getstate())
                self.assertEqual(before, self.run_counts())
                response = await self.fleet.send_request(
                    self.router, '/order/x', body=b'work'
                )
            self.assertEqual(200, response.status)
            after = self.run_counts()
            ran = [name for name in after if after[name] > before[name]]
            self.assertEqual([answer.upstream], ran, number)
            self.assertEqual(
                ['chosen', 'eligible'],
                [each.state for each in answer.candidates],
            )

    async def test_owner_of_a_key(self) -> None:
        """Guards against an answer that is not the owner of the key."""
        answer = await self.ask('/view/x', '4096')
        owner = self.router.state.owner_table('views').find(4096)
        assert owner is not None
        self.assertTrue(answer.divided)
        self.assertEqual(owner.upstream, answer.upstream)
        self.assertEqual(
            [owner.upstream], [each.upstream for each in answer.candidates]
        )

    async def test_refusals(self) -> None:
        """Guards against an upstream for a request that has none."""
        for path, host, status, reason in (
            ('/view/x', fleet.HOST, 400, 'no-key'),
            ('/other/x', fleet.HOST, 404, 'no-route'),
            ('/view/x', 'other', 404, 'no-route'),
        ):
            answer = await self.ask(path, host=host)
            self.assertEqual(
                ('', status, reason),
                (answer.upstream, answer.status, answer.reason),
            )

    async def test_budget_of_a_cold_upstream(self) -> None:
        """Guards against a question that spends the budget of requests."""
        now = asyncio.get_running_loop().time()
        entries = self.router.state.directory.entries
        for name, entry in list(entries.items()):
            entries[name] = entry._replace(cold_until=now + 1e6)
        budgets = self.router.state.cold_budgets
        before = {name: vars(each).copy() for name, each in budgets.items()}
        await self.ask('/order/x')
        after = {name: vars(each) for name, each in budgets.items()}
        self.assertEqual(before, after)
