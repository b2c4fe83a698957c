"""Tests of the grants that an upstream holds."""

from __future__ import annotations

import unittest

from knapweedhall_records import ids

from knapweedhall_standins import grants


def _grant_set(
    token: str, slices: list[int], deadline_ms: int = 100, term: int = 1
) -> grants.GrantSet:
    grant: grants.GrantFields = {
        'service': 's',
        'token': token,
        'slices': slices,
    }
    return {
        'group': 'g',
        'term': term,
        'deadline_ms': deadline_ms,
        'grants': [grant],
    }


class GrantTableTest(unittest.TestCase):
    """An upstream that checks tokens is the last line against two owners."""

    def setUp(self) -> None:
        self.table = grants.GrantTable(checks_tokens=True)
        self.table.apply(_grant_set('1.1', [1, 2]), 0)

    def _refusal(self, token: str, clock_ms: int = 0) -> str | None:
        return self.table.refusal(1, ids.Token.parse(token), clock_ms)

    def test_serves_only_the_held_token_before_the_deadline(self) -> None:
        """Guards against work under an old token or after the grant."""
        self.assertIsNone(self._refusal('1.1', 99))
        self.assertEqual('no-grant', self._refusal('1.1', 100))
        self.assertEqual('stale-token', self._refusal('0.9'))
        self.assertEqual('no-grant', self._refusal('1.2'))

    def test_old_term_is_refused(self) -> None:
        """Guards against commands of a coordinator that was replaced."""
        self.table.apply(_grant_set('2.1', [1], term=2), 0)
        self.assertEqual(
            grants.StaleTerm(2), self.table.apply(_grant_set('1.2', [1]), 0)
        )

    def test_unnamed_slices_are_given_up_for_good(self) -> None:
        """Guards against a delayed grant that brings back a lost slice."""
        applied = self.table.apply(_grant_set('1.1', [1]), 0)
        self.assertEqual(grants.Applied({}, [2]), applied)
        self.table.apply(_grant_set('1.1', [1, 2]), 0)
        self.assertEqual([1], sorted(self.table.held))
        self.table.apply(_grant_set('1.2', [1, 2]), 0)
        self.assertEqual([1, 2], sorted(self.table.held))

    def test_expired_slices_are_still_reported(self) -> None:
        """Guards against a takeover that cannot find the last owner."""
        self.assertEqual([1, 2], self.table.expire(100))
        self.assertEqual([], self.table.expire(101))
        held = self.table.describe('s')
        self.assertEqual(
            [{'service': 's', 'token': '1.1', 'slices': [1, 2]}], held
        )

    def test_delayed_grant_is_not_announced(self) -> None:
        """Guards against a trace that shows an expired grant as accepted."""
        applied = self.table.apply(_grant_set('1.2', [1, 2], 50), 60)
        self.assertEqual(grants.Applied({}, []), applied)
        self.assertIsNone(self.table.next_deadline())

    def test_draining_slice_refuses_new_work(self) -> None:
        """Guards against work that starts during a release."""
        self.table.drain([1])
        self.assertEqual('draining', self._refusal('1.1'))

    def test_unchecked_upstream_takes_everything(self) -> None:
        """Guards against a stand-in that hides the system's own faults."""
        table = grants.GrantTable(checks_tokens=False)
        table.apply(_grant_set('2.1', [1], term=2), 0)
        self.assertIsInstance(
            table.apply(_grant_set('1.1', [1]), 0), grants.Applied
        )
        self.assertIsNone(table.refusal(None, None, 1000))
