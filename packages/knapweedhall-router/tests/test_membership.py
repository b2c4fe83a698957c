"""Tests of when an instance coordinates."""

from __future__ import annotations

import asyncio
import typing
import unittest
from unittest import mock

from knapweedhall_adapter import outcomes
from knapweedhall_router import clock
from knapweedhall_router import coordinator
from knapweedhall_router import coordinator_link
from knapweedhall_router import lease
from knapweedhall_router import membership
from knapweedhall_router import state as state_module
from tests import fleet


class _Store:
    """Gives each join the same answer."""

    def __init__(self) -> None:
        self.answer = outcomes.Joined(1, True)

    async def join(self, *call: typing.Any) -> outcomes.Joined:
        """Return the answer."""
        return self.answer


class _Tenure:
    """Stands in for a coordinator."""

    def __init__(self, *parts: typing.Any) -> None:
        self.lease = lease.Lease(*parts[-2:])

    async def run(self) -> None:
        """Coordinate until cancelled."""
        await asyncio.Event().wait()


class TenureTest(unittest.IsolatedAsyncioTestCase):
    """The store names this instance again and again."""

    async def asyncSetUp(self) -> None:
        """Begin a tenure."""
        patch = mock.patch.object(coordinator, 'Coordinator', _Tenure)
        patch.start()
        self.addCleanup(patch.stop)
        state = state_module.State(fleet.Fleet().new_settings())
        client = typing.cast(typing.Any, _Store())
        self.member = membership.Membership(
            client,
            typing.cast(typing.Any, None),
            state,
            coordinator_link.CoordinatorLink(client, state),
        )
        await self.member._join(clock.now())
        self.tenure = self.member.coordinator
        self.addAsyncCleanup(self.member.end)

    async def test_tenure_goes_on_within_its_lease(self) -> None:
        """Guards against a takeover at each join."""
        await self.member._join(clock.now())
        self.assertIs(self.tenure, self.member.coordinator)

    async def test_tenure_ends_with_its_lease(self) -> None:
        """Guards against tokens below those of a coordinator in between.

        Seen on an incident of the first site: a coordinator was cut off
        with its failure domain for 6 s, another one granted keys, and the
        store named the first again; its grants came under the old tokens.
        """
        assert self.tenure is not None
        self.tenure.lease.expires_at = clock.now() - 0.1
        await self.member._join(clock.now())
        self.assertIsNotNone(self.member.coordinator)
        self.assertIsNot(self.tenure, self.member.coordinator)
