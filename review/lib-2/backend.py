"""A back end of the platform, as a process (standard library only).

It speaks PROTOCOL.md: it registers in the store, runs requests for the keys
that it holds, and accepts grants and releases. It writes one JSON line for
each event to standard output, with the time of the monotonic clock.
"""

import argparse
import asyncio
import json
import random
import signal
import time


class Backend:
    """Holds keys and runs requests."""

    def __init__(self, options):
        self.options = options
        self.name = options.name
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        # Granted ranges: first, last, fence, end.
        self.grants = []
        # Fences seen: first, last, fence.
        self.seen = []
        self.running = []
        self.slots = asyncio.Semaphore(4)
        self.waiting = 0
        # When the next part without end is due, by router.
        self.send_at = {}
        self.address = options.address or f'{options.host}:{options.port}'

    def event(self, kind, **fields):
        line = {'at': time.monotonic(), 'name': self.name, 'born': self.born}
        print(json.dumps({**line, 'event': kind, **fields}), flush=True)

    # Registration

    async def register(self):
        """Write the entry to the store; the next heartbeat repeats it."""
        self.sequence += 1
        entry = {
            'address': self.address,
            'info': {
                'service': self.options.service,
                'version': 'v1',
                'zone': self.options.zone,
                'slots': 4,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'warmupLeftS': 0.0,
            },
            'born': self.born,
        }
        await self.call_store(json.dumps(entry).encode())

    async def call_store(self, body):
        host, port = self.options.store.split(':')
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                head = (
                    f'PUT /standin/entry?key={self.name} HTTP/1.1\r\n'
                    f'Host: store\r\nContent-Length: {len(body)}\r\n'
                    'Connection: close\r\n\r\n'
                )
                writer.write(head.encode() + body)
                await reader.read()
                writer.close()
        except (OSError, TimeoutError) as error:
            self.event('not_registered', reason=repr(error))

    # Keys

    def holds(self, key):
        now = time.monotonic()
        return any(a <= key <= b and end > now for a, b, _, end in self.grants)

    def drop(self, first, last):
        kept = []
        for a, b, fence, end in self.grants:
            if b < first or a > last:
                kept.append((a, b, fence, end))
                continue
            if a < first:
                kept.append((a, first - 1, fence, end))
            if b > last:
                kept.append((last + 1, b, fence, end))
        self.grants = kept

    def grant(self, order):
        first, last, fence = order['fromRev'], order['to'], order['fence']
        if any(
            f > fence and a <= last and first <= b for a, b, f in self.seen
        ):
            self.event('fenced', first=first, last=last, fence=fence)
            return 409
        self.seen.append((first, last, fence))
        self.drop(first, last)
        end = time.monotonic() + order['holdS']
        self.grants.append((first, last, fence, end))
        self.event('granted', first=first, last=last, fence=fence, until=end)
        return 200

    async def release(self, order):
        first, last = order['fromRev'], order['to']
        held = any(a <= last and first <= b for a, b, _, _ in self.grants)
        self.drop(first, last)
        self.event('released', first=first, last=last, held=held)
        while any(first <= key <= last for key in self.running):
            await asyncio.sleep(0.005)

    # Requests

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                line, *fields = head.split('\r\n')
                method, target, _ = line.split(' ', 2)
                headers = {}
                for field in fields:
                    name, _, value = field.partition(':')
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size) if size else b''
                identity = headers.get('x-attempt-id')
                if identity and random.random() < self.options.endless_share:
                    await self.send_endless(identity, writer)
                    return
                status, extra, answer = await self.answer(
                    method, target, headers, body
                )
                lines = [f'HTTP/1.1 {status} X']
                identity = headers.get('x-attempt-id')
                if identity is not None:
                    lines.append(f'X-Attempt-Id: {identity}')
                lines += extra
                lines.append(f'Content-Length: {len(answer)}')
                writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def send_endless(self, identity, writer):
        """Send bytes without end until the caller closes.

        They are a body, or empty lines in place of a head. The rate is limited for each router, which the request's id names.
        """
        router = identity.partition('-')[0]
        self.event('endless', request=identity)
        part = b'\r\n' * 32768
        if self.options.endless_kind == 'body':
            writer.write((f'HTTP/1.1 200 X\r\nX-Attempt-Id: {identity}\r\n'
                          f'X-Response-Signature: {self.name}.{identity}\r\n'
                          '\r\n').encode())
            part = b'x' * 65536
        while True:
            now = time.monotonic()
            due = max(self.send_at.get(router, now), now - 0.02)
            self.send_at[router] = due + len(part) / self.options.endless_rate
            await asyncio.sleep(due - now)
            writer.write(part)
            await writer.drain()

    async def answer(self, method, target, headers, body):
        expected = headers.get('x-expected-instance', self.name)
        refused = ['X-Not-Executed: 1']
        if expected != self.name:
            return 421, refused, b''
        if target == '/grant':
            return self.grant(json.loads(body)), [], b''
        if target == '/release':
            await self.release(json.loads(body))
            return 200, [f'X-Handover: h{self.name}'], b''
        identity = headers.get('x-attempt-id')
        if identity is None:
            return 400, refused, b''
        key = headers.get('x-shard-key')
        key = None if key is None else int(key)
        sharded = self.options.sharded
        if sharded and (key is None or not self.holds(key)):
            return 421, refused, b''
        if self.waiting >= 16:
            return 503, refused, b''
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            if sharded and not self.holds(key):
                return 421, refused, b''
            self.event('run', request=identity, key=key, method=method,
                       target=target, size=len(body))
            if key is not None:
                self.running.append(key)
            try:
                await asyncio.sleep(self.options.work_s)
            finally:
                if key is not None:
                    self.running.remove(key)
        finally:
            self.slots.release()
        signed = f'X-Response-Signature: {self.name}.{identity}'
        return 200, [signed], f'{identity} {target}'.encode()

    async def run(self):
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        await asyncio.sleep(self.options.serve_at - time.monotonic())
        server = await asyncio.start_server(
            self.serve, self.options.host, self.options.port
        )
        self.event('started')
        await asyncio.sleep(self.options.register_after_s)
        await self.register()
        exit_at = None
        while exit_at is None or time.monotonic() < exit_at:
            try:
                async with asyncio.timeout(self.options.heartbeat_s):
                    await (asyncio.sleep(9) if exit_at else stop.wait())
            except TimeoutError:
                pass
            if stop.is_set() and exit_at is None:
                # Leaves as planned: it serves on for drainS and a little more.
                self.state = 'draining'
                exit_at = time.monotonic() + self.options.drain_s
            await self.register()
        await self.call_store(b'')
        self.event('ended')
        server.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('name')
    parser.add_argument('service')
    parser.add_argument('host')
    parser.add_argument('port', type=int)
    parser.add_argument('--store', required=True)
    parser.add_argument('--address', default='')
    parser.add_argument('--zone', default='a')
    parser.add_argument('--sharded', action='store_true')
    parser.add_argument('--work-s', type=float, default=0.02)
    parser.add_argument('--heartbeat-s', type=float, default=0.87)
    # Monotonic time at which its start has ended; 0: at once.
    parser.add_argument('--serve-at', type=float, default=0.0)
    parser.add_argument('--register-after-s', type=float, default=0.0)
    # Share of the answers without end, their bytes per second and kind.
    parser.add_argument('--endless-share', type=float, default=0.0)
    parser.add_argument('--endless-kind', choices=('body', 'lines'),
                        default='body')
    parser.add_argument('--endless-rate', type=float, default=1e6)
    parser.add_argument('--drain-s', type=float, default=3.0)
    asyncio.run(Backend(parser.parse_args()).run())


if __name__ == '__main__':
    main()
