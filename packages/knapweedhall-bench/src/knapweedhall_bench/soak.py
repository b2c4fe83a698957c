"""Fault soak: checks invariants of the programs under random faults."""

from __future__ import annotations

import argparse
import asyncio
import collections
import collections.abc
import contextlib
import faulthandler
import itertools
import math
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import typing

import aiohttp

from knapweedhall_bench import callers
from knapweedhall_bench import checker
from knapweedhall_bench import children
from knapweedhall_bench import deployment
from knapweedhall_bench import environment
from knapweedhall_bench import faults
from knapweedhall_standins import endless
from knapweedhall_standins import faults as store_faults
from knapweedhall_standins import proxy

SEEDS_FILE = pathlib.Path(__file__).parent / 'seeds.txt'
REQUESTS_PER_S = 80.0
# A router that ended is started again after this time, as on the platform.
RESTART_DELAY_S = 0.5
RESTART_CHECK_PERIOD_S = 0.2
# All keys must be served again within this time after the last fault. It
# covers grants without an answer (3.5 s), which may follow renewals without
# the store (6 s), and the takeover itself.
RECOVERY_TIMEOUT_S = 15.0
# If a tick of the soak takes longer than MIN_STANDSTILL_S, the whole machine
# stood still. Seeds 4 and 29 met a standstill of 9.6 s, in which no process of
# either run did anything and callers' requests timed out.
TICK_PERIOD_S = 0.1
MIN_STANDSTILL_S = 0.8
# Ticks from this length on are logged, as the links stand still meanwhile.
MIN_LOGGED_TICK_S = 0.3
# Age of the records that a store lists while it lists the past; the value of
# the platform's pages.
PAST_LISTING_AGE_S = 3.0
# Maximum age of the copy from which the store is restored.
MAX_COPY_AGE_S = 4.0
# Maximum time until a record is in force everywhere, reached when the store
# does not notify waiting reads.
MAX_IN_FORCE_DELAY_S = 0.8
# Number of faults of responses, as a share of the other faults.
RESPONSE_FAULT_SHARE = 0.3
# Shortest and longest pause that an upstream asks for, and delay of a second
# copy of a response.
MIN_PAUSE_S, MAX_PAUSE_S = 0.6, 3.0
MAX_COPY_DELAY_S = 0.05
# A request that was cut is no violation if its instance was disrupted within
# this time before or after it, because a disruption affects requests with a
# delay.
DISRUPTION_MARGIN_S = 0.3
# Time in which a request that no upstream ran may have crossed the end of its
# connection: the platform's bound.
LOSS_SLACK_S = 0.2


# A signal ends a process whose interpreter has not begun to run the router,
# which logs its start first. The platform's rules excuse an end within this
# time of a start; on a busy machine, the interpreter takes longer (seed
# 990050).
MIN_SIGNAL_AGE_S = 1.0
RELOAD_PERIOD_S = 0.05
# Callers that use a stopping router until its process is gone.
USERS_IN_STOP = 3
USE_BEFORE_STOP_S = 0.3
# Time without a disruption after which an instance is in touch (platform's
# pages, `stableWindowS`).
STABLE_WINDOW_S = 3.0
# Values of a setting that reloads change; they have no effect on the checks.
RETRY_EXTRAS = (62, 61)
# Rate of a full link, 10 Mbit/s as on the grown sites, and the large requests
# that fill it for 2 s or more.
FULL_LINK_BYTES_PER_S = 1.25e6
FULL_LINK_BURST = 8
# Time from an upstream's notice to its end on the platform.
SHORT_NOTICE_S = 2.0
# When a key is withdrawn, as shares of the time of the faults, so that some of
# them follow.
MIN_WITHDRAWAL_SHARE, MAX_WITHDRAWAL_SHARE = 0.2, 0.6
# An upstream forgets its idle connections once each period.
FORGET_PERIOD_S = 0.1


class Plan(typing.NamedTuple):
    """Size of a run.

    Attributes
    ----------
    spec : deployment.Spec
        Size of the deployment.
    fault_count : int
        Number of faults.
    duration_s : float
        Time within which the faults begin and end, seconds.
    """

    spec: deployment.Spec
    fault_count: int
    duration_s: float


