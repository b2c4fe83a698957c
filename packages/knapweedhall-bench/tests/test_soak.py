"""Tests of the demonstration and of a short soak with a fixed seed."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import unittest

from knapweedhall_bench import demo
from knapweedhall_bench import faults
from knapweedhall_bench import soak

SEED = 1
DEMO_S = 8.0


class SoakTest(unittest.TestCase):
    """Runs of the real programs as separate processes."""

    def test_short_run(self) -> None:
        """Guards against violations that only faults of processes cause."""
        with tempfile.TemporaryDirectory() as folder:
            violations = soak.run_seed(
                soak.SMALL, SEED, pathlib.Path(folder) / 'run'
            )
            self.assertEqual([], violations)

    def test_demo(self) -> None:
        """Guards against a failure of the README's first command."""
        outcome = asyncio.run(demo.run(DEMO_S, SEED, None))
        self.assertEqual([], outcome.violations)
        answered = [
            result for result in outcome.results if result.status == 200
        ]
        self.assertGreater(len(answered), len(outcome.results) / 2)

    def test_same_seed_gives_the_same_faults(self) -> None:
        """Guards against failed seeds that can't be reproduced."""
        first = faults.generate(random.Random(5), 20, 10.0)
        self.assertEqual(first, faults.generate(random.Random(5), 20, 10.0))
        self.assertNotEqual(first, faults.generate(random.Random(6), 20, 10.0))
