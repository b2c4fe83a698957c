"""Holds the page of metrics to the code."""

from __future__ import annotations

import pathlib
import re
import unittest

import aioprometheus

from knapweedhall_router import application
from knapweedhall_router import metrics
from tests import fleet


class MetricsTest(unittest.IsolatedAsyncioTestCase):
    """Names and labels."""

    async def test_page_names_each_figure(self) -> None:
        """Guards against a figure that nobody can look up."""
        found = fleet.Fleet()
        router = application.Application(found.new_settings())
        reporter = metrics.Metrics(router.state, router.frontend)
        root = pathlib.Path(__file__).resolve().parents[3]
        page = (root / 'docs' / 'metrics.md').read_text()
        registry: aioprometheus.Registry = router.frontend.registry
        names = set(registry.collectors)
        documented = re.findall(r'^\| (knapweedhall_\w+) ', page, re.MULTILINE)
        self.assertEqual(names, set(documented))
        for name in reporter.read_gauges():
            self.assertIn(name, page)