SMALL = Plan(
    deployment.Spec(
        3,
        {environment.DIVIDED_SERVICE: 4, environment.CHOICE_SERVICE: 2},
        (environment.DIVIDED_SERVICE,),
    ),
    10,
    12.0,
)
DEFAULT = Plan(
    deployment.Spec(
        5,
        {environment.DIVIDED_SERVICE: 8, environment.CHOICE_SERVICE: 4},
        (environment.DIVIDED_SERVICE,),
    ),
    20,
    20.0,
)
# A size near the limits of the machine, about 100 processes.
LARGE = Plan(
    deployment.Spec(
        20,
        {environment.DIVIDED_SERVICE: 52, environment.CHOICE_SERVICE: 26},
        (environment.DIVIDED_SERVICE,),
    ),
    60,
    30.0,
)


class Soak:
    """One run of the soak.

    Attributes
    ----------
    disruptions : dict of str to list of (float, float)
        Begin and end of the times in which a router or an upstream could not
        answer, by name, seconds of the monotonic clock.
    signalled_at : dict of str to list of float
        When routers got SIGTERM, by name, seconds of the monotonic clock.
    coordinator : str
        Router that was last known as the coordinator.
    restarts : dict of str to list of float
        When each ended process of a router was noticed, before its restart;
        by name, seconds of the monotonic clock.
    stopping : set of str
        Routers that are being stopped.
    ends : list of checker.Violation
        Processes of routers that ended by themselves.
    store_faults : store_faults.StoreFaults
        Current faults of the store.
    stalls : list of (float, float)
        Begin and end of the times in which this process, and with it its
        callers, did nothing, seconds of the monotonic clock.
    """

    def __init__(self, plan: Plan, seed: int, folder: pathlib.Path) -> None:
        self.plan = plan
        self.seed = seed
        self.folder = folder
        self.rng = random.Random(seed)
        self.disruptions: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self.restarts: dict[str, list[float]] = collections.defaultdict(list)
        self.signalled_at: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.coordinator = ''
        self.stopping: set[str] = set()
        self.ends: list[checker.Violation] = []
        self.store_faults = store_faults.StoreFaults()
        self.stalls: list[tuple[float, float]] = []

    async def run(self) -> list[checker.Violation]:
        """Start the deployment, run the soak and return all violations."""
        async with deployment.Deployment(
            self.plan.spec, self.folder
        ) as running:
            self.deployment = running
            self.environment = environment.Environment(running, self.rng)
            # First, so that a router that knows the services requires keys.
            await self.environment.use_workspaces()
            await self.environment.configure()
            missing = await self.environment.wait_until_served()
            if missing:
                return [checker.Violation('begins to serve', missing)]
            self.environment.callers.results.clear()
            return await self._run_faults_and_check()

    async def _run_faults_and_check(self) -> list[checker.Violation]:
        stop = asyncio.Event()
        traffic = asyncio.create_task(
            self.environment.callers.run(REQUESTS_PER_S, stop)
        )
        watchers = asyncio.gather(
            self._restart_routers(), self._detect_standstills()
        )
        series = faults.generate(
            self.rng, self.plan.fault_count, self.plan.duration_s
        )
        series += faults.generate_responses(
            random.Random(f'responses {self.seed}'),
            max(1, int(self.plan.fault_count * RESPONSE_FAULT_SHARE)),
            self.plan.duration_s,
        )
        series += faults.generate_stops(
            random.Random(f'stops {self.seed}'), self.plan.duration_s
        )
        series += faults.generate_restores(
            random.Random(f'restores {self.seed}'), self.plan.duration_s
        )
        series += faults.generate_series(
            random.Random(f'series {self.seed}'), self.plan.duration_s
        )
        series += faults.generate_release(
            random.Random(f'release {self.seed}'), self.plan.duration_s
        )
        withdrawal = asyncio.create_task(self._withdraw_key())
        await self._inject_all(sorted(series))
        await withdrawal
        missing = await self.environment.wait_until_served(RECOVERY_TIMEOUT_S)
        stop.set()
        await traffic
        watchers.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watchers
        results = self.environment.callers.results
        activity = checker.read_logs(self.folder, self.deployment.upstreams)
        violations = self.ends + checker.check(results, activity)
        violations += self._check_cut_requests(results, activity)
        violations += self._check_reverts(results)
        violations += checker.check_configurations(
            results, self.environment.confirmed, self._is_in_touch
        )
        violations += checker.check_caller_keys(
            results,
            activity,
            self.environment.withdrawn,
            self._is_in_touch,
        )
        violations += checker.check_stops(
            results, activity, self.signalled_at, self._is_undisturbed
        )
        violations += checker.check_notices(
            results, activity, self._is_undisturbed
        )
        if missing:
            violations.append(checker.Violation('served again', missing))
        return violations

    async def _withdraw_key(self) -> None:
        share = random.Random(f'keys {self.seed}').uniform(
            MIN_WITHDRAWAL_SHARE, MAX_WITHDRAWAL_SHARE
        )
        await asyncio.sleep(share * self.plan.duration_s)
        self._log('a key is withdrawn')
        await self.environment.withdraw_key()
        self._log(f'withdrawn: {self.environment.withdrawn}')

    async def _inject_all(self, series: typing.Sequence[faults.Fault]) -> None:
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in series:
                await asyncio.sleep(started_at + fault.at - time.monotonic())
                group.create_task(self._inject(fault))

    async def _inject(self, fault: faults.Fault) -> None:
        self._log(f'{fault}')
        duration_s = fault.until - fault.at
        if fault.target == 'operator':
            await self.environment.add_host(
                f'host-{self.environment.published_count}'
            )
        elif fault.target == 'store':
            await self._inject_store_fault(fault, duration_s)
        elif fault.target == 'router':
            name = _pick(self.deployment.routers, fault.pick)
            await self._inject_router_fault(name, fault, duration_s)
        elif fault.target == 'coordinator':
            await self._inject_coordinator_fault(fault, duration_s)
        elif fault.target == 'fleet':
            await self._stop_fleet(fault.pick)
        elif fault.target == 'reloads':
            await asyncio.gather(
                *(
                    self._send_reloads(name, duration_s)
                    for name in self.deployment.routers
                )
            )
        elif fault.target == 'front':
            await self._fill_link(
                _pick(self.deployment.routers, fault.pick), duration_s
            )
        elif fault.target == 'response':
            name = _pick(self.deployment.upstreams, fault.pick)
            await self._inject_response_fault(name, fault, duration_s)
        else:
            name = _pick(self.deployment.upstreams, fault.pick)
            await self._inject_upstream_fault(name, fault, duration_s)

    async def _inject_router_fault(
        self, name: str, fault: faults.Fault, duration_s: float
    ) -> None:
        node = self.deployment.routers[name]
        now = time.monotonic()
        if fault.kind == 'kill':
            node.child.kill()
            self.disruptions[name].append((now, now))
        elif fault.kind == 'pause':
            node.child.pause()
            await asyncio.sleep(duration_s)
            node.child.resume()
            self.disruptions[name].append((now, time.monotonic()))
        elif fault.kind == 'stop':
            await self._stop_router(name, node)
        elif fault.kind == 'reload':
            await self._send_reloads(name, duration_s)
        else:
            await _inject_link_fault(node.link, fault, duration_s)
            self.disruptions[_store_link(name)].append((now, time.monotonic()))

    async def _inject_coordinator_fault(
        self, fault: faults.Fault, duration_s: float
    ) -> None:
        found = await self.environment.find_coordinator()
        # While the store is away, it is most likely the one before.
        self.coordinator = found or self.coordinator
        if self.coordinator in self.deployment.routers:
            await self._inject_router_fault(
                self.coordinator, fault, duration_s
            )

    async def _send_reloads(self, name: str, duration_s: float) -> None:
        """Send reload signals in series, also while the process is stopping.

        The settings differ each time.
        """
        child = self.deployment.routers[name].child
        until = time.monotonic() + duration_s
        for retry_extra in itertools.cycle(RETRY_EXTRAS):
            if time.monotonic() >= until:
                return
            self.deployment.set_retry_extra(name, retry_extra)
            if _can_be_signalled(child):
                child.send_signal(signal.SIGHUP)
            await asyncio.sleep(RELOAD_PERIOD_S)

    async def _fill_link(self, name: str, duration_s: float) -> None:
        """Let callers reach a router by a link that large requests fill."""
        node = self.deployment.routers[name]
        node.front.bytes_per_s = FULL_LINK_BYTES_PER_S
        sender = self.environment.callers
        address = f'{node.ip}:{node.front_port}'
        target = callers.Target(name, address, environment.CHOICE_SERVICE)
        async with sender.open_session() as session:
            burst = [
                asyncio.create_task(sender.send(session, target, large=True))
                for _ in range(FULL_LINK_BURST)
            ]
            await asyncio.sleep(duration_s)
            await asyncio.gather(*burst)
        node.front.bytes_per_s = math.inf

    async def _stop_router(self, name: str, node: deployment.Node) -> None:
        if name in self.stopping:
            return
        self.stopping.add(name)
        async with self._use_until_gone(name):
            await asyncio.sleep(USE_BEFORE_STOP_S)
            if _can_be_signalled(node.child) and not node.child.paused:
                self.signalled_at[name].append(time.monotonic())
                await node.child.terminate()
        self.stopping.discard(name)

    @contextlib.asynccontextmanager
    async def _use_until_gone(
        self, name: str
    ) -> collections.abc.AsyncIterator[None]:
        """Let callers use their connections to a router for a time."""
        gone = asyncio.Event()
        targets = [
            target
            for target in self.environment.targets()
            if target.router == name
        ]
        async with asyncio.TaskGroup() as group:
            for _ in range(USERS_IN_STOP):
                group.create_task(
                    self.environment.callers.use_until(targets, gone)
                )
            try:
                yield
            finally:
                gone.set()

    async def _stop_fleet(self, pick: float) -> None:
        """Stop the coordinator and some other routers at the same moment."""
        found = await self.environment.find_coordinator()
        self.coordinator = found or self.coordinator
        others = sorted(set(self.deployment.routers) - {self.coordinator})
        count = 1 + int(pick * (len(others) - 1))
        names = [*random.Random(pick).sample(others, count), self.coordinator]
        await asyncio.gather(
            *(
                self._stop_router(name, self.deployment.routers[name])
                for name in names
                if name in self.deployment.routers
            )
        )

    async def _inject_upstream_fault(
        self, name: str, fault: faults.Fault, duration_s: float
    ) -> None:
        node = self.deployment.upstreams[name]
        began_at = time.monotonic()
        try:
            await self._disturb_upstream(name, node, fault, duration_s)
        finally:
            self.disruptions[name].append((began_at, time.monotonic()))

    async def _disturb_upstream(
        self,
        name: str,
        node: deployment.Node,
        fault: faults.Fault,
        duration_s: float,
    ) -> None:
        if fault.kind == 'kill':
            node.child.kill()
            await asyncio.sleep(duration_s)
            await self._restart_upstream(name)
        elif fault.kind == 'pause':
            node.child.pause()
            await asyncio.sleep(duration_s)
            node.child.resume()
        elif fault.kind == 'drain':
            await self.deployment.add_upstream(
                self.deployment.upstream_services[name]
            )
            await node.child.terminate()
        else:
            await _inject_link_fault(node.link, fault, duration_s)

    async def _inject_response_fault(
        self, name: str, fault: faults.Fault, duration_s: float
    ) -> None:
        began_at = time.monotonic()
        try:
            await self._disturb_responses(name, fault, duration_s)
        finally:
            # Early refusals are no disruption: a request that one upstream
            # refuses may run at another.
            if fault.kind not in ('early-refusal', 'pause-asked'):
                self.disruptions[name].append((began_at, time.monotonic()))

    async def _disturb_responses(
        self, name: str, fault: faults.Fault, duration_s: float
    ) -> None:
        # Another digit of the number that selects the upstream.
        share = fault.pick * 1000 % 1
        if fault.kind == 'leave':
            await self.deployment.add_upstream(
                self.deployment.upstream_services[name]
            )
            await self.deployment.set_trouble(name, {'leaving': True})
            # The store learns of it later, as it may be down.
            await asyncio.sleep(duration_s)
            await self.deployment.upstreams[name].child.terminate()
            return
        if fault.kind == 'short-notice':
            await self.deployment.add_upstream(
                self.deployment.upstream_services[name]
            )
            await self.deployment.set_trouble(name, {'leaving': True})
            await asyncio.sleep(SHORT_NOTICE_S)
            self.deployment.upstreams[name].child.kill()
            return
        if fault.kind == 'forget-idle':
            until = time.monotonic() + duration_s
            while time.monotonic() < until:
                await self.deployment.set_trouble(name, {'forgets_idle': True})
                await asyncio.sleep(FORGET_PERIOD_S)
            return
        trouble: dict[str, object] = {}
        if fault.kind in ('early-refusal', 'early-answer'):
            refuses = fault.kind == 'early-refusal'
            trouble['early_status'] = 503 if refuses else 500
        elif fault.kind == 'cut':
            trouble['cuts'] = True
            trouble['unframed'] = share < 0.5
        elif fault.kind == 'pause-asked':
            trouble['pause_s'] = MIN_PAUSE_S + share * (
                MAX_PAUSE_S - MIN_PAUSE_S
            )
        elif fault.kind == 'endless':
            kinds = list(endless.Kind)
            trouble['endless'] = kinds[int(share * len(kinds))].value
        else:
            trouble['second_copy_s'] = share * MAX_COPY_DELAY_S
        await self.deployment.set_trouble(name, trouble)
        await asyncio.sleep(duration_s)
        await self.deployment.set_trouble(name, {})

    async def _restart_upstream(self, name: str) -> None:
        # An overlapping fault may have started another process by now.
        if not self.deployment.upstreams[name].child.is_running():
            service = self.deployment.upstream_services[name]
            await self.deployment.add_upstream(service, name)

    async def _inject_store_fault(
        self, fault: faults.Fault, duration_s: float
    ) -> None:
        began_at = time.monotonic()
        try:
            await self._disturb_store(fault, duration_s)
        finally:
            self.disruptions['store'].append((began_at, time.monotonic()))

    async def _disturb_store(
        self, fault: faults.Fault, duration_s: float
    ) -> None:
        count = 1 + int(fault.pick * 3)
        if fault.kind == 'forget':
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                # The history is kept if the store is down.
                await self.deployment.delete_store_history()
            return
        if fault.kind == 'restore':
            self.environment.end_confirmations()
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                # It has no effect if the store is down.
                await self.deployment.restore_store(
                    fault.pick * MAX_COPY_AGE_S
                )
            # Also of those that were confirmed meanwhile.
            self.environment.end_confirmations()
            return
        if fault.kind == 'down':
            self.store_faults.down = True
        elif fault.kind == 'lose-answers':
            self.store_faults.lose_answers = count
        elif fault.kind == 'late-appends':
            self.store_faults.late_appends = count
        elif fault.kind == 'refuse':
            name = _pick(self.deployment.routers, fault.pick)
            # The store sees only the proxy's address, so that
            # `StoreFaults.refused` can't select a router.
            await _inject_link_fault(
                self.deployment.routers[name].link, fault, duration_s
            )
            return
        elif fault.kind == 'slow':
            self.store_faults.delays = {
                path: 0.3 for path in ('/log-append', '/log-join', '/log-read')
            }
        elif fault.kind == 'past':
            # After a store deleted its history, it may list the past. An
            # instance that accepts such a listing is noticed only with a
            # record that is newer than the listing and a coordinator that
            # begins to read.
            await self.environment.add_host(
                f'host-{self.environment.published_count}'
            )
            await asyncio.sleep(MAX_IN_FORCE_DELAY_S)
            self.store_faults.past_s = PAST_LISTING_AGE_S
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                # The history is kept if the store is down.
                await self.deployment.delete_store_history()
        else:
            self.store_faults.deaf = True
        await self.deployment.set_store_faults(self.store_faults)
        if fault.kind == 'past':
            await self._change_coordinator()
        await asyncio.sleep(duration_s)
        self.store_faults = store_faults.StoreFaults()
        await self.deployment.set_store_faults(self.store_faults)

    async def _change_coordinator(self) -> None:
        name = await self.environment.find_coordinator()
        if name in self.deployment.routers:
            await self._stop_router(name, self.deployment.routers[name])

    async def _restart_routers(self) -> None:
        """Restart routers that ended, as the platform does."""
        while True:
            await asyncio.sleep(RESTART_CHECK_PERIOD_S)
            for name, node in self.deployment.routers.items():
                if not node.child.is_running():
                    now = time.monotonic()
                    if node.child.has_ended_by_itself():
                        self._record_end(name, node)
                    await asyncio.sleep(RESTART_DELAY_S)
                    self.restarts[name].append(now)
                    node.child.start()

    def _record_end(self, name: str, node: deployment.Node) -> None:
        assert node.child.process is not None
        status = node.child.process.returncode
        self.ends.append(
            checker.Violation('no process ends', f'{name}, status {status}')
        )

    async def _detect_standstills(self) -> None:
        """Record standstills of the whole machine as disruptions.

        Where this process stood still is written to a log of its own, as it
        may have been the only one.
        """
        with (self.folder / 'standstills.log').open('w') as log:
            try:
                while True:
                    faulthandler.dump_traceback_later(
                        MIN_STANDSTILL_S, file=log
                    )
                    before = time.monotonic()
                    await asyncio.sleep(TICK_PERIOD_S)
                    self._record_standstill(before, time.monotonic())
            finally:
                faulthandler.cancel_dump_traceback_later()

    def _record_standstill(self, begin: float, end: float) -> None:
        self.stalls.append((begin + TICK_PERIOD_S, end))
        if end - begin > MIN_LOGGED_TICK_S:
            self._log(f'standstill of {end - begin:.1f} s')
        if end - begin <= MIN_STANDSTILL_S:
            return
        for name in self.deployment.routers:
            self.disruptions[name].append((begin, end))

    def _check_cut_requests(
        self,
        results: typing.Sequence[callers.Result],
        activity: checker.UpstreamActivity,
    ) -> list[checker.Violation]:
        """Return requests that got no response though they were accepted.

        They ran, or were sent whole a while before their connection ended.
        Requests to an instance that was disrupted meanwhile are left out,
        those of which it received nothing as it stopped or was gone, those
        that the caller gave up before its time limit, and responses that it
        received until then. A disturbed upstream is no reason: a response is
        read whole before it is sent on, and one that is cut is a 502.
        """
        ran = {run.request for run in activity.runs}
        return [
            checker.Violation('no request is cut', f'{result}')
            for result in results
            if result.status == 0
            and not (result.began and result.ended_at >= result.deadline)
            and not (result.gave_up and result.ended_at < result.deadline)
            and (
                result.request in ran
                or self._time_awake_s(result.sent_whole_at, result.ended_at)
                > LOSS_SLACK_S
                and not self._has_crossed_a_close(result)
            )
            and not any(
                begin - DISRUPTION_MARGIN_S <= result.ended_at
                and result.sent_at <= end + DISRUPTION_MARGIN_S
                for begin, end in self.disruptions[result.router]
            )
        ]

    def _has_crossed_a_close(self, result: callers.Result) -> bool:
        """Return whether a request's head did not leave the link.

        Its router closed the connection in a stop, or did not accept it. The
        head has the request's ID; a router that has received any of it must
        answer.
        """
        link = self.deployment.routers[result.router].front
        undelivered = link.refused + (
            link.undelivered if self._is_in_stop(result) else []
        )
        has_crossed = any(
            result.request.encode() in data for data in undelivered
        )
        if has_crossed:
            self._log(f'crossed a close: {result}')
        return has_crossed

    def _time_awake_s(self, begin: float, end: float) -> float:
        """Return for how long the callers could notice something."""
        stalled_s = sum(
            max(0.0, min(end, stall_end) - max(begin, stall_begin))
            for stall_begin, stall_end in self.stalls
        )
        return end - begin - stalled_s

    def _is_in_stop(self, result: callers.Result) -> bool:
        """Return whether a request ended in a stop of its router."""
        return any(
            at <= result.ended_at <= at + checker.GRACE_S
            for at in self.signalled_at[result.router]
        )

    def _is_undisturbed(self, router: str, begin: float, end: float) -> bool:
        """Return whether a router ran without a disruption in a time."""
        return not any(
            begin - DISRUPTION_MARGIN_S <= disrupted_until
            and disrupted_from <= end
            for disrupted_from, disrupted_until in self.disruptions[router]
        ) and not any(begin <= at <= end for at in self.restarts[router])

    def _is_in_touch(self, router: str, begin: float, end: float) -> bool:
        """Return whether a router could reach the store in a calm time."""
        calm_from = begin - STABLE_WINDOW_S
        return all(
            self._is_undisturbed(name, calm_from, end)
            for name in (router, 'store', _store_link(router))
        ) and not any(
            calm_from <= at <= end for at in self.signalled_at[router]
        )

    def _check_reverts(
        self, results: typing.Sequence[callers.Result]
    ) -> list[checker.Violation]:
        """Return 404 responses for a host that the process served before."""
        served_at: dict[tuple[str, str, int], float] = {}
        violations = []
        for result in sorted(results, key=lambda result: result.ended_at):
            restarts = self.restarts[result.router]
            process_number = sum(at <= result.sent_at for at in restarts)
            process = (result.router, result.host, process_number)
            if result.status == 200:
                served_at.setdefault(process, result.ended_at)
            elif result.status == 404 and result.sent_at > served_at.get(
                process, float('inf')
            ):
                violations.append(
                    checker.Violation('never reverts', f'{result}')
                )
        return violations

    def _log(self, text: str) -> None:
        with (self.folder / 'faults.log').open('a') as log:
            log.write(f'{time.monotonic():.3f} {text}\n')


