"""Failures that operators of similar systems reported.

docs/operator-stories.md describes them. Each is played against the router as
it is, which must keep its promises, and without the safeguard that rules the
failure out, which must break them.
"""

from __future__ import annotations

import asyncio
import collections.abc
import itertools
import math
import time
import typing
from unittest import mock

import aiohttp
from aiohttp import web

from knapweedhall_router import application
from knapweedhall_router.control import coordinator
from knapweedhall_router.control import coordinator_store
from knapweedhall_router.control import feed
from knapweedhall_router.control import followers
from knapweedhall_router.control import moves
from knapweedhall_router.serving import connections
from knapweedhall_router.serving import dispatch
from knapweedhall_router.serving import exchange
from knapweedhall_router.serving import selection
from knapweedhall_router import settings
from knapweedhall_routing import holdings
from knapweedhall_standins import upstream
from tests import fleet
from tests import fleet_case

REFUSAL = b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n'
Hook = collections.abc.Callable[[web.BaseRequest], bytes]


class StoryTest(fleet_case.FleetTest):
    """Helpers for one router and its upstreams."""

    routers = 1

    @property
    def router(self) -> application.Application:
        """Return the first router."""
        return self.fleet.routers[0]

    def upstreams(self, divided: bool) -> list[upstream.FakeUpstream]:
        """Return the upstreams of the service with or without owned keys."""
        return [
            fake_upstream
            for fake_upstream in self.fleet.upstreams
            if fake_upstream.divided is divided
        ]

    def run_counts(self) -> dict[str, int]:
        """Return how often each request ran."""
        counts: dict[str, int] = {}
        for fake_upstream in self.fleet.upstreams:
            for run in fake_upstream.runs:
                counts[run.request_id] = counts.get(run.request_id, 0) + 1
        return counts

    async def use_one_upstream(self, kind: str) -> upstream.FakeUpstream:
        """Configure a route to a service with a single upstream."""
        single = await self.fleet.add_upstream('single', False)
        self.fleet.configure(
            [self.fleet.route('single', '/single/', kind, 'single')]
        )
        await self.fleet.wait_until(
            lambda: self.router.state.configuration.version
            == self.fleet.version
            and single.name in self.router.state.directory.entries
        )
        return single

    def send_before_work(
        self, fake_upstream: upstream.FakeUpstream, hook: Hook
    ) -> None:
        """Let an upstream send bytes when a request arrives."""
        original = fake_upstream._serve

        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            assert request.transport is not None
            request.transport.write(hook(request))
            # The bytes arrive ahead of the response.
            await asyncio.sleep(0.01)
            return await original(request)

        fake_upstream._serve = serve  # type: ignore[method-assign]


