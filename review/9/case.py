"""Routers stop answering while servers send empty lines without end."""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

import harness  # noqa: E402

ROUTERS = ['r1', 'r2']
BACKENDS = 7
# Share of the answers; `garble` spoils up to 0.4 of them on this site.
SHARE = float(os.environ.get('SHARE', '0.1'))
# Together 119 MB/s to each router; its link carries 125 MB/s.
RATE = 17e6
# CONFIG: time after `timeoutS` at which half of the answers must be there.
TIMEOUT_S = 1.0
LATE_S = 0.5
# Fewer requests than this are no finding.
MIN_REQUESTS = 20


async def traffic(callers, until):
    while time.monotonic() < until:
        for name in ROUTERS:
            callers.start(name, 'GET', '/view/x', None,
                          time_limit_s=TIMEOUT_S)
            callers.start(name, 'GET', '/view/x', None,
                          time_limit_s=TIMEOUT_S)
            # The other service answers as usual.
            callers.start(name, 'POST', '/command/x', None, b'command',
                          time_limit_s=TIMEOUT_S)
        await asyncio.sleep(0.03)


def check(sent, router, path):
    """Return a line if the requests of a route break CONFIG."""
    own = [line for line in sent
           if line['router'] == router and line['path'] == path]
    open_at_timeout = [line for line in own if line['took'] > TIMEOUT_S]
    unanswered = [line for line in open_at_timeout
                  if not isinstance(line['status'], int)]
    summary = (f'{router} {path}: {len(own)} requests, '
               f'{len(open_at_timeout)} unanswered at {TIMEOUT_S} s, '
               f'{len(unanswered)} at {TIMEOUT_S + LATE_S} s')
    print(summary)
    is_broken = (len(open_at_timeout) >= MIN_REQUESTS
                 and 2 * len(unanswered) > len(open_at_timeout))
    return [f'CONFIG: {summary}'] if is_broken else []


async def play(deployment):
    await deployment.start_store()
    await deployment.configure(
        [['view', harness.HOST, '/view/', 'safe', TIMEOUT_S, 0.4, 1, 2,
          'views'],
         ['command', harness.HOST, '/command/', 'unsafe', TIMEOUT_S, 0.4, 1,
          2, 'commands']],
        [['views', 130, 9.1, False], ['commands', 130, 9.1, False]])
    for number in range(BACKENDS):
        deployment.start_backend(
            f'v{number}', 'views', False, endless_rate=RATE,
            endless_kind='lines',
            endless_share=SHARE if harness.TROUBLE else 0.0)
    for number in range(4):
        deployment.start_backend(f'c{number}', 'commands', False)
    for name in ROUTERS:
        deployment.start_router(name)
    await deployment.wait_ready(ROUTERS)
    await asyncio.sleep(5.0)
    callers = harness.Callers(deployment, random.Random())
    await traffic(callers, time.monotonic() + 30)
    await asyncio.sleep(2.0)
    sent = [line for line in deployment.record if line['event'] == 'sent']
    broken = []
    for name in ROUTERS:
        for path in ('/view/x', '/command/x'):
            broken += check(sent, name, path)
    return broken


harness.main(HERE, play)
