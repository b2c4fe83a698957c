"""An entry that can't be read ends the processes of all instances.

Another writer writes one entry into the topic of the servers: JSON whose
lists are nested 5,000 deep and never closed. The platform's part of the
script starts each router again 0.5 s after it has ended.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import harness  # noqa: E402

ENTRY = b'{"service":"views","zones":' + 5000 * b'['
WATCH_S = 30.0
RESTART_DELAY_S = 0.5
CALL_PERIOD_S = 0.1
# RULES.md, Fault: a tenth of the machines in use, two at least, three times.
MIN_MACHINES = 2
MIN_ENDS = 3


async def watch(deployment, name, ends):
    """Start a router again when it has ended, and count how often it did."""
    while True:
        await asyncio.sleep(0.05)
        process = deployment.processes[name]
        if process.poll() is None:
            continue
        ends[name] += 1
        deployment.record(
            f'{name} ended by itself, status {process.returncode}'
        )
        await asyncio.sleep(RESTART_DELAY_S)
        deployment.start_router(name)


async def call(deployment, name, counts):
    """Send requests, one after the other, until cancelled."""
    number = 0
    while True:
        number += 1
        request_id = f'{name}-{number}'
        headers = {
            'Host': harness.HOST,
            'X-Attempt-Id': request_id,
            'X-Deadline-Ms': 1000,
        }
        try:
            status, _, _ = await harness.exchange(
                deployment.routers[name]['front'],
                'GET',
                '/r1/x',
                headers,
                None,
                1.0,
            )
        except (OSError, EOFError, TimeoutError) as error:
            status = type(error).__name__
        deployment.record(f'{request_id} answered {status}')
        counts[status == 200] += 1
        await asyncio.sleep(CALL_PERIOD_S)


async def main(deployment, trouble):
    await deployment.start_store()
    await deployment.configure('safe', 'views')
    for number in (1, 2, 3):
        deployment.start_upstream(f'up-{number}', 'views')
    routers = [deployment.prepare_router(number) for number in (1, 2, 3)]
    for name in routers:
        deployment.start_router(name)
    await deployment.wait_until_ready(routers)
    await asyncio.sleep(3)
    if trouble:
        deployment.record(f'another writer writes {len(ENTRY)} bytes')
        await deployment.append('keyed.servers', 'i-other', ENTRY)
    ends = dict.fromkeys(routers, 0)
    counts = {True: 0, False: 0}
    tasks = [
        asyncio.create_task(work)
        for name in routers
        for work in (
            watch(deployment, name, ends),
            call(deployment, name, counts),
        )
    ]
    await asyncio.sleep(WATCH_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for name in routers:
        for line in deployment.log_lines(name, 'task_fault')[:1]:
            deployment.record(f'{name} logged {line}')
    deployment.record(f'ends in {WATCH_S:.0f} s: {ends}')
    deployment.record(
        f'requests served {counts[True]}, not served {counts[False]}'
    )
    often = [name for name, count in ends.items() if count >= MIN_ENDS]
    return len(often) >= MIN_MACHINES


harness.run(main, HERE / 'record.txt')
