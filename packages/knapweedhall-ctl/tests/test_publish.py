"""Tests of the commands against a fake store in the same process."""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import tempfile
import typing
import unittest
import unittest.mock

import aiohttp

from knapweedhall_adapter import store as store_client
from knapweedhall_ctl import connection
from knapweedhall_ctl import draft
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import main
from knapweedhall_ctl import owners
from knapweedhall_ctl import publish
from knapweedhall_ctl import record_log
from knapweedhall_ctl import report
from knapweedhall_ctl import show
from knapweedhall_router.control import coordinator_store
from knapweedhall_router.control import operator_records
from knapweedhall_standins import store

MARK = {
    'kind': 'mark',
    'schema': 2,
    'name': 'domain/north',
    'body': {'state': 'out'},
}
AUTHOR = draft.Author('ana', 7)


def competing_record(version: int, replaces: int) -> dict[str, typing.Any]:
    """Return a record by another operator with the same key."""
    author = {'writer': 'bea', 'incarnation': 1, 'number': version}
    return {**MARK, **author, 'version': version, 'replaces': replaces}


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Base class of the tests with a store."""

    async def asyncSetUp(self) -> None:
        """Start a store, and shorten the pause before a retry."""
        short_pause = unittest.mock.patch.object(
            record_log, 'RETRY_PAUSE_S', 0.01
        )
        short_pause.start()
        self.addCleanup(short_pause.stop)
        self.store = store.Store()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.client = store_client.StoreClient(
            self.session, self.store.address
        )

    def put(self, record: dict[str, typing.Any]) -> None:
        """Write a record with the key of `MARK` to the store."""
        self.store.put(operator_records.TOPIC, 'mark/domain/north', record)

    def newest(self) -> dict[str, typing.Any]:
        """Return the newest record with the key of `MARK`."""
        topic = self.store.partition(operator_records.TOPIC)
        raw = topic.newest['mark/domain/north'].value
        return typing.cast(dict[str, typing.Any], json.loads(raw))

    async def publish(
        self, timeout_s: float = 5.0, **changes: typing.Any
    ) -> report.Report:
        """Publish `MARK` with changed fields."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        return await publish.publish(
            self.client, {**MARK, **changes}, AUTHOR, deadline
        )

    def arguments(self, **others: typing.Any) -> argparse.Namespace:
        """Return the arguments of a command that calls the store."""
        return argparse.Namespace(store=self.store.address, **others)


