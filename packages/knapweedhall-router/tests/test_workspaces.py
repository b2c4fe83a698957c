"""Tests of callers of workspaces with whole routers and test doubles."""

from __future__ import annotations

import asyncio
import io
import json
import re
import typing
import unittest
import unittest.mock

from aiohttp import web
import loguru

from knapweedhall_adapter import outcomes
from knapweedhall_router import application
from knapweedhall_router.control import followers
from knapweedhall_router import logs
from knapweedhall_router import state as state_module
from knapweedhall_routing import model
from tests import fleet
from tests import fleet_case

# The bound of the requirements, from the store's confirmation.
IN_FORCE_S = 2.5
ACME = ['acme', ['secret-1', 'secret-2'], 0, None, None]
OTHER = ['other', ['secret-3'], None, None, None]
# Longer than a configuration takes that comes into force during a request.
LIMIT_S = 4.0


def bearer(key: str) -> dict[str, str]:
    """Return the header of a caller with a key."""
    return {'Authorization': f'Bearer {key}'}


class WorkspaceCase(fleet_case.FleetTest):
    """A fleet with workspaces whose upstreams record received headers."""

    async def asyncSetUp(self) -> None:
        """Configure a private and a public route, and record the log."""
        self.log = io.StringIO()
        handler = loguru.logger.add(self.log, format='{message}')
        self.addCleanup(loguru.logger.remove, handler)
        await super().asyncSetUp()
        self.received: list[list[tuple[str, str]]] = []
        for upstream in self.fleet.upstreams:
            upstream.response_hook = self.record
        await self.use(ACME, OTHER)

    def record(self, request: web.BaseRequest, raw: bytes) -> bytes:
        """Record the headers that an upstream has received."""
        self.received.append(
            [
                (name.lower(), value)
                for name, value in request.headers.items()
                if name.lower().replace('_', '-')
                in ('authorization', 'x-tenant')
            ]
        )
        return raw

    def routes(self) -> list[list[typing.Any]]:
        """Return two routes that need a key and a public one."""
        running = self.fleet
        routes = [
            running.route('view', '/view/', 'safe', 'views'),
            running.route('order', '/order/', 'unsafe', 'orders'),
            [*running.route('open', '/open/', 'unsafe', 'orders'), True],
        ]
        for route in routes:
            route[fleet.ROUTE_COLUMNS.index('timeoutS')] = LIMIT_S
        return routes

    async def use(self, *rows: list[typing.Any]) -> None:
        """Put workspaces in force on all routers."""
        self.fleet.configure(self.routes(), rows)
        await self.wait_for_version()

    async def wait_for_version(self) -> None:
        """Wait until the last version is in force on all routers."""
        running = self.fleet
        await running.wait_until(
            lambda: all(
                router.state.configuration_version() == running.version
                for router in running.routers
            ),
            IN_FORCE_S,
        )

    async def send(
        self,
        path: str = '/order/1',
        fields: dict[str, str] | None = None,
        router: application.Application | None = None,
        timeout_ms: int = 1000,
    ) -> fleet.Response:
        """Send a request that is not idempotent."""
        return await self.fleet.send_request(
            router or self.fleet.routers[0],
            path,
            None,
            b'{}',
            timeout_ms,
            fields,
        )

    def run_count(self) -> int:
        """Return the number of requests that any upstream ran."""
        return sum(len(each.runs) for each in self.fleet.upstreams)

    def events(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the logged events of a kind."""
        lines = map(json.loads, self.log.getvalue().splitlines())
        return [line for line in lines if line['event'] == name]

    def assert_no_key_in_the_log(self) -> None:
        """Check that no line contains a caller's key."""
        self.assertTrue(self.log.getvalue())
        self.assertNotIn('secret', self.log.getvalue())


class IdentityTest(WorkspaceCase):
    """Known, unknown and missing keys."""

    async def test_known_key(self) -> None:
        """Guards against a key that an upstream gets, or a wrong name."""
        for fields, name in (
            (bearer('secret-1'), 'acme'),
            (bearer('secret-2'), 'acme'),
            ({'authorization': 'bEARER  secret-3'}, 'other'),
            ({**bearer('secret-3'), 'x-tenant': 'acme'}, 'other'),
            ({**bearer('secret-3'), 'X_Tenant': 'acme'}, 'other'),
            (
                {
                    **bearer('secret-3'),
                    'X-Tenant': 'acme',
                    'Connection': 'X-Tenant',
                },
                'other',
            ),
        ):
            with self.subTest(fields=fields):
                response = await self.send('/order/1', fields)
                self.assertEqual(200, response.status)
                self.assertEqual([('x-tenant', name)], self.received.pop())
        response = await self.fleet.send_request(
            self.fleet.routers[0], '/view/x', 7, fields=bearer('secret-1')
        )
        self.assertEqual(200, response.status)
        self.assertEqual([('x-tenant', 'acme')], self.received.pop())
        names = [each['workspace'] for each in self.events('request_answered')]
        self.assertIn('acme', names)
        frontend = self.fleet.routers[0].frontend
        self.assertEqual(3, frontend.workspace_counts['acme', 'answered'])
        self.assert_no_key_in_the_log()

    async def test_no_known_key(self) -> None:
        """Guards against callers that are served though nobody knows them."""
        fields: dict[str, str]
        for fields in (
            {},
            bearer('secret-0'),
            bearer('acme'),
            bearer(''),
            {'Authorization': 'Basic secret-1'},
            {'X-Tenant': 'acme'},
        ):
            with self.subTest(fields=fields):
                for path in ('/order/1', '/view/x'):
                    response = await self.send(path, fields)
                    self.assertEqual(401, response.status)
        self.assertEqual(0, self.run_count())
        counts = self.fleet.routers[0].frontend.outcome_counts
        self.assertEqual(4, counts['401-unknown-caller-key'])
        self.assertEqual(8, counts['401-no-caller-key'])
        response = await self.send('/unknown/', bearer('secret-0'))
        self.assertEqual(404, response.status)
        self.assert_no_key_in_the_log()

    async def test_public_route(self) -> None:
        """Guards against a caller that names a workspace without its key."""
        for fields, expected in (
            ({}, []),
            ({'X-Tenant': 'acme', **bearer('secret-0')}, []),
            ({'X-Tenant': 'acme', 'Authorization': 'Basic x'}, []),
            (
                {'X-Tenant': 'acme', **bearer('secret-3')},
                [('x-tenant', 'other')],
            ),
        ):
            with self.subTest(fields=fields):
                response = await self.send('/open/1', fields)
                self.assertEqual(200, response.status)
                self.assertEqual(expected, self.received.pop())

    async def test_configuration_without_workspaces(self) -> None:
        """Guards against a key that is checked or kept though none is needed.

        An empty list means that no caller is known.
        """
        self.fleet.configure(self.routes(), None)
        await self.wait_for_version()
        fields = {'X-Tenant': 'any', **bearer('secret-0')}
        self.assertEqual(200, (await self.send('/order/1', fields)).status)
        self.assertEqual(
            {('x-tenant', 'any'), ('authorization', 'Bearer secret-0')},
            set(self.received.pop()),
        )
        await self.use()
        response = await self.send('/order/1', bearer('secret-1'))
        self.assertEqual(401, response.status)

    async def test_malformed_head(self) -> None:
        """Guards against a key in the log with the reason of a 400."""
        answer = await self.exchange(
            b'POST /order/1 HTTP/1.1\r\nAuthorization: Bearer secret-1\x01'
            b'\r\n\r\n'
        )
        self.assertIn(b' 400 ', answer)
        self.assertTrue(self.events('caller_fault'))
        self.assert_no_key_in_the_log()

    async def exchange(self, raw: bytes) -> bytes:
        """Send bytes on a new connection; return all until it is closed."""
        front = self.fleet.routers[0].settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(raw)
        received = b''
        # Kept open if the response is not the last one.
        try:
            async with asyncio.timeout(1.5):
                while chunk := await reader.read(65536):
                    received += chunk
        except TimeoutError:
            pass
        writer.close()
        return received

    def head(self, request_id: str, *fields: str) -> bytes:
        """Return the head of a POST request."""
        lines = (
            'POST /order/1 HTTP/1.1',
            f'Host: {fleet.HOST}',
            f'X-Attempt-Id: {request_id}',
            *fields,
            '\r\n',
        )
        return '\r\n'.join(lines).encode()

    async def test_refused_before_the_body(self) -> None:
        """Guards against a body that is received from an unknown caller."""
        answer = await self.exchange(
            self.head(
                'q1',
                'Authorization: Bearer secret-0',
                'Content-Length: 9',
                'Expect: 100-continue',
            )
        )
        self.assertTrue(answer.startswith(b'HTTP/1.1 401 '), answer)
        self.assertIn(b'\r\nWWW-Authenticate: Bearer\r\n', answer)
        self.assertIn(b'\r\nX-Attempt-Id: q1\r\n', answer)
        self.assertNotIn(b' 100 ', answer)

    async def test_two_keys(self) -> None:
        """Guards against a caller of which it is not clear who it is."""
        answer = await self.exchange(
            self.head(
                'q1',
                'Authorization: Bearer secret-1',
                'Authorization: Bearer secret-3',
                'Content-Length: 0',
            )
        )
        self.assertIn(b' 401 ', answer)

    async def test_pipelined_requests(self) -> None:
        """Guards against a request that is served by the key of another."""
        raw = b''
        for number, key in enumerate(('secret-1', 'secret-0', '', 'secret-3')):
            fields = [f'Authorization: Bearer {key}'] if key else []
            raw += self.head(f'q{number}', *fields, 'Content-Length: 2')
            raw += b'{}'
        answer = await self.exchange(raw)
        statuses = re.findall(rb'HTTP/1.1 (\d+)', answer)
        self.assertEqual([b'200', b'401', b'401', b'200'], statuses)
        self.assertEqual(
            [[('x-tenant', 'acme')], [('x-tenant', 'other')]], self.received
        )


class ChangeTest(WorkspaceCase):
    """Configurations that change who is served."""

    async def test_added_and_removed_keys(self) -> None:
        """Guards against a change that takes effect late or not everywhere."""
        added = ['acme', ['secret-1', 'secret-4'], 0, None, None]
        for router in self.fleet.routers:
            response = await self.send('/order/1', bearer('secret-4'), router)
            self.assertEqual(401, response.status)
        await self.use(added, OTHER)
        for router in self.fleet.routers:
            response = await self.send('/order/1', bearer('secret-4'), router)
            self.assertEqual(200, response.status)
            response = await self.send('/order/1', bearer('secret-2'), router)
            self.assertEqual(401, response.status)
        # From one workspace to the other.
        await self.use(
            ['acme', ['secret-1'], 0, None, None],
            ['other', ['secret-3', 'secret-4'], None, None, None],
        )
        self.received.clear()
        for router in self.fleet.routers:
            response = await self.send('/order/1', bearer('secret-4'), router)
            self.assertEqual(200, response.status)
        self.assertEqual([[('x-tenant', 'other')]] * 2, self.received)

    async def test_invalid_configuration(self) -> None:
        """Guards against a part of an invalid configuration in force.

        Also by the coordinator's feed. A later version is in force again.
        """
        running = self.fleet
        version = running.version
        running.configure([], [['x', ['secret-1']], ['y', ['secret-1']]])
        await running.wait_until(
            lambda: len(self.events('configuration_unreadable')) >= 2,
            IN_FORCE_S,
        )
        processes = {
            event['reason']
            for event in self.events('configuration_unreadable')
        }
        self.assertEqual(
            {
                "configuration: ValueError: workspaces 'x' and 'y' have the "
                'same key'
            },
            processes,
        )
        for router in running.routers:
            self.assertEqual(version, router.state.configuration_version())
            response = await self.send('/order/1', bearer('secret-3'), router)
            self.assertEqual(200, response.status)
        await self.use(ACME)
        for router in running.routers:
            response = await self.send('/order/1', bearer('secret-3'), router)
            self.assertEqual(401, response.status)
        self.assert_no_key_in_the_log()

    async def test_start_after_an_invalid_configuration(self) -> None:
        """Guards against an instance that can't serve after a restart."""
        running = self.fleet
        version = running.version
        for _ in range(2):
            running.configure([], [['', ['secret-1']]])
        router = running.add_router()
        await running.wait_until(router.state.is_ready)
        self.assertEqual(version, router.state.configuration_version())
        response = await self.send('/order/1', bearer('secret-3'), router)
        self.assertEqual(200, response.status)

    async def test_key_is_removed_while_the_body_arrives(self) -> None:
        """Guards against a request that runs with a key that was removed."""
        front = self.fleet.routers[0].settings.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        head = (
            f'POST /order/1 HTTP/1.1\r\nHost: {fleet.HOST}\r\n'
            'X-Attempt-Id: q1\r\nAuthorization: Bearer secret-2\r\n'
            'Content-Length: 2\r\n\r\n{'
        )
        writer.write(head.encode())
        await asyncio.sleep(0.1)
        await self.use(['acme', ['secret-1'], 0, None, None])
        writer.write(b'}')
        status_line = await reader.readline()
        writer.close()
        self.assertIn(b' 401 ', status_line)
        self.assertEqual(0, self.run_count())
        (event,) = self.events('request_failed')
        self.assertEqual('unknown-caller-key', event['reason'])
        self.assert_no_key_in_the_log()

    async def send_while_waiting(
        self, *rows: list[typing.Any]
    ) -> fleet.Response:
        """Send a request for a key that moves; change workspaces meanwhile."""
        router = self.fleet.routers[0]
        selector = router.frontend.dispatcher.selector
        select = selector.select
        waits, changed = asyncio.Event(), asyncio.Event()

        async def wait_and_select(call: typing.Any) -> typing.Any:
            waits.set()
            await changed.wait()
            return await select(call)

        selector.select = wait_and_select  # type: ignore[method-assign]
        sending = asyncio.create_task(
            self.send('/order/1', bearer('secret-2'), timeout_ms=4000)
        )
        await waits.wait()
        await self.use(*rows)
        changed.set()
        return await sending

    async def test_key_is_removed_while_the_request_waits(self) -> None:
        """Guards against a request that runs with a key that was removed."""
        response = await self.send_while_waiting(OTHER)
        self.assertEqual((401, 0), (response.status, self.run_count()))

    async def test_key_gets_another_workspace_meanwhile(self) -> None:
        """Guards against a request that runs for the former workspace."""
        response = await self.send_while_waiting(
            ['other', ['secret-2'], None, None, None]
        )
        self.assertEqual(200, response.status)
        self.assertEqual([('x-tenant', 'other')], self.received.pop())


class RejectionTest(unittest.TestCase):
    """Configurations that are rejected."""

    def test_listings_contain_it_again(self) -> None:
        """Guards against a line of the log for each listing."""
        state = state_module.State(fleet.Fleet().new_settings())
        follower = followers.PlatformFollower(
            typing.cast(typing.Any, None), state
        )
        with unittest.mock.patch.object(logs, 'warning') as warning:
            for _ in range(3):
                record = outcomes.Record(7, 'config', b'{}')
                follower.process([record], True)
            self.assertEqual(1, warning.call_count)
            follower.process([outcomes.Record(9, 'config', b'{}')], False)
            self.assertEqual(2, warning.call_count)


class RecordsTest(unittest.TestCase):
    """Workspaces in the product's own records."""

    def setUp(self) -> None:
        """Follow the records, of which one is a service."""
        self.state = state_module.State(fleet.Fleet().new_settings())
        self.follower = followers.RecordFollower(
            typing.cast(typing.Any, None), self.state
        )
        limits = {'connections': 9}
        self.service = {'mode': 'choice', 'limits': limits, 'public': True}
        self.put('service', 's', 1, self.service)

    def put(self, kind: str, name: str, version: int, body: object) -> None:
        """Apply a record."""
        fields = {
            'kind': kind,
            'schema': 2,
            'name': name,
            'version': version,
            'replaces': version - 1,
            'writer': 'ana',
            'incarnation': 1,
            'number': 1,
            'body': body,
        }
        raw = json.dumps(fields).encode()
        record = outcomes.Record(version, f'{kind}/{name}', raw)
        self.follower.apply([record])

    def workspaces(self) -> object:
        """Return the workspaces in force."""
        assert self.state.configuration is not None
        return self.state.configuration.workspaces

    def test_workspaces(self) -> None:
        """Guards against a field of a record that is lost."""
        self.assertIsNone(self.state.workspaces)
        assert self.state.configuration is not None
        self.assertTrue(self.state.configuration.routes[0].public)
        body = {'keys': ['k'], 'priority': 0, 'rate_per_s': 5, 'burst': 2}
        self.put('workspace', 'acme', 1, body)
        expected = model.Workspace('acme', ('k',), 0, 5.0, 2.0)
        self.assertEqual((expected,), self.workspaces())

    def test_key_of_two_workspaces(self) -> None:
        """Guards against a part of an invalid configuration in force."""
        self.put('workspace', 'acme', 1, {'keys': ['k']})
        in_force = self.state.configuration
        self.put('workspace', 'other', 1, {'keys': ['k']})
        self.put('service', 's', 2, {**self.service, 'public': False})
        self.assertEqual(in_force, self.state.configuration)
        self.put('workspace', 'other', 2, {'keys': ['l']})
        assert self.state.configuration is not None
        self.assertFalse(self.state.configuration.routes[0].public)
        self.assertEqual(2, len(self.state.configuration.workspaces or ()))