def _pick(names: typing.Iterable[str], pick: float) -> str:
    ordered = sorted(names)
    return ordered[int(pick * len(ordered))]


def _can_be_signalled(child: children.Child) -> bool:
    """Return whether a signal must not end a router's process."""
    age_s = time.monotonic() - child.started_at
    return age_s >= MIN_SIGNAL_AGE_S and child.has_written()


def _store_link(router: str) -> str:
    """Return the name of a router's link to the store."""
    return f'store link of {router}'


async def _inject_link_fault(
    link: proxy.Link, fault: faults.Fault, duration_s: float
) -> None:
    if fault.pick < 0.3:
        link.set_mode(proxy.Mode.PASS, delay_s=0.2)
    else:
        link.set_mode(fault.mode)
    await asyncio.sleep(duration_s)
    link.set_mode(proxy.Mode.PASS)


def run_seed(
    plan: Plan, seed: int, folder: pathlib.Path
) -> list[checker.Violation]:
    """Run one seed; the folder of an earlier run is deleted first."""
    shutil.rmtree(folder, ignore_errors=True)
    violations = asyncio.run(Soak(plan, seed, folder).run())
    with (folder / 'violations.log').open('w') as log:
        log.writelines(f'{each}\n' for each in violations)
    return violations


def regression_seeds() -> list[int]:
    """Return the seeds that failed once; the file names each cause."""
    lines = SEEDS_FILE.read_text().splitlines()
    return [
        int(line.split()[0])
        for line in lines
        if line.strip() and not line.startswith('#')
    ]


