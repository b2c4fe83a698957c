"""Tests of `publish` against a log in memory."""

from __future__ import annotations

import asyncio
import json
import pathlib
import tempfile
import typing
import unittest
import unittest.mock

from knapweedhall_ctl import draft
from knapweedhall_ctl import exchange
from knapweedhall_ctl import exit_codes
from knapweedhall_ctl import main
from knapweedhall_ctl import publish
from knapweedhall_ctl import report
from knapweedhall_platform import outcomes

MARK = {
    'kind': 'mark',
    'schema': 2,
    'name': 'domain/north',
    'body': {'state': 'out'},
}
AUTHOR = draft.Author('ana', 7)


def rival(version: int, replaces: int) -> str:
    """Return a record of another operator for the same name."""
    author = {'writer': 'bea', 'incarnation': 1, 'number': version}
    versions = {'version': version, 'replaces': replaces}
    return json.dumps({**MARK, **author, **versions})


class MemoryLog:
    """A log that loses some responses after the append has taken effect."""

    def __init__(self, *bodies: str, first: int = 0) -> None:
        self.first = first
        self.bodies = list(bodies)
        self.lost_responses = 0
        self.dropped = 0
        self.before_append: str | None = None
        self.reachable = True

    async def append(
        self, record: bytes, deadline: float
    ) -> outcomes.AppendOutcome:
        if self.before_append:
            self.bodies.append(self.before_append)
            self.before_append = None
        if self.dropped:
            self.dropped -= 1
            return outcomes.AppendUnknown('dropped')
        self.bodies.append(record.decode())
        if self.lost_responses:
            self.lost_responses -= 1
            return outcomes.AppendUnknown('response lost')
        return outcomes.Appended(self.first + len(self.bodies) - 1)

    async def read(
        self, start: int, deadline: float, limit: int = 500, wait_ms: int = 0
    ) -> outcomes.ReadOutcome:
        if not self.reachable:
            return outcomes.Unreachable('down')
        if start < self.first:
            return outcomes.Expired(self.first)
        rows = enumerate(self.bodies, self.first)
        found = [
            outcomes.StoredRecord(offset, 0, body)
            for offset, body in rows
            if offset >= start
        ][:limit]
        return outcomes.LogPage(self.first, start + len(found), tuple(found))


class PublishTest(unittest.TestCase):
    def setUp(self) -> None:
        no_pause = unittest.mock.patch.object(exchange, 'RETRY_PAUSE_S', 0.0)
        no_pause.start()
        self.addCleanup(no_pause.stop)

    def publish(
        self, log: MemoryLog, patience_s: float = 60.0, **more: typing.Any
    ) -> report.Report:
        async def run() -> report.Report:
            deadline = asyncio.get_running_loop().time() + patience_s
            return await publish.publish(
                log, {**MARK, **more}, AUTHOR, deadline
            )

        return asyncio.run(run())

    def test_fills_in_the_version_in_force(self) -> None:
        """Guards against a record that replaces a version long gone."""
        log = MemoryLog(rival(1, 0), rival(4, 1))
        found = self.publish(log)
        self.assertEqual(exit_codes.OK, found.exit_code)
        self.assertEqual(2, found.fields['offset'])
        self.assertEqual(5, found.fields['version'])

    def test_rival_before_the_append_is_a_conflict(self) -> None:
        """Guards against both racing operators being told accepted."""
        log = MemoryLog(rival(1, 0))
        log.before_append = rival(2, 1)
        found = self.publish(log)
        self.assertEqual(exit_codes.NEGATIVE, found.exit_code)
        self.assertIn('--replaces 2', found.text)

    def test_lost_response_is_read_back_without_a_second_append(self) -> None:
        """Guards against a false failure after a lost response."""
        log = MemoryLog()
        log.lost_responses = 1
        found = self.publish(log)
        self.assertEqual(exit_codes.OK, found.exit_code)
        self.assertEqual(1, len(log.bodies))

    def test_dropped_append_is_repeated_with_the_same_number(self) -> None:
        """Guards against a repeat that readers cannot recognise."""
        log = MemoryLog()
        log.dropped = 2
        found = self.publish(log)
        self.assertEqual(exit_codes.OK, found.exit_code)
        self.assertEqual(1, json.loads(log.bodies[0])['number'])

    def test_own_repeat_is_no_conflict(self) -> None:
        """Guards against losing to the first copy of the same append."""
        late = {**MARK, **AUTHOR._asdict(), 'version': 1, 'replaces': 0}
        log = MemoryLog()
        log.before_append = json.dumps(late)
        self.assertEqual(0, self.publish(log).fields['offset'])

    def test_stale_replaces_is_refused_before_the_append(self) -> None:
        """Guards against a needless append of a record that must lose."""
        log = MemoryLog(rival(1, 0), rival(2, 1))
        found = self.publish(log, replaces=1)
        self.assertEqual(exit_codes.NEGATIVE, found.exit_code)
        self.assertEqual(2, len(log.bodies))

    def test_expired_log_starts_from_its_checkpoint(self) -> None:
        """Guards against versions that restart at 1 after retention."""
        body = {
            'offset': 8,
            'chunk': 0,
            'chunks': 1,
            'records': [rival(6, 2)],
        }
        chunk = json.dumps(
            {
                **MARK,
                **{'kind': 'checkpoint', 'name': '0', 'body': body},
                **{'version': 1, 'replaces': 0},
                **{'writer': 'e1', 'incarnation': 1, 'number': 1},
            }
        )
        found = self.publish(MemoryLog(rival(7, 6), chunk, first=8))
        self.assertEqual(8, found.fields['version'])

    def test_expired_log_without_checkpoint_is_refused(self) -> None:
        """Guards against a guessed version."""
        found = self.publish(MemoryLog(rival(7, 6), first=8))
        self.assertEqual('missing-records', found.fields['error'])

    def test_outage_before_and_after_the_append_differ(self) -> None:
        """Guards against reporting 'nothing appended' when it was sent."""
        log = MemoryLog()
        log.reachable = False
        found = self.publish(log, patience_s=0.0)
        self.assertEqual(exit_codes.PLATFORM_UNAVAILABLE, found.exit_code)
        log.reachable = True
        log.dropped = 1
        found = self.publish(log, patience_s=0.0)
        self.assertEqual(exit_codes.OUTCOME_UNKNOWN, found.exit_code)


class ValidateTest(unittest.TestCase):
    def run_main(self, text: str) -> int:
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
