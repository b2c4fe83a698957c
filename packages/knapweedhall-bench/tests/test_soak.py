"""Runs the demonstration and a short seeded soak on real processes."""

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
    """Whole programs as separate processes."""

    def test_short_run(self) -> None:
        """Guards against promises that only whole processes break."""
        with tempfile.TemporaryDirectory() as folder:
            broken = soak.play(soak.SMALL, SEED, pathlib.Path(folder) / 'run')
            self.assertEqual([], broken)

    def test_demo(self) -> None:
        """Guards against a first command of the README that fails."""
        outcome = asyncio.run(demo.run(DEMO_S, SEED, None))
        self.assertEqual([], outcome.violations)
        answered = [one for one in outcome.told if one.status == 200]
        self.assertGreater(len(answered), len(outcome.told) / 2)

    def test_same_seed_gives_the_same_faults(self) -> None:
        """Guards against a seed that can't be played again."""
        first = faults.series(random.Random(5), 20, 10.0)
        self.assertEqual(first, faults.series(random.Random(5), 20, 10.0))
        self.assertNotEqual(first, faults.series(random.Random(6), 20, 10.0))
