"""Tests of following the log."""

from __future__ import annotations

import typing
import unittest

from knapweedhall_entry import log_follower
from knapweedhall_ownership import checkpoints
from knapweedhall_ownership import configuration
from knapweedhall_records import bodies
from tests import control_fakes as fakes

MARK = bodies.Mark('out')


class LogFollowerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against state that is lost or taken from a gap in the log."""

    def setUp(self) -> None:
        self.log = fakes.Log()
        self.events = fakes.Recorder()
        self.follower = log_follower.LogFollower(
            typing.cast(typing.Any, self.log), 1.0, self.events
        )

    def versions(self) -> dict[configuration.Key, int]:
        return self.follower.store.versions()

    async def test_restores_and_follows(self) -> None:
        """Guards against records that are missed between the two phases."""
        self.log.put(fakes.text('mark', 'domain/x', MARK))
        await self.follower.restore()
        self.log.put(fakes.text('mark', 'domain/x', MARK, 1))
        page = await self.follower.read(self.follower.position, 0)
        self.follower.apply_page(typing.cast(typing.Any, page))
        self.assertEqual(self.versions(), {('mark', 'domain/x'): 2})

    async def test_bad_records_are_skipped(self) -> None:
        """Guards against a reader that one malformed record stops."""
        await self.follower.restore()
        for line in ('', '{', '[]', '{"kind": 1}'):
            self.log.put(line)
        self.log.put(fakes.text('mark', 'domain/x', MARK))
        page = await self.follower.read(self.follower.position, 0)
        self.follower.apply_page(typing.cast(typing.Any, page))
        self.assertEqual(self.events.names().count('record_skipped'), 4)
        self.assertEqual(self.versions(), {('mark', 'domain/x'): 1})
        self.assertEqual(self.follower.position, 5)

    async def test_outage_is_reported_once(self) -> None:
        """Guards against a log line for each attempt during an outage."""
        await self.follower.restore()
        self.log.down = True
        for _ in range(3):
            await self.follower.read(0, 0)
        self.log.down = False
        await self.follower.read(0, 0)
        found = [name for name in self.events.names() if 'log_' in name]
        self.assertEqual(
            found, ['log_reachable', 'log_unreachable', 'log_reachable']
        )

    async def test_expired_records_are_not_skipped(self) -> None:
        """Guards against starting in the middle of the log."""
        self.log.put(fakes.text('mark', 'domain/x', MARK))
        self.log.put(fakes.text('mark', 'domain/x', MARK, 1))
        self.log.expire(1)
        self.assertFalse(await self.follower.restore_from_log())
        self.assertFalse(self.follower.restored)
        self.assertEqual(self.follower.missing_first, 1)
        self.assertIn('records_expired', self.events.names())

    async def test_checkpoint_replaces_expired_records(self) -> None:
        """Guards against a restart that ignores the checkpoint."""
        store = configuration.Store()
        fakes.put(store, 'mark', 'domain/x', MARK)
        self.log.put('expired')
        for chunk in checkpoints.divide(store.snapshot()):
            self.log.put(fakes.text('checkpoint', str(chunk.chunk), chunk))
        self.log.expire(1)
        self.assertTrue(await self.follower.restore_from_log())
        self.assertEqual(self.versions(), {('mark', 'domain/x'): 1})
        self.assertEqual(self.follower.checkpoints_read, 1)

    async def test_gap_after_outage_is_filled_by_a_peer(self) -> None:
        """Guards against applying a tail that does not continue the state."""
        await self.follower.restore()
        store = configuration.Store()
        fakes.put(store, 'mark', 'domain/x', MARK)
        fakes.put(store, 'mark', 'domain/x', MARK, 1)
        for _ in range(3):
            self.log.put('{')
        self.log.expire(2)
        self.assertFalse(await self.follower.restore_from_log())
        self.follower.load(store.snapshot(), 'b')
        self.assertIsNone(self.follower.missing_first)
        self.assertEqual(self.follower.position, 2)
        self.assertEqual(self.versions(), {('mark', 'domain/x'): 2})

    async def test_peer_records_never_replace_newer_ones(self) -> None:
        """Guards against a configuration that reverts."""
        self.log.put(fakes.text('mark', 'domain/x', MARK))
        self.log.put(fakes.text('mark', 'domain/x', MARK, 1))
        await self.follower.restore()
        older = configuration.Store()
        fakes.put(older, 'mark', 'domain/x', MARK)
        self.follower.load_partial(older.snapshot(), 'b')
        self.assertEqual(self.versions(), {('mark', 'domain/x'): 2})