class SecondCopyTest(StoryTest):
    """Story 1: a second copy of a response on a connection in use again."""

    async def play(self, copy: Hook) -> list[str]:
        """Send requests that are preceded by a late copy each.

        Returns
        -------
        list of str
            What was wrong with the responses.
        """
        single = await self.use_one_upstream('unsafe')
        self.send_before_work(single, copy)
        wrong = []
        for number in range(6):
            count = len(single.runs)
            response = await self.fleet.send_request(
                self.router, f'/single/{number}', body=b'{}'
            )
            own_body = f'POST /single/{number} 2'.encode()
            if response.status == 200 and response.body != own_body:
                wrong.append(f'foreign body {response.body!r}')
            await asyncio.sleep(0.05)
            if response.status == 503 and len(single.runs) > count:
                wrong.append('refused, but it ran')
        return wrong

    @staticmethod
    def copy_of_response(request: web.BaseRequest) -> bytes:
        """Return a copy of the response to an earlier request."""
        return (
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: earlier\r\n'
            b'X-Response-Signature: s\r\nContent-Length: 5\r\n\r\nother'
        )

    async def test_copy_of_a_response(self) -> None:
        """Guards against a response that belongs to an earlier caller."""
        self.assertEqual([], await self.play(self.copy_of_response))

    async def test_copy_of_a_response_without_the_safeguard(self) -> None:
        """Shows that the ID of the response is what rules it out."""
        with mock.patch.object(exchange, 'is_foreign', return_value=False):
            wrong = await self.play(self.copy_of_response)
        self.assertNotEqual([], wrong)

    @staticmethod
    def copy_of_refusal(request: web.BaseRequest) -> bytes:
        """Return a copy of a refusal, which names no request."""
        return REFUSAL + b'\r\n'

    async def test_copy_of_a_refusal(self) -> None:
        """Guards against a refusal of a request that runs."""
        single = await self.use_one_upstream('unsafe')
        # On a new connection it can only be the response to its first request.
        response = await self.fleet.send_request(
            self.router, '/single/', body=b'{}'
        )
        self.assertEqual(200, response.status)
        self.assertEqual([], await self.play_again(single))

    async def test_copy_of_a_refusal_without_the_safeguard(self) -> None:
        """Shows that the check of the ID's presence is what rules it out."""
        single = await self.use_one_upstream('unsafe')
        await self.fleet.send_request(self.router, '/single/', body=b'{}')
        with mock.patch.object(
            exchange, 'is_unidentified', return_value=False
        ):
            self.assertNotEqual([], await self.play_again(single))

    async def play_again(self, single: upstream.FakeUpstream) -> list[str]:
        """Send a request on the open connection, preceded by a refusal."""
        self.send_before_work(single, self.copy_of_refusal)
        count = len(single.runs)
        response = await self.fleet.send_request(
            self.router, '/single/', body=b'{}'
        )
        await asyncio.sleep(0.05)
        if response.status == 503 and len(single.runs) > count:
            return ['refused, but it ran']
        return []

    async def play_repeat(self) -> list[str]:
        """Refuse a request, and send the refusal again before its repeat.

        The request is sent again to the owner of its key, under its ID.
        """
        running = self.fleet
        running.configure([running.route('view', '/view/', 'unsafe', 'views')])
        await running.wait_until(
            lambda: self.router.state.configuration.version == running.version
        )
        owner = next(each for each in self.upstreams(True) if each.holds(7))
        await running.send_request(self.router, '/view/x', 7, body=b'{}')
        seen: set[str] = set()

        def copy(request: web.BaseRequest) -> bytes:
            request_id = request.headers['X-Attempt-Id']
            if request_id not in seen:
                seen.add(request_id)
                return b''
            return REFUSAL + f'X-Attempt-Id: {request_id}\r\n\r\n'.encode()

        # Only on the connection of the first attempt, as a real upstream.
        transports: dict[str, object] = {}

        def copy_on_same(request: web.BaseRequest) -> bytes:
            request_id = request.headers['X-Attempt-Id']
            known = transports.setdefault(request_id, request.transport)
            return copy(request) if known is request.transport else b''

        self.send_before_work(owner, copy_on_same)
        wrong = []
        for _ in range(3):
            owner.shed_next = 1
            count = len(owner.runs)
            response = await running.send_request(
                self.router, '/view/x', 7, body=b'{}'
            )
            await asyncio.sleep(0.05)
            if response.status == 503 and len(owner.runs) > count:
                wrong.append('refused, but it ran')
        return wrong

    async def test_copy_of_the_refusal_of_an_earlier_attempt(self) -> None:
        """Guards against a repeat that is told of its first attempt."""
        self.assertEqual([], await self.play_repeat())

    async def test_copy_of_an_earlier_attempt_without_the_safeguard(
        self,
    ) -> None:
        """Shows that the other connection of a repeat is what rules it out."""
        original = connections.Pool.take
        with mock.patch.object(
            connections.Pool,
            'take',
            lambda pool, max_idle_s, request_id: original(pool, max_idle_s),
        ):
            self.assertNotEqual([], await self.play_repeat())


class PlannedStopTest(StoryTest):
    """Story 2: requests that are cut by a planned stop under load."""

    routers = 2

    async def play(self) -> list[str]:
        """Stop a router under load; return the accepted requests it cut."""
        for each in self.upstreams(False):
            each.work_s = 0.3
        router = self.router
        unanswered: list[str] = []
        stopped = self.fleet.tasks[router]
        busy = router.frontend.busy_connections

        def end_process(task: asyncio.Task[None]) -> None:
            for connection in list(busy):
                if connection.transport is not None:
                    connection.transport.abort()

        stopped.add_done_callback(end_process)

        async def call(caller: int) -> None:
            for number in itertools.count():
                if stopped.done():
                    return
                request_id = f's{caller}-{number}'
                try:
                    async with self.fleet.session.post(
                        f'http://{router.settings.front}/order/{number}',
                        headers={
                            'Host': fleet.HOST,
                            'X-Attempt-Id': request_id,
                            'X-Deadline-Ms': '4000',
                        },
                        data=b'x' * 2000,
                    ) as response:
                        await response.read()
                except (OSError, aiohttp.ClientError):
                    unanswered.append(request_id)
                await asyncio.sleep(0.01)

        callers = [asyncio.create_task(call(number)) for number in range(8)]
        await asyncio.sleep(0.5)
        router.stop.set()
        await asyncio.gather(*callers)
        # Requests that no upstream ran may have crossed the close.
        return [each for each in unanswered if each in self.run_counts()]

    async def test_no_accepted_request_is_cut(self) -> None:
        """Guards against requests that end without a response."""
        started_at = time.monotonic()
        self.assertEqual([], await self.play())
        self.assertLess(
            time.monotonic() - started_at, self.router.settings.grace_s
        )

    async def test_accepted_requests_without_the_safeguard(self) -> None:
        """Shows that the wait for running requests is what rules it out."""

        async def drain(
            self: application.Application, listener: asyncio.Server, *_: object
        ) -> None:
            listener.close()

        with mock.patch.object(application.Application, '_drain', drain):
            self.assertNotEqual([], await self.play())


