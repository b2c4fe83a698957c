"""Tests of the state that `status` prints."""

from __future__ import annotations

import argparse
import unittest
from unittest import mock

from knapweedhall_ctl import status
from knapweedhall_router.links import messages


class StatusTest(unittest.TestCase):
    """Learned limits of upstreams."""

    def test_limits(self) -> None:
        """Guards against a limit that operators can't find."""
        overview = messages.Overview('r', 1, False, {'r': 3}, {})
        limits = {
            'idle': (6.0, 1.0, 0.3, 6),
            'near': (6.0, 5.0, 0.3, 6),
            'learned': (3.0, 1.0, 0.372, 6),
        }
        for known, listed in (({}, []), (limits, ['learned', 'near'])):
            overview.limits = known

            async def query(arguments: argparse.Namespace) -> object:
                return overview

            with mock.patch.object(status, '_overview', query):
                result = status.run(argparse.Namespace())
            for name in limits:
                self.assertEqual(name in listed, name in result.text)
            self.assertEqual(known, result.fields['limits'])
