"""Tests of the demonstration and of a short soak with a fixed seed."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import tempfile
import time
import unittest
from unittest import mock

from knapweedhall_bench import children
from knapweedhall_bench import demo
from knapweedhall_bench import deployment
from knapweedhall_bench import faults
from knapweedhall_bench import soak
from knapweedhall_standins import proxy

SEED = 1
STOPPABLE = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
time.sleep(60)
"""
DEMO_S = 8.0
LINK_MODE = proxy.Mode.PASS


class EndTest(unittest.TestCase):
    """Processes that end."""

    def test_ends_that_nobody_asked_for(self) -> None:
        """Guards against a soak that restarts processes without a word."""
        with tempfile.TemporaryDirectory() as folder:
            for code, number, expected in (
                ('raise SystemExit(0)', None, True),
                ('raise SystemExit(1)', None, True),
                # Unlike SIGHUP, nohup does not make children ignore it.
                ('import time; time.sleep(60)', signal.SIGUSR1, True),
                ('import time; time.sleep(60)', signal.SIGTERM, True),
                ('import time; time.sleep(60)', signal.SIGKILL, False),
                (STOPPABLE, signal.SIGTERM, False),
            ):
                with self.subTest(code=code, number=number):
                    path = pathlib.Path(folder) / 'ending.py'
                    path.write_text(code)
                    child = children.Child(
                        'x', ['ending'], pathlib.Path(folder) / 'log'
                    )
                    with mock.patch.dict(os.environ, PYTHONPATH=folder):
                        child.start()
                    self.addCleanup(child.kill)
                    assert child.process is not None
                    if number is not None:
                        time.sleep(0.5)
                        self.assertFalse(child.has_ended_by_itself())
                        child.send_signal(number)
                    child.process.wait(10)
                    self.assertEqual(expected, child.has_ended_by_itself())

    def test_start_that_takes_long(self) -> None:
        """Guards against signals to an interpreter that has not begun.

        In seed 990050 a stop signal ended a router's process 1.5 s after its
        start, before its first line.
        """
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'ending.py'
            path.write_text('print(1, flush=True); import time; time.sleep(9)')
            log = pathlib.Path(folder) / 'log'
            log.write_text('line of the process before')
            child = children.Child('x', ['ending'], log)
            with mock.patch.dict(os.environ, PYTHONPATH=folder):
                child.start()
            self.addCleanup(child.kill)
            child.pause()
            child.started_at -= soak.MIN_SIGNAL_AGE_S
            if not child.has_written():
                self.assertFalse(soak._can_be_signalled(child))
            child.resume()
            deadline = time.monotonic() + 10.0
            while not child.has_written() and time.monotonic() < deadline:
                time.sleep(0.01)
            self.assertTrue(soak._can_be_signalled(child))
            child.started_at = time.monotonic()
            self.assertFalse(soak._can_be_signalled(child))


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

    def test_series_are_drawn_apart(self) -> None:
        """Guards against old seeds that no longer give their faults."""
        first = faults.generate_series(random.Random('series 5'), 20.0)
        self.assertEqual(
            first, faults.generate_series(random.Random('series 5'), 20.0)
        )
        drawn = [
            fault
            for seed in range(50)
            for fault in faults.generate_series(random.Random(seed), 20.0)
        ]
        kinds = {(fault.target, fault.kind) for fault in drawn}
        self.assertLessEqual(set(faults.SERIES_KINDS), kinds)
        for fault in drawn:
            self.assertTrue(0.0 <= fault.at < 20.0 >= fault.until, fault)

    def test_releases_surround_stops(self) -> None:
        """Guards against releases without the faults that belong to them."""
        first = faults.generate_release(random.Random('release 1'), 12.0)
        self.assertEqual(
            first, faults.generate_release(random.Random('release 1'), 12.0)
        )
        drawn = [
            faults.generate_release(random.Random(seed), 12.0)
            for seed in range(50)
        ]
        releases = [each for each in drawn if each]
        self.assertTrue(0 < len(releases) < len(drawn))
        store_kinds = set()
        for each in releases:
            kinds = sorted((fault.target, fault.kind) for fault in each)
            store_kinds.add(kinds.pop()[1])
            self.assertEqual(sorted(faults.RELEASE_KINDS), kinds)
            for fault in each:
                self.assertTrue(0.0 <= fault.at <= fault.until <= 12.0, fault)
        self.assertEqual(set(faults.RELEASE_STORE_KINDS), store_kinds)


class ReloadTest(unittest.TestCase):
    """Settings that change at reloads."""

    def test_changed_setting(self) -> None:
        """Guards against reloads that change no setting."""
        with tempfile.TemporaryDirectory() as folder:
            running = deployment.Deployment(
                soak.SMALL.spec, pathlib.Path(folder)
            )
            path = pathlib.Path(folder) / 'r.ini'
            path.write_text(deployment.SETTINGS)
            running.set_retry_extra('r', 61)
            self.assertEqual(
                deployment.SETTINGS.replace(
                    'retry_extra = 62', 'retry_extra = 61'
                ),
                path.read_text(),
            )
            self.assertNotEqual(deployment.SETTINGS, path.read_text())

    def test_reloads_do_not_wait_for_the_disk(self) -> None:
        """Guards against a soak that stands still while it changes settings.

        In a play of seed 970009 it stood still for 3 s, as each change
        replaced a file, and its call to the store's process timed out.
        """
        with tempfile.TemporaryDirectory() as folder:
            running = deployment.Deployment(
                soak.SMALL.spec, pathlib.Path(folder)
            )
            path = pathlib.Path(folder) / 'r.ini'
            path.write_text(deployment.SETTINGS)
            for retry_extra in soak.RETRY_EXTRAS:
                running.set_retry_extra('r', retry_extra)
            with mock.patch.object(
                pathlib.Path, 'write_text', side_effect=AssertionError
            ):
                for retry_extra in soak.RETRY_EXTRAS:
                    running.set_retry_extra('r', retry_extra)
                    self.assertIn(
                        f'\nretry_extra = {retry_extra}\n', path.read_text()
                    )


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Upstreams that faults kill and start again."""

    async def test_overlapping_kills(self) -> None:
        """Guards against two processes of one upstream.

        In seed 970006 the second one ended, as its address was in use, and
        took the place of the first one.
        """
        run = soak.Soak(soak.SMALL, 1, pathlib.Path())
        run.deployment = mock.Mock()
        nodes = run.deployment.upstreams = {'a': mock.Mock()}
        run.deployment.upstream_services = {'a': 's'}
        nodes['a'].child.is_running.return_value = False

        async def add_upstream(service: str, name: str) -> None:
            nodes[name] = mock.Mock()
            nodes[name].child.is_running.return_value = True

        run.deployment.add_upstream = mock.AsyncMock(side_effect=add_upstream)
        kills = [
            faults.Fault(0.0, until, 'upstream', 'kill', 0.0, LINK_MODE)
            for until in (0.05, 0.1)
        ]
        await asyncio.gather(
            *(
                run._inject_upstream_fault('a', kill, kill.until)
                for kill in kills
            )
        )
        run.deployment.add_upstream.assert_awaited_once()