def main() -> int:
    """Run seeds in turn; return 1 if any run has violations, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--seeds', default='', help='seeds to run: N or FIRST-LAST'
    )
    parser.add_argument(
        '--fresh', type=int, default=0, help='number of new seeds'
    )
    parser.add_argument('--small', action='store_true')
    parser.add_argument('--large', action='store_true')
    parser.add_argument(
        '--without',
        default='',
        metavar='SAFEGUARD',
        help='remove a safeguard of the router; see sabotage.py',
    )
    parser.add_argument(
        '--folder', type=pathlib.Path, help='keep logs of all runs here'
    )
    options = parser.parse_args()
    plan = SMALL if options.small else LARGE if options.large else DEFAULT
    if options.without:
        module = f'knapweedhall_bench.sabotage {options.without}'
        plan = plan._replace(spec=plan.spec._replace(router_module=module))
    first, _, last = options.seeds.partition('-')
    seeds = list(range(int(first), int(last or first) + 1)) if first else []
    seeds += regression_seeds() if not options.seeds else []
    system_rng = random.SystemRandom()
    seeds += [system_rng.randrange(10**9) for _ in range(options.fresh)]
    failed = 0
    with tempfile.TemporaryDirectory() as scratch:
        for seed in seeds:
            folder = (options.folder or pathlib.Path(scratch)) / str(seed)
            violations = run_seed(plan, seed, folder)
            failed += bool(violations)
            print(f'seed {seed}: {len(violations)} broken', flush=True)
            for violation in violations[:5]:
                print(f'  {violation.invariant}: {violation.evidence}')
    print(f'{len(seeds) - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
