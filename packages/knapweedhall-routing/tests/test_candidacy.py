"""Tests of the choice of instances that stand by."""

from __future__ import annotations

import unittest

from knapweedhall_routing import candidacy

MEMBERS = [f'm{number}@127.0.0.{number}:7000' for number in range(195)]


class CandidacyTest(unittest.TestCase):
    """Few of 195 instances stand by."""

    def test_all_choose_the_same_few(self) -> None:
        """Guards against calls to the store that grow with the instances."""
        chosen = candidacy.candidates(MEMBERS)
        self.assertEqual(candidacy.CANDIDATE_COUNT, len(chosen))
        self.assertEqual(chosen, candidacy.candidates(MEMBERS[::-1]))

    def test_small_fleet(self) -> None:
        """Guards against a coordinator that moves on with each restart.

        On a site of ten instances that are stopped in turn, six candidates
        led to twelve terms instead of eight (further, trouble-2).
        """
        few = MEMBERS[: candidacy.SMALL_FLEET]
        self.assertEqual(few, candidacy.candidates(few))

    def test_a_loss_changes_one_of_them(self) -> None:
        """Guards against a change of all when one instance leaves."""
        chosen = candidacy.candidates(MEMBERS)
        left = [member for member in MEMBERS if member != chosen[0]]
        self.assertEqual(chosen[1:], candidacy.candidates(left)[:-1])