class PublishTest(StoreTest):
    """Publishing: versions, races and outages."""

    async def test_fills_in_the_version_in_force(self) -> None:
        """Guards against a record that replaces an outdated version."""
        self.put(competing_record(1, 0))
        self.put(competing_record(4, 1))
        result = await self.publish()
        self.assertEqual(exit_codes.OK, result.exit_code)
        self.assertEqual(5, result.fields['version'])
        self.assertEqual((5, 4), (self.newest()['version'], 4))

    async def test_competing_record_is_a_conflict(self) -> None:
        """Guards against two operators whose records both count as accepted.

        The other record is appended after this command read the version in
        force and before its append.
        """
        self.put(competing_record(1, 0))
        read_state = record_log.read_state
        raced = []

        async def read_then_race(*args: typing.Any) -> typing.Any:
            state = await read_state(*args)
            if not raced:
                raced.append(True)
                self.put(competing_record(2, 1))
            return state

        with unittest.mock.patch.object(
            record_log, 'read_state', read_then_race
        ):
            result = await self.publish()
        self.assertEqual(exit_codes.NEGATIVE, result.exit_code)
        self.assertIn('--replaces 2', result.text)
        self.assertEqual('bea', self.newest()['writer'])

    async def test_record_of_another_name_is_no_conflict(self) -> None:
        """Guards against conflicts between records of different names."""
        read_state = record_log.read_state
        raced = []

        async def read_then_race(*args: typing.Any) -> typing.Any:
            state = await read_state(*args)
            if not raced:
                raced.append(True)
                self.store.put(operator_records.TOPIC, 'mark/domain/south', {})
            return state

        with unittest.mock.patch.object(
            record_log, 'read_state', read_then_race
        ):
            result = await self.publish()
        self.assertEqual(exit_codes.OK, result.exit_code)

    async def test_lost_answer_is_read_back(self) -> None:
        """Guards against a second append, and against a false failure.

        The append takes effect, but the store's answer is lost.
        """
        self.store.faults.lose_answers = 1
        result = await self.publish()
        self.assertEqual(exit_codes.OK, result.exit_code)
        self.assertEqual(
            1, self.store.partition(operator_records.TOPIC).end_offset
        )

    async def test_late_append_is_no_conflict(self) -> None:
        """Guards against a late append counted as a conflict or repeated.

        The first append is not answered and takes effect 1.5 s later, unless
        something else was appended by then.
        """
        self.store.faults.late_appends = 1
        self.store.faults.late_s = 1.5
        result = await self.publish(8.0)
        self.assertEqual(exit_codes.OK, result.exit_code)
        await asyncio.sleep(1.0)
        self.assertEqual(
            1, self.store.partition(operator_records.TOPIC).end_offset
        )

    async def test_outdated_replaces_is_rejected_before_the_append(
        self,
    ) -> None:
        """Guards against an append of a record that can't come into force."""
        self.put(competing_record(1, 0))
        self.put(competing_record(2, 1))
        result = await self.publish(replaces=1)
        self.assertEqual(exit_codes.NEGATIVE, result.exit_code)
        self.assertEqual(
            2, self.store.partition(operator_records.TOPIC).end_offset
        )

    async def test_version_continues_after_retention(self) -> None:
        """Guards against versions that restart at 1.

        The store may have deleted the history of the topic.
        """
        self.put(competing_record(6, 2))
        self.store.partition(operator_records.TOPIC).delete_history()
        result = await self.publish()
        self.assertEqual(7, result.fields['version'])

    async def test_outage_before_and_after_the_append_differ(self) -> None:
        """Guards against reporting a record that was sent as not appended."""
        self.store.faults.down = True
        result = await self.publish(0.0)
        self.assertEqual(exit_codes.PLATFORM_UNAVAILABLE, result.exit_code)
        self.store.faults.down = False
        self.store.faults.late_appends = 9
        result = await self.publish(0.0)
        self.assertEqual(exit_codes.OUTCOME_UNKNOWN, result.exit_code)


class WorkspaceTest(StoreTest):
    """Records of workspaces."""

    async def publish_workspace(self, name: str, *keys: str) -> report.Report:
        """Publish a workspace with these keys."""
        body = {'keys': list(keys), 'rate_per_s': 51}
        return await self.publish(kind='workspace', name=name, body=body)

    async def test_key_of_another_workspace(self) -> None:
        """Guards against a record with which routers reject all others."""
        await self.publish_workspace('acme', 'secret-1')
        result = await self.publish_workspace('other', 'secret-1')
        self.assertEqual(exit_codes.INVALID_INPUT, result.exit_code)
        self.assertIn("'acme'", result.text)
        self.assertNotIn('secret', result.text)
        for name, keys in (('acme', ()), ('other', ('secret-1',))):
            result = await self.publish_workspace(name, *keys)
            self.assertEqual(exit_codes.OK, result.exit_code)

    async def test_key_that_is_published_at_the_same_time(self) -> None:
        """Guards against two operators who use one key at the same time."""
        read_state = record_log.read_state

        async def read_then_race(*args: typing.Any) -> typing.Any:
            state = await read_state(*args)
            with unittest.mock.patch.object(
                record_log, 'read_state', read_state
            ):
                await self.publish_workspace('acme', 'secret-1')
            return state

        with unittest.mock.patch.object(
            record_log, 'read_state', read_then_race
        ):
            result = await self.publish_workspace('other', 'secret-1')
        self.assertEqual(exit_codes.INVALID_INPUT, result.exit_code)

    async def test_show_prints_no_keys(self) -> None:
        """Guards against keys in what a terminal keeps."""
        await self.publish_workspace('acme', 'secret-1')
        arguments = self.arguments(kind='workspace', name=None)
        result = await asyncio.to_thread(show.run, arguments)
        self.assertNotIn('secret', result.text)
        (record,) = result.fields['records']
        self.assertEqual(('secret-1',), record['body']['keys'])


