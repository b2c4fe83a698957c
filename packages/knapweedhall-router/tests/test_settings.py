"""Tests of the settings."""

from __future__ import annotations

import pathlib
import tempfile
import unittest
from unittest import mock

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
    """Reading, checking and reloading of settings."""

    def setUp(self) -> None:
        """Write a valid settings file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'node.ini'
        self.path.write_text(TEXT)

    def read(self) -> settings.Settings:
        """Return the settings in the file."""
        loaded = settings.read(self.path)
        assert isinstance(loaded, settings.Settings)
        return loaded

    def test_all_faults_are_reported_at_once(self) -> None:
        """Guards against reporting only the first of several faults.

        Operators would need one start per fault.
        """
        text = TEXT.replace('4100', 'many').replace('name = front-1', '')
        self.path.write_text(text)
        loaded = settings.read(self.path)
        assert isinstance(loaded, settings.Faults)
        self.assertEqual(2, len(loaded.messages))
        self.path.write_text('no section')
        self.assertIsInstance(settings.read(self.path), settings.Faults)

    def test_reload(self) -> None:
        """Guards against a reload that moves a listener or applies faults."""
        router = application.Application(self.read(), self.path)
        text = TEXT.replace('drain_s = 2', 'drain_s = 3')
        self.path.write_text(text.replace(':8000', ':9000'))
        router.reload()
        self.assertEqual(3.0, router.state.settings.drain_s)
        self.assertEqual(8000, router.state.settings.front.port)
        self.path.write_text('broken')
        router.reload()
        self.assertEqual(3.0, router.state.settings.drain_s)

    def test_file_that_is_being_rewritten(self) -> None:
        """Guards against a settings file that ends a running process.

        A file that is being rewritten may hold any bytes for a moment.
        """
        router = application.Application(self.read(), self.path)
        for raw in (b'\xff\xfe\x00', b'', TEXT.encode()[:200], b'\0' * 100):
            with self.subTest(raw=raw[:10]):
                self.path.write_bytes(raw)
                self.assertIsInstance(
                    settings.read(self.path), settings.Faults
                )
                router.reload()
                self.assertEqual('front-1', router.settings.name)

    def test_faults_are_logged_once(self) -> None:
        """Guards against a log full of one fault; it is read each second."""
        router = application.Application(self.read(), self.path)
        self.path.write_text('broken')
        with mock.patch.object(application, 'log_faults') as log:
            for _ in range(3):
                router.reload()
            self.assertEqual(1, log.call_count)
            self.path.write_text(TEXT)
            router.reload()
            self.path.write_text('broken')
            router.reload()
            self.assertEqual(2, log.call_count)

    def test_impossible_values(self) -> None:
        """Guards against values that end the process when they are used."""
        for old, new in (
            ('peer_port = 8002', 'peer_port = 80020'),
            ('ready = 127.0.0.1:8001', 'ready = 127.0.0.1:0'),
            ('front = 127.0.0.1:8000', 'front = nowhere:8000'),
            ('address = 127.0.0.1\n', 'address = nowhere\n'),
            ('address = 127.0.0.1:8004', 'address = 127.0.0.1:99999'),
            ('grace_s = 6', 'grace_s = nan'),
            ('drain_s = 2', 'drain_s = -1'),
            ('retry_extra = 62', 'retry_extra = inf'),
            ('cpu_share = 0.86', 'cpu_share = 0'),
            ('memory_mb = 300', 'memory_mb = 0'),
            ('grace_s = 6', 'head_memory_share = 1.1'),
            ('grace_s = 6', 'caller_descriptor_share = 0'),
        ):
            with self.subTest(new=new):
                self.assertIn(old, TEXT)
                self.path.write_text(TEXT.replace(old, new))
                self.assertIsInstance(
                    settings.read(self.path), settings.Faults
                )

    def test_faulty_value_with_a_default(self) -> None:
        """Guards against a router that does not start for a wrong limit.

        It is reported, and the router serves with the default.
        """
        self.path.write_text(TEXT.replace('grace_s = 6', 'grace_s = soon'))
        loaded = settings.read(self.path)
        assert isinstance(loaded, settings.Faults)
        self.assertEqual(1, len(loaded.messages))
        assert loaded.fallback is not None
        self.assertEqual(6.0, loaded.fallback.grace_s)
        self.path.write_text(TEXT.replace('front = ', 'front = x'))
        loaded = settings.read(self.path)
        assert isinstance(loaded, settings.Faults)
        self.assertIsNone(loaded.fallback)

    def test_two_listeners_on_one_port(self) -> None:
        """Guards against a start that waits for its own port."""
        self.path.write_text(TEXT.replace('8003', '8000'))
        loaded = settings.read(self.path)
        assert isinstance(loaded, settings.Faults)
        self.assertIn('metrics_port', loaded.messages[0])


class DefaultTest(unittest.TestCase):
    """Options that may be empty or missing."""

    def test_missing_limits(self) -> None:
        """Guards against a router that does not start without limits.

        A platform may leave the limits of the machine empty.
        """
        loaded = self.read_changed(
            ('link_mbps = 1000', 'link_mbps ='), ('cpu_share = 0.86', '')
        )
        self.assertEqual((1.0, 1000.0), (loaded.cpu_share, loaded.link_mbps))

    def read_changed(self, *changes: tuple[str, str]) -> settings.Settings:
        """Return the settings in a changed file."""
        text = TEXT
        for old, new in changes:
            self.assertIn(old, text)
            text = text.replace(old, new)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'node.ini'
            path.write_text(text)
            loaded = settings.read(path)
        assert isinstance(loaded, settings.Settings), loaded
        return loaded

    def test_no_value_that_the_platform_may_lack(self) -> None:
        """Guards against a router that does not start without a value.

        The platform renders nothing where it has no value: limits of the
        machine, and bounds of contracts that are not in force.
        """
        loaded = self.read_changed(
            ('descriptors = 4100', 'descriptors ='),
            ('memory_mb = 300', 'memory_mb ='),
            ('failure_domain = a', 'failure_domain ='),
            ('least_membership_s = 1', 'least_membership_s ='),
            ('retry_ratio = 0.2', 'retry_ratio ='),
            ('retry_window_s = 10', 'retry_window_s ='),
            ('retry_extra = 62', 'retry_extra ='),
            ('drain_s = 2', 'drain_s ='),
            ('grace_s = 6', 'grace_s ='),
        )
        self.assertEqual((1024, 300), (loaded.descriptors, loaded.memory_mb))
        shares = (loaded.head_memory_share, loaded.caller_descriptor_share)
        self.assertEqual((0.1, 0.4), shares)
        self.assertEqual(0.0, loaded.retry_extra)

    def test_whole_number_as_a_fraction(self) -> None:
        """Guards against a router that does not start with 300.0 MB."""
        loaded = self.read_changed(('memory_mb = 300', 'memory_mb = 300.0'))
        self.assertEqual(300, loaded.memory_mb)


class ExampleTest(unittest.TestCase):
    """Annotated example in the documentation."""

    def test_example_has_each_setting(self) -> None:
        """Guards against an example that the router rejects."""
        root = pathlib.Path(__file__).resolve().parents[3]
        loaded = settings.read(root / 'docs' / 'knapweedhall.ini')
        self.assertIsInstance(loaded, settings.Settings)
