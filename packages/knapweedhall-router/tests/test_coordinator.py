"""Tests of what a coordinator takes as free."""

from __future__ import annotations

import typing
import unittest

from knapweedhall_router import clock
from knapweedhall_router import coordinator
from knapweedhall_router import service_state
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings
from knapweedhall_routing import model
from knapweedhall_routing import planning
from tests import fleet

ADDRESS = model.Address('127.0.0.1', 9)


class IncarnationTest(unittest.TestCase):
    """An upstream that returned under its name."""

    def test_late_grant_to_the_incarnation_before(self) -> None:
        """Guards against two owners after an upstream has restarted.

        A renewal that was on its way may have reached the new process, at
        the same address and under the same name. Seen in the soak without
        the version check, seed 2: the upstream was paused, and carried the
        grant out when its keys had gone to others under higher tokens.
        """
        state = state_module.State(fleet.Fleet().new_settings())
        found = coordinator.Coordinator(
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
            state,
            clock.now() + 1.0,
        )
        now = clock.now()
        state.directory.put(
            model.Upstream('u', ADDRESS, 's', 'a', 4, False, 0.0, 2000), now
        )
        one = holdings.Holding(
            0, 65535, 'u', ADDRESS, 1000, unanswered_until=now + 2.0
        )
        self.assertTrue(found._is_orphan(one, now))
        self.assertFalse(one.is_free(now))


class PauseTest(unittest.TestCase):
    """A release that a lost upstream did not answer."""

    def setUp(self) -> None:
        """List one upstream; another one has left without an answer."""
        self.state = state_module.State(fleet.Fleet().new_settings())
        self.found = coordinator.Coordinator(
            typing.cast(typing.Any, None),
            typing.cast(typing.Any, None),
            self.state,
            clock.now() + 1.0,
        )
        self.now = clock.now()
        self.state.directory.put(
            model.Upstream('v', ADDRESS, 's', 'a', 4, False, 0.0, 1), self.now
        )
        self.found.mover.release_after['u'] = self.now + 1.0
        self.begun: list[planning.Move] = []
        self.found._begin = (  # type: ignore[method-assign]
            lambda service, move, now: self.begun.append(move)
        )

    def plan(self, held_until: float) -> list[planning.Move]:
        """Plan while the upstream that left holds all keys until then."""
        kept = service_state.ServiceState('s')
        one = kept.ranges.items[0]
        one.upstream, one.held_until = 'u', held_until
        self.found._plan_service(kept, self.now)
        return self.begun

    def test_free_keys_do_not_wait_for_the_pause(self) -> None:
        """Guards against keys that wait although nobody holds them."""
        self.assertNotEqual([], self.plan(self.now - 0.1))

    def test_held_keys_wait_for_the_pause(self) -> None:
        """Guards against a release after each plan."""
        self.assertEqual([], self.plan(self.now + 2.0))
