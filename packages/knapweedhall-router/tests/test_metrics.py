"""Checks that the code and docs/metrics.md agree."""

from __future__ import annotations

import pathlib
import re
import unittest

import aioprometheus

from knapweedhall_router import application
from knapweedhall_router import metrics
from tests import fleet


class MetricsTest(unittest.IsolatedAsyncioTestCase):
    """Documentation of the metrics."""

    async def test_page_names_each_metric(self) -> None:
        """Guards against undocumented metrics."""
        settings_source = fleet.Fleet()
        router = application.Application(settings_source.new_settings())
        exporter = metrics.Metrics(router.state, router.frontend)
        root = pathlib.Path(__file__).resolve().parents[3]
        page = (root / 'docs' / 'metrics.md').read_text()
        registry: aioprometheus.Registry = router.frontend.registry
        names = set(registry.collectors)
        documented = re.findall(r'^\| (knapweedhall_\w+) ', page, re.MULTILINE)
        self.assertEqual(names, set(documented))
        for name in exporter.read_gauges():
            self.assertIn(name, page)
