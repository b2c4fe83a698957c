"""A back end that starts again takes keys with an epoch number too low.

A back end joins and leaves again (planned work). Its keys come back to the
first back end, which crashes some seconds later and starts again under its id.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

import harness  # noqa: E402

# Rules of the router: time for which a moved range is not merged, time between
# renewals and between their retries, and period of the check for both. They
# only choose the moments of the crash and of the new start.
COOLDOWN_S = 3.0
RENEWAL_S = 0.506
RETRY_S = 0.301
TICK_S = RENEWAL_S / 5
# A back end that started again registers with its first heartbeat after this
# time; the platform lets it write about every 0.87 s.
REGISTER_AFTER_S = 0.4
BACKENDS = 8


def find_lower_tokens(events):
    """Return grants whose epoch number isn't above another back end's."""
    broken = []
    history = []
    for event in events:
        if event['event'] != 'granted':
            continue
        first, last, fence = event['first'], event['last'], event['fence']
        for a, b, token, name in history:
            if name != event['name'] and a <= last and first <= b:
                if token >= fence:
                    broken.append(
                        f'OWNER: {event["name"]} (born {event["born"]}) took '
                        f'{first}-{last} with {fence % 2**24}, but {name} '
                        f'had {a}-{b} with {token % 2**24}')
        history.append((first, last, fence, event['name']))
    return list(dict.fromkeys(broken))


def plan_crash(events, moved, fence):
    """Return when to crash and to serve again, or None.

    Chosen so that a renewal of the moved range fails, and none of the range
    next to it is sent until both are merged.
    """
    last = {}
    for event in events:
        if event['name'] == moved['name'] and event['at'] > moved['at'] + 1.2:
            last[event['first']] = event
    ranges = [last[first] for first in sorted(last)]
    pairs = [(left, right) for left, right in zip(ranges, ranges[1:])
             if left['first'] == moved['first']
             and left['last'] + 1 == right['first']]
    if not pairs or pairs[0][1]['fence'] >= fence:
        return None
    left, right = pairs[0]
    ends_at = moved['at'] + COOLDOWN_S
    fails_at = left['at'] + RENEWAL_S
    while fails_at < ends_at - 0.85:
        fails_at += RENEWAL_S
    apart = (right['at'] - fails_at + 0.02) % RENEWAL_S - 0.02
    if not (-0.005 < apart < 0.03 and left is ranges[0]
            or 0.285 < apart < 0.335):
        return None
    merged_at = fails_at
    while merged_at < ends_at:
        merged_at += TICK_S
    retry_at = fails_at
    while True:
        next_at = retry_at + TICK_S
        while next_at < retry_at + RETRY_S:
            next_at += TICK_S
        if next_at > merged_at - 0.05:
            break
        retry_at = next_at
    return fails_at - 0.1, (retry_at + merged_at) / 2


async def traffic(callers, routers, rng, running):
    while running:
        callers.start(rng.choice(routers), 'GET', '/view/x',
                      rng.randrange(65536))
        await asyncio.sleep(0.02)


async def cycle(deployment, added):
    """Add a back end, remove it, and crash the one that gets its keys."""
    deployment.start_backend(added, 'views', True)
    await asyncio.sleep(3.0)
    left_at = time.monotonic()
    deployment.children[added].send_signal(signal.SIGTERM)
    deployment.note('leaves', backend=added)
    await asyncio.sleep(2.0)
    events = deployment.backend_events('granted')
    theirs = {(e['first'], e['last']): e['fence'] for e in events
              if e['name'] == added}
    for moved in events:
        fence = theirs.get((moved['first'], moved['last']))
        if moved['name'] == added or moved['at'] < left_at or not fence:
            continue
        plan = plan_crash(events, moved, fence)
        if plan is None or plan[0] < time.monotonic():
            continue
        crash_at, serve_at = plan
        await asyncio.sleep(crash_at - time.monotonic())
        if harness.TROUBLE:
            deployment.note('crash', backend=moved['name'])
            deployment.kill(moved['name'])
            deployment.start_backend(
                moved['name'], 'views', True, serve_at=serve_at,
                register_after_s=REGISTER_AFTER_S)
        await asyncio.sleep(serve_at + 3.0 - time.monotonic())
        return
    await asyncio.sleep(2.0)


async def play(deployment):
    rng = random.Random()
    await deployment.start_store()
    await deployment.configure(
        [['view', harness.HOST, '/view/', 'safe', 1.0, 0.4, 1, 2, 'views']],
        [['views', 130, 9.1, True]])
    for number in range(BACKENDS):
        deployment.start_backend(f'b{number + 1}', 'views', True)
    routers = ['r1', 'r2']
    for name in routers:
        deployment.start_router(name)
    await deployment.wait_ready(routers)
    await asyncio.sleep(4.0)
    callers = harness.Callers(deployment, rng)
    running = [True]
    load = asyncio.create_task(traffic(callers, routers, rng, running))
    began = time.monotonic()
    number = BACKENDS
    while time.monotonic() < began + 80:
        number += 1
        await cycle(deployment, f'b{number}')
        if find_lower_tokens(deployment.backend_events()):
            break
    running.clear()
    await load
    return find_lower_tokens(deployment.backend_events())


if __name__ == '__main__':
    harness.main(HERE, play)
