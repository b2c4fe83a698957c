"""Tests of what a coordinator takes as free."""

from __future__ import annotations

import typing
import unittest

from knapweedhall_router import clock
from knapweedhall_router import coordinator
from knapweedhall_router import state as state_module
from knapweedhall_routing import holdings
from knapweedhall_routing import model
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
