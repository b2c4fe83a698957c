"""Fault soak: the real programs under random faults, judged from outside."""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
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
from knapweedhall_bench import deployment
from knapweedhall_bench import faults
from knapweedhall_bench import judge
from knapweedhall_bench import scene
from knapweedhall_standins import faults as store_faults
from knapweedhall_standins import proxy

SEEDS = pathlib.Path(__file__).parent / 'seeds.txt'
RATE = 80.0
# A process that ended is started again after this time, as on the platform.
RESTART_S = 0.5
WATCH_S = 0.2
# Time after the last fault in which all keys must be served again: grants
# without an answer (3.5 s), after renewals without the store (6 s), and the
# takeover itself.
RECOVER_S = 15.0
# The soak's own ticks, and how late one comes if the machine itself stood
# still: seeds 4 and 29 met 9.6 s in which no process of either run did
# anything, which callers saw as requests without an answer.
TICK_S = 0.1
STANDSTILL_S = 0.8
# Age of listings of the past, as the platform's pages have it.
PAST_S = 3.0
# Time after which a record is in force everywhere, at its longest when the
# store pushes nothing.
IN_FORCE_S = 0.8
# A request whose instance is harmed so long before or after is not judged as
# cut: the harm reaches it late.
NEAR_S = 0.3


class Plan(typing.NamedTuple):
    """Size of a run."""

    spec: deployment.Spec
    faults: int
    length_s: float


SMALL = Plan(
    deployment.Spec(3, {scene.DIVIDED: 4, scene.CHOICE: 2}, (scene.DIVIDED,)),
    10,
    12.0,
)
USUAL = Plan(
    deployment.Spec(5, {scene.DIVIDED: 8, scene.CHOICE: 4}, (scene.DIVIDED,)),
    20,
    20.0,
)