class RestartTest(StoryTest):
    """Story 3: what had left or was withdrawn is used after a restart."""

    async def play(self) -> list[str]:
        """Start an instance while the store lists the past.

        Returns
        -------
        list of str
            What the new instance uses though it was withdrawn before.
        """
        running = self.fleet
        gone = self.upstreams(False)[0]
        running.configure(
            [
                running.route('view', '/view/', 'safe', 'views'),
                running.route('order', '/order/', 'unsafe', 'orders'),
                running.route('old', '/old/', 'safe', 'orders'),
            ]
        )
        await asyncio.sleep(2.5)
        gone.drain()
        running.configure()
        await running.wait_until(
            lambda: self.router.state.configuration.version == running.version
            and gone.name in self.router.state.directory.draining_since
        )
        # The instance connects to the coordinator before its listing arrives.
        running.store.faults.past_s = 2.0
        running.store.faults.delays['/log-newest'] = 0.5
        fresh = running.add_router()
        await running.wait_until(fresh.state.is_ready)
        # Once it relies on the coordinator, it reads nothing by itself.
        await asyncio.sleep(2.0)
        wrong = []
        if gone.name not in fresh.state.directory.draining_since:
            wrong.append('upstream that leaves')
        response = await running.send_request(fresh, '/old/')
        if response.status != 404:
            wrong.append('withdrawn route')
        return wrong

    async def test_new_instance_and_outdated_store(self) -> None:
        """Guards against use of an upstream that left, or a route."""
        self.assertEqual([], await self.play())

    async def test_new_instance_without_the_safeguards(self) -> None:
        """Shows that the coordinator's offsets and listing rule it out."""
        with (
            mock.patch.object(
                feed.Feed, 'record_heartbeat', _record_without_offsets
            ),
            mock.patch.object(feed.Feed, 'receive', _ignore_listing),
        ):
            self.assertNotEqual([], await self.play())

    async def restart(
        self, killed: settings.Settings, former: upstream.FakeUpstream
    ) -> list[object]:
        """Start the router again; return the grants to an upstream since."""
        granted: list[object] = []
        former.on_event = lambda name, fields: (
            granted.append(fields) if name == 'granted' else None
        )
        self.fleet.start_router(killed)
        await self.fleet.wait_until(self.fleet.is_serving)
        await asyncio.sleep(1.0)
        return granted

    def is_recorded(self, former: upstream.FakeUpstream) -> bool:
        """Return whether the store names an upstream as a holder."""
        partition = self.fleet.store.partition(coordinator_store.TOPIC)
        record = partition.newest[coordinator_store.TABLE_PREFIX + 'views']
        stored = coordinator_store.decode_assignment(record.value)
        return former.name in {item.upstream for item in stored}

    async def test_withdrawn_key_after_all_restart(self) -> None:
        """Guards against keys that return to their previous holder.

        It is up and would accept them. All instances lose their memory.
        """
        former = next(each for each in self.upstreams(True) if each.holds(7))
        former.drain()
        await self.fleet.wait_until(lambda: not self.is_recorded(former), 4.0)
        self.assertEqual([], former.grants)
        killed = self.router.settings
        await self.fleet.kill(self.router)
        self.assertEqual([], await self.restart(killed, former))

    async def test_release_that_was_not_recorded(self) -> None:
        """Guards against keys that stay with a holder that released them.

        All instances end between the release and its record. The store still
        names the holder, which gets its keys back until they are moved again.
        """
        running = self.fleet
        former = next(each for each in self.upstreams(True) if each.holds(7))
        released = asyncio.Event()

        def refuse_record(name: str, fields: dict[str, object]) -> None:
            if name == 'released':
                running.store.faults.down = True
                released.set()

        former.on_event = refuse_record
        former.drain()
        await asyncio.wait_for(released.wait(), fleet.START_TIMEOUT_S)
        killed = self.router.settings
        await running.kill(self.router)
        running.store.faults.down = False
        self.assertTrue(self.is_recorded(former))
        granted = await self.restart(killed, former)
        self.assertNotEqual([], granted)
        await running.wait_until(lambda: not self.is_recorded(former), 4.0)
        self.assertEqual([], former.grants)
        self.assert_one_owner()
        response = await running.send_request(self.router, '/view/x', 7)
        self.assertEqual(200, response.status)


