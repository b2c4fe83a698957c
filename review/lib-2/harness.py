"""Starts a small deployment on loopback for the scripts of this review.

The routers are started with the command of deploy/system.toml and settings
from platform/knapweedhall.ini.template. The store is the project's stand-in,
as a process; back ends are `backend.py`.
"""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
HOST = 'shop.example'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ROUTE_COLUMNS = ['name', 'host', 'prefix', 'kind', 'timeoutS',
                 'targetLatencyS', 'priority', 'maxAttempts', 'service']


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def render(fields):
    """Fill in the template of the settings as the platform does."""

    def look_up(match):
        value = fields
        for part in match.group(1).split('.'):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = (value or {}).get(part)
        return '' if value is None else str(value)

    text = (ROOT / 'platform/knapweedhall.ini.template').read_text()
    return re.sub(r'\{\{([\w.]+)\}\}', look_up, text)


class Deployment:
    """Store, routers and back ends; all are killed at the end."""

    def __init__(self, record):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='kh-review-'))
        self.record = record
        self.children = {}
        self.routers = {}
        self.backends = {}
        self.store = ''
        self.version = 1

    def note(self, kind, **fields):
        line = {'at': time.monotonic(), 'who': 'script', 'event': kind}
        self.record.append({**line, **fields})

    def spawn(self, name, command, env):
        log = (self.folder / f'{name}.log').open('ab')
        child = subprocess.Popen(
            command, cwd=ROOT, env={'PATH': os.environ['PATH'], **env},
            stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.children[name] = child
        return child

    def kill(self, name):
        child = self.children.pop(name, None)
        if child is not None and child.poll() is None:
            child.kill()
            child.wait()

    def close(self):
        for name in list(self.children):
            child = self.children[name]
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
            self.kill(name)
        shutil.rmtree(self.folder, ignore_errors=True)

    def lines(self, name):
        path = self.folder / f'{name}.log'
        found = []
        if path.exists():
            for line in path.read_text(errors='replace').splitlines():
                if line.startswith('{') and line.endswith('}'):
                    found.append(json.loads(line))
        return found

    # Store

    async def start_store(self, script=None):
        port = free_port('127.0.0.1')
        self.store = f'127.0.0.1:{port}'
        paths = [ROOT / 'packages/knapweedhall-standins/src',
                 ROOT / 'target/deps']
        self.spawn(
            'store',
            [sys.executable, *(
                [str(HERE / script)] if script else
                ['-m', 'knapweedhall_standins.store_process']),
             '127.0.0.1', str(port)],
            {'PYTHONPATH': ':'.join(map(str, paths))},
        )
        await self.wait_for(lambda: self.can_connect('127.0.0.1', port))

    @staticmethod
    def can_connect(host, port):
        try:
            socket.create_connection((host, port), 0.2).close()
            return True
        except OSError:
            return False

    async def wait_for(self, condition, timeout_s=20.0, what=''):
        until = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f'not in time: {what}')
            await asyncio.sleep(0.02)

    async def call_store(self, method, path, body=b''):
        return await http(self.store, method, path, {}, body)

    async def configure(self, routes, services):
        """Write a new version of the configuration."""
        self.version += 2
        value = {
            'version': f'r{self.version}',
            'routes': {'columns': ROUTE_COLUMNS, 'rows': routes},
            'services': {
                'columns': ['name', 'maxConnections', 'coldPerS', 'sharded'],
                'rows': services,
            },
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 8388608,
                       'headerTimeoutS': 3, 'idleTimeoutS': 15},
        }
        key, raw = b'config', json.dumps(value).encode()
        content = bytes([len(key)]) + key + raw
        answer = await self.call_store(
            'POST', '/log-append?topic=keyed.op&part=0',
            len(content).to_bytes(4, 'big') + content)
        if answer.status != 200:
            raise CannotRun(f'configuration: {answer.status}')
        self.note('configured', version=self.version)

    # Routers

    def start_router(self, name, zone='a', memory_mb=300, store=None):
        if name not in self.routers:
            ip = f'127.0.{len(self.routers) + 1}.1'
            ports = set()
            while len(ports) < 4:
                ports.add(free_port(ip))
            front, ready, peer, metrics = ports
            fields = {
                'nodeName': name, 'zone': zone, 'ip': ip,
                'limits': {'maxFds': 4100, 'memoryMb': memory_mb,
                           'cpuShare': 0.86, 'cores': 1, 'linkMbps': 1000.0},
                'listen': {'front': f'{ip}:{front}', 'ready': f'{ip}:{ready}'},
                'portRange': [peer, metrics],
                'platform': {'address': store or self.store, 'ttlMinS': 1},
                'bounds': {'retryBudgetRatio': 0.2, 'budgetWindowS': 10,
                           'budgetExtra': 62, 'drainS': 2, 'graceS': 6},
            }
            self.routers[name] = fields
            (self.folder / f'{name}.ini').write_text(render(fields))
        self.note('router_started', router=name)
        return self.spawn(
            name, [sys.executable, '-S', 'deploy/knapweedhall.py'],
            {'KNAPWEEDHALL_BOOT': str(self.folder / f'{name}.ini')},
        )

    def front(self, name):
        return self.routers[name]['listen']['front']

    async def is_ready(self, name):
        address = self.routers[name]['listen']['ready']
        try:
            answer = await http(address, 'GET', '/ready', {}, b'', 0.5)
        except (OSError, TimeoutError, EOFError, ValueError):
            return False
        return answer.status == 200

    async def wait_ready(self, names, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    raise CannotRun(f'{name} is not ready')
                await asyncio.sleep(0.05)

    # Back ends

    def start_backend(self, name, service, sharded, work_s=0.02, **options):
        if name not in self.backends:
            number = len(self.backends) + 1
            ip = f'127.0.1{number // 200}.{number % 200 + 1}'
            self.backends[name] = (ip, free_port(ip), service, sharded)
        ip, port, service, sharded = self.backends[name]
        command = [sys.executable, '-S', str(HERE / 'backend.py'), name,
                   service, ip, str(port), '--store', self.store,
                   '--work-s', str(work_s)]
        if sharded:
            command.append('--sharded')
        for option, value in options.items():
            command += [f'--{option.replace("_", "-")}', str(value)]
        self.note('backend_started', backend=name)
        return self.spawn(name, command, {})

    def backend_events(self, kind=None):
        found = []
        for name in self.backends:
            found += [line for line in self.lines(name) if 'event' in line]
        found.sort(key=lambda line: line['at'])
        return [f for f in found if kind is None or f['event'] == kind]


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_answer(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *fields = head.split('\r\n')
    headers = {}
    for field in fields:
        name, _, value = field.partition(':')
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', 0))
    body = await reader.readexactly(size) if size else b''
    return Answer(int(line.split(' ')[1]), headers, body)


async def http(address, method, path, headers, body=b'', timeout_s=3.0):
    """Send one request on a new connection and return the answer."""
    host, port = address.rsplit(':', 1)
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            if 'Host' not in headers:
                lines.append(f'Host: {address}')
            if body or method not in ('GET', 'HEAD'):
                lines.append(f'Content-Length: {len(body)}')
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            return await read_answer(reader)
        finally:
            writer.transport.abort()


class Callers:
    """Sends requests on new connections at a steady rate, without retries."""

    def __init__(self, deployment, rng):
        self.deployment = deployment
        self.rng = rng
        self.tasks = set()
        self.number = 0
        self.results = {}

    async def request(self, router, method, path, key=None, body=b'',
                      time_limit_s=1.0):
        self.number += 1
        identity = f'{router}-{self.number}'
        headers = {'Host': HOST, 'X-Attempt-Id': identity,
                   'X-Deadline-Ms': str(int(time_limit_s * 1000))}
        if key is not None:
            headers['X-Shard-Key'] = str(key)
        sent_at = time.monotonic()
        status, answer = 0, None
        try:
            answer = await http(self.deployment.front(router), method, path,
                                headers, body, time_limit_s + 0.5)
            status = answer.status
        except (OSError, TimeoutError, EOFError, ValueError) as error:
            status = type(error).__name__
        self.deployment.record.append(
            {'at': sent_at, 'who': 'caller', 'event': 'sent', 'request':
             identity, 'router': router, 'path': path, 'key': key,
             'status': status, 'took': round(time.monotonic() - sent_at, 4)})
        self.results[identity] = (status, answer)
        return status, answer

    def start(self, *arguments, **options):
        task = asyncio.create_task(self.request(*arguments, **options))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def finish(case_folder, deployment, record, verdict):
    """Write record.txt, in order of time."""
    lines = record + deployment.backend_events() + deployment.lines('store')
    lines.sort(key=lambda line: line['at'])
    text = '\n'.join(json.dumps(line) for line in lines)
    pathlib.Path(case_folder, 'record.txt').write_text(
        f'{verdict}\n{text}\n')


def main(case_folder, play):
    """Run a case: `play(deployment)` returns the broken rules as lines."""
    record = []
    deployment = Deployment(record)
    code, verdict = 2, 'could not run'
    try:
        broken = asyncio.run(asyncio.wait_for(play(deployment), 110))
        code = 1 if broken else 0
        verdict = '\n'.join(broken) if broken else 'held'
    except (CannotRun, TimeoutError, OSError) as error:
        verdict = f'could not run: {error!r}'
    finally:
        try:
            finish(case_folder, deployment, record, verdict)
        finally:
            if os.environ.get('KEEP_LOGS'):
                shutil.copytree(deployment.folder, os.environ['KEEP_LOGS'],
                                dirs_exist_ok=True)
            deployment.close()
    print(verdict)
    sys.exit(code)
