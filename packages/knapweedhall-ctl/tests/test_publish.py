"""Tests of the commands against a store and routers in one process."""

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
from knapweedhall_ctl import exchange
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import main
from knapweedhall_ctl import owners
from knapweedhall_ctl import publish
from knapweedhall_ctl import report
from knapweedhall_ctl import show
from knapweedhall_router import ledger
from knapweedhall_router import published
from knapweedhall_standins import store

MARK = {
    'kind': 'mark',
    'schema': 2,
    'name': 'domain/north',
    'body': {'state': 'out'},
}
AUTHOR = draft.Author('ana', 7)


def rival(version: int, replaces: int) -> dict[str, typing.Any]:
    """Return a record of another operator for the same name."""
    author = {'writer': 'bea', 'incarnation': 1, 'number': version}
    return {**MARK, **author, 'version': version, 'replaces': replaces}


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a store."""

    async def asyncSetUp(self) -> None:
        """Start a store."""
        no_pause = unittest.mock.patch.object(exchange, 'RETRY_PAUSE_S', 0.01)
        no_pause.start()
        self.addCleanup(no_pause.stop)
        self.store = store.Store()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.client = store_client.StoreClient(
            self.session, self.store.address
        )

    def put(self, record: dict[str, typing.Any]) -> None:
        """Write a record of another operator."""
        self.store.put(published.TOPIC, 'mark/domain/north', record)

    def newest(self) -> dict[str, typing.Any]:
        """Return the record in the store."""
        topic = self.store.partition(published.TOPIC)
        raw = topic.newest['mark/domain/north'].value
        return typing.cast(dict[str, typing.Any], json.loads(raw))

    async def publish(
        self, patience_s: float = 5.0, **more: typing.Any
    ) -> report.Report:
        """Publish the mark."""
        deadline = asyncio.get_running_loop().time() + patience_s
        return await publish.publish(
            self.client, {**MARK, **more}, AUTHOR, deadline
        )

    def arguments(self, **more: typing.Any) -> argparse.Namespace:
        """Return arguments of a command that asks the store."""
        return argparse.Namespace(store=self.store.address, **more)


class PublishTest(StoreTest):
    """Versions, races and outages."""

    async def test_fills_in_the_version_in_force(self) -> None:
        """Guards against a record that replaces a version long gone."""
        self.put(rival(1, 0))
        self.put(rival(4, 1))
        found = await self.publish()
        self.assertEqual(exit_codes.OK, found.exit_code)
        self.assertEqual(5, found.fields['version'])
        self.assertEqual((5, 4), (self.newest()['version'], 4))

    async def test_rival_before_the_append_is_a_conflict(self) -> None:
        """Guards against both racing operators being told accepted."""
        self.put(rival(1, 0))
        ordinary = exchange.find
        raced = []

        async def find(*given: typing.Any) -> typing.Any:
            found = await ordinary(*given)
            if not raced:
                raced.append(True)
                self.put(rival(2, 1))
            return found

        with unittest.mock.patch.object(exchange, 'find', find):
            found = await self.publish()
        self.assertEqual(exit_codes.NEGATIVE, found.exit_code)
        self.assertIn('--replaces 2', found.text)
        self.assertEqual('bea', self.newest()['writer'])

    async def test_record_of_another_name_is_no_conflict(self) -> None:
        """Guards against operators who disturb one another for nothing."""
        ordinary = exchange.find
        raced = []

        async def find(*given: typing.Any) -> typing.Any:
            found = await ordinary(*given)
            if not raced:
                raced.append(True)
                self.store.put(published.TOPIC, 'mark/domain/south', {})
            return found

        with unittest.mock.patch.object(exchange, 'find', find):
            found = await self.publish()
        self.assertEqual(exit_codes.OK, found.exit_code)

    async def test_lost_answer_is_read_back(self) -> None:
        """Guards against a false failure, and against a second append."""
        self.store.faults.lose_answers = 1
        found = await self.publish()
        self.assertEqual(exit_codes.OK, found.exit_code)
        self.assertEqual(1, self.store.partition(published.TOPIC).end)

    async def test_late_append_is_no_conflict(self) -> None:
        """Guards against an append of ours that takes effect afterwards."""
        self.store.faults.late_appends = 1
        self.store.faults.late_s = 1.5
        found = await self.publish(8.0)
        self.assertEqual(exit_codes.OK, found.exit_code)
        await asyncio.sleep(1.0)
        self.assertEqual(1, self.store.partition(published.TOPIC).end)

    async def test_stale_replaces_is_refused_before_the_append(self) -> None:
        """Guards against a needless append of a record that must lose."""
        self.put(rival(1, 0))
        self.put(rival(2, 1))
        found = await self.publish(replaces=1)
        self.assertEqual(exit_codes.NEGATIVE, found.exit_code)
        self.assertEqual(2, self.store.partition(published.TOPIC).end)

    async def test_history_may_be_gone(self) -> None:
        """Guards against versions that restart at 1 after retention."""
        self.put(rival(6, 2))
        self.store.partition(published.TOPIC).delete_history()
        found = await self.publish()
        self.assertEqual(7, found.fields['version'])

    async def test_outage_before_and_after_the_append_differ(self) -> None:
        """Guards against reporting 'nothing appended' when it was sent."""
        self.store.faults.down = True
        found = await self.publish(0.0)
        self.assertEqual(exit_codes.PLATFORM_UNAVAILABLE, found.exit_code)
        self.store.faults.down = False
        self.store.faults.late_appends = 9
        found = await self.publish(0.0)
        self.assertEqual(exit_codes.OUTCOME_UNKNOWN, found.exit_code)


class ShowTest(StoreTest):
    """What operators look at."""

    async def test_show_prints_what_is_in_force(self) -> None:
        """Guards against a listing with records that lost."""
        self.put(rival(1, 0))
        self.put(rival(2, 1))
        found = await asyncio.to_thread(
            show.run, self.arguments(kind='mark', name=None)
        )
        self.assertEqual(exit_codes.OK, found.exit_code)
        self.assertEqual([2], [r['version'] for r in found.fields['records']])
        self.assertIn('state=out', found.text)

    async def test_owners_of_keys(self) -> None:
        """Guards against an answer for the wrong keys."""
        rows = [[0, 99, 'a', 'h', 1, 5], [100, 65535, 'b', 'h', 2, 5]]
        self.store.put(ledger.TOPIC, 'table/ledger', rows)
        for keys, wanted in (('100', ['b']), ('90-100', ['a', 'b'])):
            found = await asyncio.to_thread(
                owners.run, self.arguments(service='ledger', keys=keys)
            )
            names = [row['upstream'] for row in found.fields['owners']]
            self.assertEqual(wanted, names)
        found = await asyncio.to_thread(
            owners.run, self.arguments(service='ledger', keys='x')
        )
        self.assertEqual(exit_codes.INVALID_INPUT, found.exit_code)

    async def test_status_without_a_coordinator(self) -> None:
        """Guards against a command that hangs or raises."""
        words = ['status', '--store', self.arguments().store]
        with unittest.mock.patch('builtins.print') as printed:
            exit_code = await asyncio.to_thread(main.main, words)
        self.assertEqual(exit_codes.PLATFORM_UNAVAILABLE, exit_code)
        self.assertIn('names no coordinator', str(printed.call_args))
        self.store.faults.down = True
        with self.assertRaises(connection.Unanswered):
            await connection.overview(self.client)


class ValidateTest(unittest.TestCase):
    """Exit codes of the command line."""

    def run_main(self, text: str) -> int:
        """Validate a file with a text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'record.json'
            path.write_text(text)
            with unittest.mock.patch('builtins.print'):
                return main.main(['validate', str(path), '--json'])

    def test_exit_codes(self) -> None:
        """Guards against an invalid record that scripts take as valid."""
        self.assertEqual(exit_codes.OK, self.run_main(json.dumps(MARK)))
        bad = {**MARK, 'body': {'state': 'sideways'}}
        self.assertEqual(
            exit_codes.INVALID_INPUT, self.run_main(json.dumps(bad))
        )
        self.assertEqual(exit_codes.INVALID_INPUT, self.run_main('{'))

    def test_each_command_has_an_example(self) -> None:
        """Guards against help that leaves the reader without a start."""
        parser = main.build_parser()
        text = parser.format_help()
        for command in main.COMMANDS:
            name = command.__name__.rpartition('.')[2]
            self.assertIn(name, text)
            self.assertIn(f'knapweedhallctl {name}', command.EXAMPLE)