class Soak:
    """One run."""

    def __init__(self, plan: Plan, seed: int, folder: pathlib.Path) -> None:
        self.plan = plan
        self.seed = seed
        self.folder = folder
        self.rng = random.Random(seed)
        self.harmed: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self.started: dict[str, list[float]] = collections.defaultdict(list)
        self.stopping: set[str] = set()
        self.wrong = store_faults.StoreFaults()

    async def run(self) -> list[judge.Violation]:
        """Run all and return what was broken."""
        async with deployment.Deployment(self.plan.spec, self.folder) as found:
            self.running = found
            self.stage = scene.Scene(found, self.rng)
            await self.stage.configure()
            missing = await self.stage.until_served()
            if missing:
                return [judge.Violation('begins to serve', missing)]
            self.stage.callers.told.clear()
            return await self._harm_and_judge()

    async def _harm_and_judge(self) -> list[judge.Violation]:
        stop = asyncio.Event()
        traffic = asyncio.create_task(self.stage.callers.run(RATE, stop))
        watch = asyncio.gather(self._restart(), self._watch_machine())
        series = faults.series(self.rng, self.plan.faults, self.plan.length_s)
        await self._play(series)
        missing = await self.stage.until_served(RECOVER_S)
        stop.set()
        await traffic
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
        told = self.stage.callers.told
        evidence = judge.read(self.folder, self.running.upstreams)
        broken = judge.judge(told, evidence)
        broken += self._cut(told, evidence)
        broken += self._reverted(told)
        if missing:
            broken.append(judge.Violation('served again', missing))
        return broken

    async def _play(self, series: typing.Sequence[faults.Fault]) -> None:
        begun = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in series:
                await asyncio.sleep(begun + fault.at - time.monotonic())
                group.create_task(self._inject(fault))

    async def _inject(self, fault: faults.Fault) -> None:
        self._log(f'{fault}')
        lasts_s = fault.until - fault.at
        if fault.target == 'operator':
            await self.stage.add_host(f'host-{self.stage.published}')
        elif fault.target == 'store':
            await self._harm_store(fault, lasts_s)
        elif fault.target == 'router':
            name = _pick(self.running.routers, fault.pick)
            await self._harm_router(name, fault, lasts_s)
        else:
            name = _pick(self.running.upstreams, fault.pick)
            await self._harm_upstream(name, fault, lasts_s)

    async def _harm_router(
        self, name: str, fault: faults.Fault, lasts_s: float
    ) -> None:
        node = self.running.routers[name]
        now = time.monotonic()
        if fault.kind == 'kill':
            node.child.kill()
            self.harmed[name].append((now, now))
        elif fault.kind == 'pause':
            node.child.stop()
            await asyncio.sleep(lasts_s)
            node.child.resume()
            self.harmed[name].append((now, time.monotonic()))
        elif fault.kind == 'stop':
            await self._stop_router(name, node)
        elif fault.kind == 'reload':
            node.child.send(signal.SIGHUP)
        else:
            await _harm_link(node.link, fault, lasts_s)

    async def _stop_router(self, name: str, node: deployment.Node) -> None:
        if name in self.stopping or node.child.paused:
            return
        self.stopping.add(name)
        await node.child.terminate()
        self.stopping.discard(name)

    async def _harm_upstream(
        self, name: str, fault: faults.Fault, lasts_s: float
    ) -> None:
        node = self.running.upstreams[name]
        if fault.kind == 'kill':
            node.child.kill()
            await asyncio.sleep(lasts_s)
            await self._return_upstream(name, node)
        elif fault.kind == 'pause':
            node.child.stop()
            await asyncio.sleep(lasts_s)
            node.child.resume()
        elif fault.kind == 'drain':
            await self.running.add_upstream(self.running.services[name])
            await node.child.terminate()
        else:
            await _harm_link(node.link, fault, lasts_s)

    async def _return_upstream(self, name: str, node: deployment.Node) -> None:
        if not node.child.is_running():
            service = self.running.services[name]
            await self.running.add_upstream(service, name)

    async def _harm_store(self, fault: faults.Fault, lasts_s: float) -> None:
        count = 1 + int(fault.pick * 3)
        if fault.kind == 'forget':
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                # The store may be down; it then forgets nothing.
                await self.running.forget()
            return
        if fault.kind == 'down':
            self.wrong.down = True
        elif fault.kind == 'lose-answers':
            self.wrong.lose_answers = count
        elif fault.kind == 'late-appends':
            self.wrong.late_appends = count
        elif fault.kind == 'refuse':
            name = _pick(self.running.routers, fault.pick)
            # Links of the proxy hide the address of a router.
            await _harm_link(self.running.routers[name].link, fault, lasts_s)
            return
        elif fault.kind == 'slow':
            self.wrong.delays = {
                path: 0.3 for path in ('/log-append', '/log-join', '/log-read')
            }
        elif fault.kind == 'past':
            # A store that has deleted its history may list the past. Only a
            # record that is younger, and a coordinator that begins to read,
            # show who believes it.
            await self.stage.add_host(f'host-{self.stage.published}')
            await asyncio.sleep(IN_FORCE_S)
            self.wrong.past_s = PAST_S
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                # While the store is down nothing is forgotten.
                await self.running.forget()
        else:
            self.wrong.deaf = True
        await self.running.set_faults(self.wrong)
        if fault.kind == 'past':
            await self._change_coordinator()
        await asyncio.sleep(lasts_s)
        self.wrong = store_faults.StoreFaults()
        await self.running.set_faults(self.wrong)

    async def _change_coordinator(self) -> None:
        name = await self.stage.coordinator()
        if name in self.running.routers:
            await self._stop_router(name, self.running.routers[name])

    async def _restart(self) -> None:
        """Start routers again that ended, as the platform does."""
        while True:
            await asyncio.sleep(WATCH_S)
            for name, node in self.running.routers.items():
                if not node.child.is_running():
                    now = time.monotonic()
                    await asyncio.sleep(RESTART_S)
                    self.started[name].append(now)
                    node.child.start()

    async def _watch_machine(self) -> None:
        """Take note of times in which the whole machine stood still."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if now - before > STANDSTILL_S:
                self._log(f'standstill of {now - before:.1f} s')
                for name in self.running.routers:
                    self.harmed[name].append((before, now))

    def _cut(
        self, told: typing.Sequence[callers.Told], found: judge.Evidence
    ) -> list[judge.Violation]:
        """Return requests that an unharmed instance never answered."""
        ran = {run.request for run in found.runs}
        return [
            judge.Violation('no request is cut', f'{one}')
            for one in told
            if one.status == 0
            and one.request in ran
            and not any(
                begin - NEAR_S <= one.ended_at and one.sent_at <= end + NEAR_S
                for begin, end in self.harmed[one.router]
            )
        ]

    def _reverted(
        self, told: typing.Sequence[callers.Told]
    ) -> list[judge.Violation]:
        """Return 404s for a host that the same process had served."""
        served: dict[tuple[str, str, int], float] = {}
        broken = []
        for one in sorted(told, key=lambda one: one.ended_at):
            starts = self.started[one.router]
            life = sum(start <= one.sent_at for start in starts)
            process = (one.router, one.host, life)
            if one.status == 200:
                served.setdefault(process, one.ended_at)
            elif one.status == 404 and one.sent_at > served.get(
                process, float('inf')
            ):
                broken.append(judge.Violation('never reverts', f'{one}'))
        return broken

    def _log(self, text: str) -> None:
        with (self.folder / 'faults.log').open('a') as log:
            log.write(f'{time.monotonic():.3f} {text}\n')


def _pick(names: typing.Iterable[str], pick: float) -> str:
    found = sorted(names)
    return found[int(pick * len(found))]


async def _harm_link(
    link: proxy.Link, fault: faults.Fault, lasts_s: float
) -> None:
    if fault.pick < 0.3:
        link.set_mode(proxy.Mode.PASS, delay_s=0.2)
    else:
        link.set_mode(fault.mode)
    await asyncio.sleep(lasts_s)
    link.set_mode(proxy.Mode.PASS)


def play(plan: Plan, seed: int, folder: pathlib.Path) -> list[judge.Violation]:
    """Run one seed; logs of an earlier run are replaced."""
    shutil.rmtree(folder, ignore_errors=True)
    return asyncio.run(Soak(plan, seed, folder).run())


def regression_seeds() -> list[int]:
    """Return the seeds that ever failed; the file names each cause."""
    lines = SEEDS.read_text().splitlines()
    return [
        int(line.split()[0])
        for line in lines
        if line.strip() and not line.startswith('#')
    ]


def main() -> int:
    """Run seeds one after the other; the status is 1 if one is broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='', help='N or FIRST-LAST')
    parser.add_argument('--fresh', type=int, default=0, help='new seeds')
    parser.add_argument('--small', action='store_true')
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
    plan = SMALL if options.small else USUAL
    if options.without:
        module = f'knapweedhall_bench.sabotage {options.without}'
        plan = plan._replace(spec=plan.spec._replace(router_module=module))
    first, _, last = options.seeds.partition('-')
    seeds = list(range(int(first), int(last or first) + 1)) if first else []
    seeds += regression_seeds() if not options.seeds else []
    chance = random.SystemRandom()
    seeds += [chance.randrange(10**9) for _ in range(options.fresh)]
    failed = 0
    with tempfile.TemporaryDirectory() as scratch:
        for seed in seeds:
            folder = (options.folder or pathlib.Path(scratch)) / str(seed)
            broken = play(plan, seed, folder)
            failed += bool(broken)
            print(f'seed {seed}: {len(broken)} broken', flush=True)
            for violation in broken[:5]:
                print(f'  {violation.promise}: {violation.evidence}')
    print(f'{len(seeds) - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
