"""Tests of the launcher against the stand-ins."""

from __future__ import annotations

import asyncio
import configparser
import pathlib
import tempfile
import unittest

import aiohttp

from knapweedhall_bench import deployment
from knapweedhall_bench import instance_settings
from knapweedhall_bench import ports
from knapweedhall_bench import topology
from knapweedhall_events import trace

SERVICE = topology.ServiceSpec('ledger', 2, ('--work-ms', '1'))
SIZE = topology.Topology((SERVICE,), entries_per_domain=0, relays=True)


class PortBlockTest(unittest.TestCase):
    """Runs at the same time must not take each other's ports."""

    def test_blocks_do_not_overlap(self) -> None:
        """Guards against two runs that claim the same block."""
        first = ports.PortBlock()
        self.addCleanup(first.close)
        with self.assertRaises(ports.NoFreePorts):
            ports.PortBlock(first.base)
        second = ports.PortBlock()
        self.addCleanup(second.close)
        self.assertNotEqual(first.base, second.base)
        taken = [first.take('127.0.1.1') for _ in range(3)]
        self.assertEqual(3, len(set(taken)))


class SettingsTest(unittest.TestCase):
    """Unknown sections or options would stop the entry process."""

    def test_file_has_the_sections_of_the_design_page(self) -> None:
        """Guards against settings that the entry process refuses."""
        node = topology.EntryNode('e', 2, 'a:1', 'a:2', 'a:3', 'a:4')
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'e.ini'
            instance_settings.write_settings(
                path,
                node,
                '127.0.2.250:7000',
                pathlib.Path('e.trace'),
                instance_settings.Options('00' * 32),
            )
            parser = configparser.ConfigParser()
            parser.read(path)
        found = {name: list(parser[name]) for name in parser.sections()}
        self.assertEqual(
            {
                'instance': ['name', 'failure_domain'],
                'listen': list(topology.ENTRY_FIELDS),
                'platform': ['address', 'stream'],
                'peering': ['key_hex'],
                'stop': ['drain_wait_ms'],
                'traffic': ['choice_policy'],
                'log': ['level'],
                'trace': ['path'],
            },
            found,
        )


class DeploymentTest(unittest.IsolatedAsyncioTestCase):
    """Failure tests rely on signals and faults that reach one process."""

    async def test_processes_can_be_frozen_killed_and_restarted(
        self,
    ) -> None:
        """Guards against processes that outlive their deployment."""
        async with deployment.Deployment(SIZE) as running:
            first, second = running.upstreams
            running.stop(first)
            running.kill(second)
            self.assertFalse(running.children[second].is_running())
            running.resume(first)
            running.start_child(second)
            await running.wait_ready(second)
            await running.set_upstream_faults(first, lose_answers=1)
            self.assertEqual(0, await running.terminate(second))
            names = [path.name for path in running.trace_paths()]
            self.assertIn(f'{first}.trace', names)
            faults = [
                event.fields['fault']
                for event in trace.read_trace(running.trace_path('launcher'))
            ]
            self.assertIn(f'{second} killed', faults)
            started = list(running.children.values())
        self.assertFalse(any(child.is_running() for child in started))
        self.assertFalse(running.folder.exists())

    async def test_relay_addresses_can_be_cut(self) -> None:
        """Guards against a list that leads callers around the relay."""
        async with deployment.Deployment(SIZE, list_lag_ms=0) as running:
            url = f'http://{running.platform[2]}/instances'
            rows = (await running.control.send('GET', url))['instances']
            by_name = {row['name']: row['address'] for row in rows}
            near, far = running.upstreams['ledger-2'], 'ledger-1'
            self.assertEqual(near.address, by_name['ledger-2'])
            self.assertNotEqual(running.upstreams[far].address, by_name[far])
            url = f'http://{by_name[far]}/knapweedhall/health'
            await running.cut_links((1, 2))
            call = asyncio.create_task(self._get(running.session, url))
            direct = running.upstreams[far].address
            url = f'http://{direct}/knapweedhall/health'
            self.assertEqual(200, await self._get(running.session, url))
            self.assertFalse(call.done())
            await running.cut_links()
            self.assertEqual(200, await call)

    async def _get(self, session: aiohttp.ClientSession, url: str) -> int:
        async with session.get(url) as answer:
            return answer.status

    async def test_failed_start_names_the_reason(self) -> None:
        """Guards against a start that waits for a process that ended."""
        service = topology.ServiceSpec('ledger', 1, ('--no-such-option',))
        size = topology.Topology((service,), 1, 0)
        with self.assertRaisesRegex(deployment.StartFailed, 'no-such-option'):
            async with deployment.Deployment(size):
                pass
