"""A small backend for the scripts in review/, as PROTOCOL.md describes it.

It serves the requests of a connection one after the other. With `--sharded`
it runs a request only while it holds the request's key, and takes grants and
releases of keys. It prints a JSON line for each run, grant and release, with
the time of the machine's monotonic clock.

SIGTERM: it reports `draining` and exits `--drain-s` later.
SIGUSR1: after its next `--copies` answers to grants it sends a second copy of
the answer, `--late-s` late (PROTOCOL.md: additional bytes after a complete
response; an extra response may arrive late).
"""

import argparse
import asyncio
import json
import signal
import time

import harness


def report(event, **fields):
    line = {'at': time.monotonic(), 'event': event} | fields
    print(json.dumps(line), flush=True)


class Backend:
    def __init__(self, options):
        self.options = options
        self.slots = asyncio.Semaphore(options.slots)
        self.running = []
        self.run_ended = asyncio.Event()
        self.changed = asyncio.Event()
        self.grants = []
        self.fences = []
        self.state = 'ready'
        self.copies_left = 0
        self.born = int(time.time() * 1000)

    # Connections

    async def serve_connection(self, reader, writer):
        try:
            while True:
                first, headers = await harness.read_head(reader)
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                await self.answer(first.split()[1], headers, body, writer)
                await writer.drain()
        except (EOFError, OSError):
            return
        finally:
            writer.close()

    def write(self, writer, status, headers, body=b''):
        load = f'{len(self.running)},0,{self.options.slots},100'
        lines = [f'HTTP/1.1 {status} X', f'X-Backend-Load: {load}']
        if self.state == 'draining':
            lines.append('Server-Leaving: 1')
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines.append(f'Content-Length: {len(body)}\r\n\r\n')
        raw = '\r\n'.join(lines).encode() + body
        writer.write(raw)
        return raw

    async def answer(self, path, headers, body, writer):
        request_id = headers.get('x-attempt-id', '')
        refused = {'X-Not-Executed': '1'}
        if request_id:
            refused['X-Attempt-Id'] = request_id
        expected = headers.get('x-expected-instance', self.options.name)
        if path == '/health':
            status = 200 if self.state == 'ready' else 503
            self.write(writer, status, {'X-Instance-Id': self.options.name})
        elif expected != self.options.name:
            self.write(writer, 421, refused)
        elif path == '/grant':
            self.grant(json.loads(body), writer)
        elif path == '/release':
            await self.release(json.loads(body), writer)
        else:
            await self.serve(request_id, headers, body, refused, writer)

    async def serve(self, request_id, headers, body, refused, writer):
        key = int(headers.get('x-shard-key', -1))
        if self.options.sharded and not self.holds(key):
            self.write(writer, 421, refused)
            return
        async with self.slots:
            if self.options.sharded and not self.holds(key):
                self.write(writer, 421, refused)
                return
            run = (request_id, key)
            self.running.append(run)
            report('begin', request=request_id, key=key)
            await asyncio.sleep(self.options.work_s)
            self.running.remove(run)
            report('end', request=request_id, key=key)
            self.run_ended.set()
        filling = (request_id + ' ').encode() * self.options.body_bytes
        signed = {
            'X-Attempt-Id': request_id,
            'X-Response-Signature': f'{self.options.name}.{len(body)}',
        }
        status = 200
        if self.options.sharded and not self.holds(key):
            # Work that outlasts its lease ends with 500; a release waits for
            # the work that is running.
            status = 200 if self.was_released(key) else 500
        self.write(writer, status, signed, filling[: self.options.body_bytes])

    # Keys

    def was_released(self, key):
        return any(a <= key <= b for a, b, _, kind in self.fences if kind)

    def holds(self, key):
        now = time.monotonic()
        return any(
            first <= key <= last and until > now
            for first, last, until in self.grants
        )

    def drop(self, first, last):
        kept = []
        for begin, end, until in self.grants:
            if begin < first:
                kept.append((begin, min(end, first - 1), until))
            if end > last:
                kept.append((max(begin, last + 1), end, until))
        self.grants = [item for item in kept if item[0] <= item[1]]

    def grant(self, order, writer):
        first, last, fence = order['fromRev'], order['to'], order['fence']
        if any(
            known > fence and begin <= last and first <= end
            for begin, end, known, _ in self.fences
        ):
            report('fenced', first=first, last=last, fence=fence)
            self.write(writer, 409, {})
            return
        self.drop(first, last)
        until = time.monotonic() + order['holdS']
        self.grants.append((first, last, until))
        self.remember(first, last, fence, False)
        report('granted', first=first, last=last, fence=fence, until=until)
        raw = self.write(writer, 200, {})
        if self.copies_left:
            self.copies_left -= 1
            report('second copy of this answer follows')
            loop = asyncio.get_running_loop()
            loop.call_later(self.options.late_s, writer.write, raw)

    def remember(self, first, last, fence, released):
        self.fences = [
            item
            for item in self.fences
            if not (first <= item[0] and item[1] <= last)
        ]
        self.fences.append((first, last, fence, released))

    async def release(self, order, writer):
        first, last, fence = order['fromRev'], order['to'], order['fence']
        self.drop(first, last)
        self.remember(first, last, fence, True)
        report('released', first=first, last=last, fence=fence)
        while any(first <= key <= last for _, key in self.running):
            self.run_ended.clear()
            await self.run_ended.wait()
        report('release answered', first=first, last=last, fence=fence)
        self.write(
            writer, 200, {'X-Handover': f'{self.options.name}-{first}-{last}'}
        )

    # Registration

    async def register(self, store, port):
        sequence = 0
        while True:
            self.changed.clear()
            sequence += 1
            entry = {
                'address': f'127.0.0.1:{port}',
                'info': {
                    'service': self.options.service,
                    'version': 'v1',
                    'zone': 'zone-a',
                    'slots': self.options.slots,
                },
                'status': {
                    'state': self.state,
                    'sequence': sequence,
                    'warmupLeftS': 0,
                },
                'born': self.born,
            }
            await harness.exchange(
                store,
                'PUT',
                f'/standin/entry?key={self.options.name}',
                {'Host': 'store'},
                json.dumps(entry).encode(),
                2.0,
            )
            try:
                async with asyncio.timeout(0.8):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def drain(self):
        self.state = 'draining'
        self.changed.set()
        report('draining')


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('name')
    parser.add_argument('service')
    parser.add_argument('port', type=int)
    parser.add_argument('--store', required=True)
    parser.add_argument('--sharded', action='store_true')
    parser.add_argument('--slots', type=int, default=4)
    parser.add_argument('--body-bytes', type=int, default=1000)
    parser.add_argument('--work-s', type=float, default=0.1)
    parser.add_argument('--late-s', type=float, default=0.2)
    parser.add_argument('--copies', type=int, default=1)
    parser.add_argument('--drain-s', type=float, default=6.0)
    options = parser.parse_args()
    backend = Backend(options)
    loop = asyncio.get_running_loop()

    def on_copy():
        backend.copies_left = options.copies

    def on_drain():
        backend.drain()
        loop.call_later(options.drain_s, serving.cancel)

    loop.add_signal_handler(signal.SIGUSR1, on_copy)
    loop.add_signal_handler(signal.SIGTERM, on_drain)
    await asyncio.start_server(
        backend.serve_connection, '127.0.0.1', options.port, backlog=512
    )
    host, port = options.store.split(':')
    serving = asyncio.create_task(
        backend.register((host, int(port)), options.port)
    )
    try:
        await serving
    except asyncio.CancelledError:
        report('ended')


if __name__ == '__main__':
    asyncio.run(main())
