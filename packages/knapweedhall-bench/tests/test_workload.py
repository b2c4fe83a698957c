"""Tests of the choice of calls."""

from __future__ import annotations

import collections
import random
import unittest

from knapweedhall_bench import workload

MIX = workload.Mix('ledger', rate=200, length_s=5, keys=20, skew=1)


def _calls(seed: int) -> list[workload.Call]:
    return list(workload.generate(MIX, random.Random(seed)))


class WorkloadTest(unittest.TestCase):
    """Runs are compared, so the same seed must send the same calls."""

    def test_seed_decides_all_calls(self) -> None:
        """Guards against a choice that does not come from the seed."""
        self.assertEqual(_calls(1), _calls(1))
        self.assertNotEqual(_calls(1), _calls(2))

    def test_times_and_rate(self) -> None:
        """Guards against arrivals that do not follow the rate."""
        times = [call.at_s for call in _calls(1)]
        self.assertEqual(sorted(times), times)
        self.assertLess(times[-1], MIX.length_s)
        self.assertAlmostEqual(1000, len(times), delta=100)

    def test_mix_of_keys_and_methods(self) -> None:
        """Guards against a skew or a write share that has no effect."""
        calls = _calls(1)
        keys = collections.Counter(call.key for call in calls)
        self.assertEqual('key-0', keys.most_common(1)[0][0])
        writes = sum(not call.idempotent for call in calls) / len(calls)
        self.assertAlmostEqual(MIX.write_share, writes, delta=0.05)

    def test_answers_differ_by_request(self) -> None:
        """Guards against an answer that another call could pass off."""
        call = _calls(1)[0]
        answer = workload.expected_answer(call)
        self.assertEqual(call.answer_bytes, len(answer))
        for change in ('path', 'key', 'request', 'method'):
            other = call._replace(**{change: 'x'})
            self.assertNotEqual(answer, workload.expected_answer(other))
