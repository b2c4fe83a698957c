"""Votes and candidacies."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from knapweedhall_ownership import election
from knapweedhall_ownership import messages
from knapweedhall_records import ids

A, B, C = (ids.InstanceId(name, 1) for name in 'abc')


def request(term: int, version: int = 1) -> messages.VoteRequest:
    """Return a vote request."""
    return messages.VoteRequest('g', version, term, election.LEASE_MS, 1)


class ElectorTest(unittest.TestCase):
    """Promises of one elector."""

    def setUp(self) -> None:
        """Promise term 5 to A at time 0."""
        self.elector = election.Elector()
        self.granted(0.0, A, 5)

    def granted(
        self, now: float, who: ids.InstanceId, term: int, version: int = 1
    ) -> bool:
        """Return whether a request is granted."""
        return self.elector.request(now, who, request(term, version)).granted

    def test_promise_lasts_longer_than_the_lease(self) -> None:
        """Guards against a holder whose slower clock still runs."""
        slow_holder_end = election.LEASE_S / 0.998 * 1.002
        self.assertFalse(self.granted(slow_holder_end, B, 6))
        self.assertTrue(self.granted(1.011, B, 6))
        with mock.patch.object(election, 'CLOCK_MARGIN', 1.0):
            self.elector = election.Elector()
            self.granted(0.0, A, 5)
            self.assertTrue(self.granted(slow_holder_end, B, 6))

    def test_holder_gets_no_new_term_early(self) -> None:
        """Guards against permits of its old term that are still in use."""
        self.assertTrue(self.granted(0.5, A, 5))
        self.assertFalse(self.granted(0.9, A, 6))
        self.assertTrue(self.granted(1.6, A, 6))

    def test_delayed_renewal_does_not_shorten(self) -> None:
        """Guards against a promise that ends before the lease."""
        self.granted(0.5, A, 5)
        late = messages.VoteRequest('g', 1, 5, 10, 1)
        self.elector.request(0.6, A, late)
        self.assertAlmostEqual(1.51, self.elector.promised_until('g'))

    def test_older_electors_version_is_refused(self) -> None:
        """Guards against a majority of a set that was replaced."""
        self.elector.set_electors_version('g', 2)
        self.assertFalse(self.granted(0.1, A, 5, version=1))
        self.assertFalse(self.granted(2.0, B, 9, version=1))
        self.assertTrue(self.granted(2.0, B, 9, version=2))

    def test_release_ends_only_the_own_promise(self) -> None:
        """Guards against a stale release and a stale renewal after one."""
        give = messages.VoteRelease('g', 5)
        self.assertFalse(self.elector.release(B, give))
        self.assertFalse(self.elector.release(A, give._replace(term=4)))
        self.assertTrue(self.elector.release(A, give))
        self.assertFalse(self.granted(0.1, A, 5))
        self.assertTrue(self.granted(0.1, B, 6))


class CandidateTest(unittest.TestCase):
    """One candidate among three electors."""

    def setUp(self) -> None:
        """Start the candidate of rank 1."""
        self.candidate = election.Candidate(B, 'g', random.Random(1))
        self.candidate.set_electors(1, (A, B, C))

    def votes(self, now: float, *who: ids.InstanceId) -> None:
        """Grant the latest request."""
        number = self.candidate.number
        for each in who:
            vote = messages.Vote('g', True, 0, 1, number)
            self.candidate.vote(now, each, vote)

    def test_asks_after_the_promise_by_rank(self) -> None:
        """Guards against split votes after the loss of a coordinator."""
        self.assertEqual([], self.candidate.poll(5.1, 5.0))
        sent = self.candidate.poll(5.15, 5.0)
        self.assertEqual([A, B, C], [each for each, _ in sent])

    def test_majority_of_electors_wins(self) -> None:
        """Guards against votes counted twice or of other instances."""
        self.candidate.poll(1.0, 0.0)
        stranger = ids.InstanceId('a', 2)
        self.votes(1.01, A, A, stranger)
        self.assertIsNone(self.candidate.lease(1.02))
        self.votes(1.02, C)
        lease = self.candidate.lease(1.02)
        term = ids.Term(1, 1).encode()
        self.assertEqual(election.Lease(term, 2.0), lease)
        self.assertIsNone(self.candidate.lease(2.0))

    def test_slow_votes_win_in_the_end(self) -> None:
        """Guards against a group without a coordinator on a busy machine."""
        candidate = election.Candidate(A, 'g', random.Random(1))
        candidate.set_electors(1, (A, B, C))
        electors = {each: election.Elector() for each in (A, B, C)}
        pending: list[tuple[float, ids.InstanceId, messages.Vote]] = []
        for step in range(400):
            now = step * 0.01
            for elector, asked in candidate.poll(now, 0.0):
                vote = electors[elector].request(now, A, asked)
                pending.append((now + 0.3, elector, vote))
            for elector, release in candidate.abandoned():
                electors[elector].release(A, release)
            while pending and pending[0][0] <= now:
                _, elector, vote = pending.pop(0)
                candidate.vote(now, elector, vote)
        self.assertIsNotNone(candidate.lease(now))

    def test_lost_round_gives_votes_back(self) -> None:
        """Guards against a second of silence after a split vote."""
        self.candidate.poll(1.0, 0.0)
        self.votes(1.01, B)
        refusal = messages.Vote('g', False, 99, 1, self.candidate.number)
        for each in (A, C):
            self.candidate.vote(1.02, each, refusal)
        self.assertEqual(3, len(self.candidate.abandoned()))
        (_, again), *_ = self.candidate.poll(1.5, 0.0)
        self.assertEqual(ids.Term(1, 1).encode() + 1, again.term)

    def test_releases_only_when_quiet(self) -> None:
        """Guards against a successor beside permits still in use."""
        self.candidate.poll(1.0, 0.0)
        self.votes(1.0, A, B)
        self.assertEqual([], self.candidate.release(1.5, 1.6))
        self.assertEqual(3, len(self.candidate.release(1.6, 1.6)))
        self.assertIsNone(self.candidate.lease(1.6))


class ElectorStepTest(unittest.TestCase):
    """Steps from one set of electors to the next but one."""

    def leases(self, renews: bool) -> list[election.Lease | None]:
        """Return the leases of A and D after two steps.

        A wins with the votes of A and B among A, B and C; then D is added
        and A removed; only then D asks C and itself, too.
        """
        d = ids.InstanceId('d', 1)
        electors = {each: election.Elector() for each in (A, B, C, d)}
        sets = [(A, B, C), (A, B, C, d), (B, C, d)]
        first, last = (
            election.Candidate(each, 'g', random.Random(1)) for each in (A, d)
        )

        def ask(
            who: election.Candidate, now: float, reached: election.VoteRequests
        ) -> None:
            for each, sent in reached:
                vote = electors[each].request(now, who.instance, sent)
                who.vote(now, each, vote)

        first.set_electors(1, sets[0])
        ask(first, 1.0, first.poll(1.0, 0.0)[:2])
        first.set_electors(2, sets[1])
        self.assertFalse(first.may_change_electors(1.1))
        if renews:
            sent = first.poll(1.1, 0.0)
            ask(first, 1.1, [each for each in sent if each[0] != C])
            self.assertTrue(first.may_change_electors(1.1))
        last.set_electors(3, sets[2])
        ask(last, 1.9, last.poll(1.9, 0.0))
        return [first.lease(1.9), last.lease(1.9)]

    def test_next_step_waits_for_a_renewal(self) -> None:
        """Guards against majorities of two sets that do not intersect."""
        self.assertIn(None, self.leases(renews=True))
        self.assertNotIn(None, self.leases(renews=False))