class ShowTest(StoreTest):
    """Commands that print the state of the fleet."""

    async def test_show_prints_what_is_in_force(self) -> None:
        """Guards against a listing that includes replaced records."""
        self.put(competing_record(1, 0))
        self.put(competing_record(2, 1))
        result = await asyncio.to_thread(
            show.run, self.arguments(kind='mark', name=None)
        )
        self.assertEqual(exit_codes.OK, result.exit_code)
        self.assertEqual([2], [r['version'] for r in result.fields['records']])
        self.assertIn('state=out', result.text)

    async def test_owners_of_keys(self) -> None:
        """Guards against printing the owners of other keys."""
        rows = [[0, 99, 'a', 'h', 1, 5], [100, 65535, 'b', 'h', 2, 5]]
        self.store.put(coordinator_store.TOPIC, 'table/ledger', rows)
        for keys, expected in (('100', ['b']), ('90-100', ['a', 'b'])):
            result = await asyncio.to_thread(
                owners.run, self.arguments(service='ledger', keys=keys)
            )
            names = [row['upstream'] for row in result.fields['owners']]
            self.assertEqual(expected, names)
        result = await asyncio.to_thread(
            owners.run, self.arguments(service='ledger', keys='x')
        )
        self.assertEqual(exit_codes.INVALID_INPUT, result.exit_code)

    async def test_keys_that_are_no_numbers(self) -> None:
        """Guards against a traceback in place of a refusal."""
        for keys in ('\u00b2', '1-\u00b2', '1' * 5000, '65536', '0-70000'):
            with self.subTest(keys=keys[:10]):
                result = await asyncio.to_thread(
                    owners.run, self.arguments(service='ledger', keys=keys)
                )
                self.assertEqual(exit_codes.INVALID_INPUT, result.exit_code)

    async def test_status_without_a_coordinator(self) -> None:
        """Guards against a command that hangs or fails with a traceback."""
        argv = ['status', '--store', self.arguments().store]
        with unittest.mock.patch('builtins.print') as printed:
            exit_code = await asyncio.to_thread(main.main, argv)
        self.assertEqual(exit_codes.PLATFORM_UNAVAILABLE, exit_code)
        self.assertIn('names no coordinator', str(printed.call_args))
        self.store.faults.down = True
        with self.assertRaises(connection.Unanswered):
            await connection.query_overview(self.client)


class ValidateTest(unittest.TestCase):
    """Exit codes and help of the command line."""

    def run_main(self, text: str) -> int:
        """Run `validate` on a file with this text; return the exit code."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'record.json'
            path.write_text(text)
            with unittest.mock.patch('builtins.print'):
                return main.main(['validate', str(path), '--json'])

    def test_exit_codes(self) -> None:
        """Guards against scripts that take an invalid record for a valid one.

        They rely on the exit code of `validate`.
        """
        self.assertEqual(exit_codes.OK, self.run_main(json.dumps(MARK)))
        invalid = {**MARK, 'body': {'state': 'sideways'}}
        self.assertEqual(
            exit_codes.INVALID_INPUT, self.run_main(json.dumps(invalid))
        )
        self.assertEqual(exit_codes.INVALID_INPUT, self.run_main('{'))

    def test_each_command_has_an_example(self) -> None:
        """Guards against a command without an example in its help."""
        parser = main.build_parser()
        text = parser.format_help()
        for command in main.COMMANDS:
            name = command.__name__.rpartition('.')[2]
            self.assertIn(name, text)
            self.assertIn(f'knapweedhallctl {name}', command.EXAMPLE)
