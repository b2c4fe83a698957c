"""Tests of the settings."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from knapweedhall_router import application
from knapweedhall_router import settings

TEXT = """
[instance]
name = front-1
failure_domain = a
address = 127.0.0.1
descriptors = 4100
memory_mb = 300
cpu_share = 0.86
cores = 1
link_mbps = 1000
[listen]
front = 127.0.0.1:8000
ready = 127.0.0.1:8001
peer_port = 8002
metrics_port = 8003
[store]
address = 127.0.0.1:8004
least_membership_s = 1
source = platform
[limits]
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 62
drain_s = 2
grace_s = 6
"""


class SettingsTest(unittest.TestCase):
    """Reading, faults and reloading."""

    def setUp(self) -> None:
        """Write a settings file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'node.ini'
        self.path.write_text(TEXT)

    def read(self) -> settings.Settings:
        """Return the settings of the file."""
        found = settings.read(self.path)
        assert isinstance(found, settings.Settings)
        return found

    def test_all_faults_are_named_at_once(self) -> None:
        """Guards against one start per fault."""
        text = TEXT.replace('4100', 'many').replace('name = front-1', '')
        self.path.write_text(text)
        found = settings.read(self.path)
        assert isinstance(found, settings.Faults)
        self.assertEqual(2, len(found.messages))
        self.path.write_text('no section')
        self.assertIsInstance(settings.read(self.path), settings.Faults)

    def test_reload(self) -> None:
        """Guards against a reload that moves a listener or takes faults."""
        running = application.Application(self.read(), self.path)
        text = TEXT.replace('drain_s = 2', 'drain_s = 3')
        self.path.write_text(text.replace(':8000', ':9000'))
        running.reload()
        self.assertEqual(3.0, running.state.settings.drain_s)
        self.assertEqual(8000, running.state.settings.front.port)
        self.path.write_text('broken')
        running.reload()
        self.assertEqual(3.0, running.state.settings.drain_s)


class DefaultTest(unittest.TestCase):
    """Options that a platform may leave empty."""

    def test_limits_that_are_not_stated(self) -> None:
        """Guards against a router that does not start for want of a limit."""
        text = TEXT.replace('link_mbps = 1000', 'link_mbps =')
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'node.ini'
            path.write_text(text.replace('cpu_share = 0.86', ''))
            found = settings.read(path)
        assert isinstance(found, settings.Settings)
        self.assertEqual((1.0, 1000.0), (found.cpu_share, found.link_mbps))


class ExampleTest(unittest.TestCase):
    """The annotated example in the documentation."""

    def test_example_has_each_setting(self) -> None:
        """Guards against an example that the program refuses."""
        root = pathlib.Path(__file__).resolve().parents[3]
        found = settings.read(root / 'docs' / 'knapweedhall.ini')
        self.assertIsInstance(found, settings.Settings)