_record_heartbeat = feed.Feed.record_heartbeat
_receive = feed.Feed.receive


def _record_without_offsets(
    self: feed.Feed,
    ages: dict[str, float],
    offsets: dict[str, int],
    now: float,
) -> None:
    _record_heartbeat(self, ages, {}, now)


def _ignore_listing(
    self: feed.Feed,
    topic: str,
    relayed: list[tuple[int, str, bytes]],
    listing: bool,
) -> None:
    if not listing:
        _receive(self, topic, relayed, listing)


class SilenceTest(StoryTest):
    """Story 4: work of an upstream that is silent for a while."""

    async def play(self) -> list[str]:
        """Remove the entry of an upstream while it works; return faults."""
        running = self.fleet
        working = self.upstreams(False)
        for each in working:
            each.work_s = 1.2
        request = asyncio.create_task(
            running.send_request(
                self.router, '/order/1', body=b'{}', timeout_ms=4000
            )
        )
        running.configure(
            [
                [*running.route('order', '/order/', 'unsafe', 'orders')[:4]]
                + [4.0, 2.0, 1, None, 2, 'orders']
            ]
        )
        await running.wait_until(
            lambda: sum(len(each.runs) for each in working) > 0
        )
        for each in working:
            if each.runs:
                running.store.put('keyed.servers', each.name, None)
        response = await request
        await asyncio.sleep(0.2)
        wrong = []
        if response.status != 200:
            wrong.append(f'status {response.status}')
        wrong += [
            f'{request_id} ran {count} times'
            for request_id, count in self.run_counts().items()
            if count > 1
        ]
        return wrong

    async def asyncSetUp(self) -> None:
        """Start a fleet whose route allows long work."""
        await super().asyncSetUp()
        row = self.fleet.route('order', '/order/', 'unsafe', 'orders')
        row[4], row[5] = 4.0, 2.0
        self.fleet.configure([row])
        await self.fleet.wait_until(
            lambda: self.router.state.configuration.version
            == self.fleet.version
        )

    async def test_running_work_goes_on(self) -> None:
        """Guards against work that is given up or started elsewhere."""
        self.assertEqual([], await self.play())

    async def test_running_work_without_the_safeguard(self) -> None:
        """Shows that open connections of removed upstreams rule it out."""
        original = followers.UpstreamFollower.apply
        pools = self.router.dispatcher.pools

        def apply(
            self: followers.UpstreamFollower, records: typing.Any
        ) -> typing.Any:
            changed = original(self, records)
            for record in changed:
                if not record.value:
                    for pool in pools.pools.values():
                        for connection in list(pool.open):
                            connection.reset()
            return changed

        with mock.patch.object(followers.UpstreamFollower, 'apply', apply):
            self.assertNotEqual([], await self.play())


class LostAnswerTest(StoryTest):
    """Story 5: work whose response was lost."""

    async def play(self) -> list[str]:
        """Lose each response after the work; return broken promises."""
        for each in self.fleet.upstreams:
            each.response_hook = lambda request, raw: None
        wrong = []
        for _ in range(3):
            count = len(self.run_counts())
            response = await self.fleet.send_request(
                self.router, '/order/1', body=b'{}'
            )
            has_run = len(self.run_counts()) > count
            if has_run and response.status in (408, 421, 429, 503):
                wrong.append(f'status {response.status} though it ran')
        wrong += [
            f'{request_id} ran {count} times'
            for request_id, count in self.run_counts().items()
            if count > 1
        ]
        return wrong

    async def test_outcome_is_unknown(self) -> None:
        """Guards against a repeat, and against a refusal that is not true."""
        self.assertEqual([], await self.play())

    async def test_refused_first_and_lost_then(self) -> None:
        """Guards against the refusal of an attempt before the lost one."""
        for each in self.upstreams(False):
            each.shed_next = 1
        self.assertEqual([], await self.play())

    async def test_repeat_without_the_safeguard(self) -> None:
        """Shows that the check of idempotence rules out a repeat."""
        with mock.patch(
            'knapweedhall_routing.model.Route.is_idempotent',
            lambda self, method: True,
        ):
            self.assertNotEqual([], await self.play())

    async def test_refusal_without_the_safeguard(self) -> None:
        """Shows that the status for an unknown outcome is what matters."""

        def refuse(
            dispatcher: dispatch.Dispatcher, call: object, *_: object
        ) -> selection.Failure:
            return selection.Failure(503, 'lost', 0.1)

        with mock.patch.object(dispatch.Dispatcher, '_handle_broken', refuse):
            self.assertNotEqual([], await self.play())


