"""Tests that a coordinator knows the plans that its predecessor acted on."""

from __future__ import annotations

import random
import unittest

from knapweedhall_ownership import election
from knapweedhall_records import ids

GROUP = 'domain/a'
PLAN_OFFSET = 7


class ElectionOffsetsTest(unittest.TestCase):
    """Votes depend on how far candidate and elector have read the log."""

    def setUp(self) -> None:
        names = [ids.InstanceId(name, 1) for name in 'abc']
        self.electors = {name: election.Elector() for name in names}
        self.candidates = {
            name: election.Candidate(name, GROUP, random.Random(1))
            for name in names
        }
        for candidate in self.candidates.values():
            candidate.set_electors(1, tuple(names))

    def read(self, names: str, offset: int) -> None:
        for instance, elector in self.electors.items():
            if instance.name in names:
                elector.offset = offset
                self.candidates[instance].offset = offset

    def ask(self, now: float, name: str) -> election.Candidate:
        me = ids.InstanceId(name, 1)
        candidate = self.candidates[me]
        for elector, request in candidate.poll(now, 0.0):
            vote = self.electors[elector].request(now, me, request)
            candidate.vote(now, elector, vote)
        return candidate

    def test_candidate_behind_a_majority_is_refused(self) -> None:
        """Guards against a coordinator that grants slices another group owns.

        The predecessor released them after a majority had read the plan.
        """
        self.read('ab', PLAN_OFFSET + 1)
        self.assertIsNone(self.ask(10.0, 'c').lease(10.0))
        self.assertIsNotNone(self.ask(20.0, 'b').lease(20.0))

    def test_majority_has_to_read_the_plan_before_a_release(self) -> None:
        """Guards against a release that a later coordinator cannot know."""
        self.read('a', PLAN_OFFSET + 1)
        holder = self.ask(10.0, 'a')
        self.assertFalse(holder.majority_has_read(PLAN_OFFSET))
        self.read('b', PLAN_OFFSET + 1)
        self.ask(10.5, 'a')
        self.assertTrue(holder.majority_has_read(PLAN_OFFSET))

    def test_renewal_does_not_depend_on_the_offset(self) -> None:
        """Guards against a lease that ends because its holder reads late."""
        holder = self.ask(10.0, 'a')
        self.read('bc', PLAN_OFFSET)
        self.ask(10.5, 'a')
        self.assertEqual(11.5, holder.deadline)