class HandOverTest(StoryTest):
    """Story 6: two coordinators that act for a moment.

    The former coordinator does not learn of its successor: requests to step
    down do not reach it, and it sends no renewals that could be rejected.
    Both end its moves as well.
    """

    routers = 3

    async def play(self, without_lease: bool) -> list[str]:
        """Hand the term over while a coordinator prepares a move.

        Parameters
        ----------
        without_lease : bool
            Whether the move ignores the lease of its coordinator.

        Returns
        -------
        list of str
            Releases of the former coordinator after its lease.
        """
        running = self.fleet
        await running.wait_until(lambda: self.has_recorded(running.routers))
        source = self.upstreams(True)[0]
        begun, succeeded = asyncio.Event(), asyncio.Event()
        ended = asyncio.Event()
        terms: list[coordinator.Coordinator] = []
        released: list[int] = []
        late: list[int] = []
        original = moves.Mover.move

        async def move(
            mover: moves.Mover,
            service_holdings: holdings.Holdings,
            holding: holdings.Holding,
            *arguments: typing.Any,
        ) -> None:
            if holding.upstream != source.name or begun.is_set():
                await original(mover, service_holdings, holding, *arguments)
                return
            begun.set()
            # The source holds the keys however long the takeover takes.
            holding.held_until = math.inf
            terms.append(self.cut_off(mover))
            mover.sender.has_recovered = (  # type: ignore[method-assign]
                wait_for_the_successor
            )
            if without_lease:
                mover.lease = mock.Mock(
                    is_expired=lambda: False,
                    is_store_unresponsive=lambda: False,
                )
            try:
                await original(mover, service_holdings, holding, *arguments)
            finally:
                ended.set()

        async def wait_for_the_successor(*arguments: object) -> bool:
            await succeeded.wait()
            fences = terms[0].sender.fences
            next_fence = fences.next

            def record() -> int:
                late.append(next_fence())
                return late[-1]

            fences.next = record  # type: ignore[method-assign]
            return True

        def observe(name: str, fields: dict[str, object]) -> None:
            fence = typing.cast(int, fields.get('fence', 0))
            if name == 'released':
                released.append(fence)
            elif name == 'granted' and terms:
                # Tokens contain the epoch of their term plus 1.
                epoch = (fence >> holdings.FENCE_NUMBER_BITS) - 1
                if epoch > terms[0].store.epoch:
                    succeeded.set()

        source.on_event = observe
        with mock.patch.object(moves.Mover, 'move', move):
            source.drain()
            await asyncio.wait_for(begun.wait(), fleet.START_TIMEOUT_S)
            await asyncio.wait_for(succeeded.wait(), fleet.START_TIMEOUT_S)
            await running.wait_until(
                lambda: ended.is_set() or bool(set(released) & set(late))
            )
            await asyncio.sleep(1.0)
        return [f'fence {fence}' for fence in released if fence in late]

    def cut_off(self, mover: moves.Mover) -> coordinator.Coordinator:
        """Keep the coordinator of a move from learning of its successor."""
        for router in self.fleet.routers:
            assert router.member is not None
            term = router.member.coordinator
            if term is not None and term.mover is mover:
                break
        else:
            raise AssertionError('no coordinator has this move')

        async def lose_request(epoch: int) -> None:
            raise ConnectionError('lost')

        router.member.step_down = lose_request  # type: ignore[method-assign]
        term.renewer.may_renew = lambda: False
        self.fleet.store.faults.refused = [
            fleet.source_address(router.settings)
        ]
        return term

    async def test_former_coordinator_sends_no_release(self) -> None:
        """Guards against orders of two coordinators."""
        self.assertEqual([], await self.play(False))
        self.assert_one_owner()

    async def test_release_without_the_safeguard(self) -> None:
        """Shows that the check of the lease is what rules it out."""
        self.assertNotEqual([], await self.play(True))
