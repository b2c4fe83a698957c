"""The project's stand-in for the store, with a drill that can be armed.

`PUT /standin/arm?topic=T&lost=K&away=S&late=L` waits until K + 1 records with
a key that begins with `table/` have been sent to topic T. The last of these
calls is in flight when the store goes away: it gets no answer. The store is
away for S seconds, and comes back from the copy in which the K records and all
later ones are missing (PROTOCOL: "the store may be away for a moment and come
back from a copy some seconds old"). The call is executed L seconds after it
was sent, if its condition holds then ("A call that receives no response may
have been executed, or may be executed seconds later if its condition still
holds"), else it is not executed.

Without `arm`, this is the project's stand-in. Every append, and what the drill
does, is written to standard output.
"""

import argparse
import asyncio
import json
import time

from aiohttp import web

from knapweedhall_standins import store_process


def event(kind, **fields):
    line = {'at': time.monotonic(), 'name': 'store', 'event': kind}
    print(json.dumps({**line, **fields}), flush=True)


class DrillStore(store_process.StoreProcess):
    """Store with a drill."""

    def __init__(self):
        super().__init__()
        self.armed = None
        self.copy_at = None
        self.handlers['/standin/arm'] = self.arm
        self.handlers['/log-append'] = self.append

    async def arm(self, request):
        query = request.query
        self.armed = {
            'topic': query['topic'], 'lost': int(query['lost']),
            'away': float(query['away']), 'late': float(query['late']),
        }
        event('armed', **self.armed)
        return web.Response()

    async def append(self, request):
        raw = await request.read()
        topic = request.query['topic']
        size = raw[4]
        key = raw[5:5 + size].decode()
        armed = self.armed
        if (armed and topic == armed['topic'] and key.startswith('table/')
                and request.query.get('at') == str(
                    self.partition(topic).end_offset)):
            if self.copy_at is None:
                # The copy was made just before this record.
                self.copy_at = time.monotonic()
            if not armed['lost']:
                self.armed = None
                asyncio.create_task(self.drill(armed, request, raw, key))
                await asyncio.sleep(3600)
            armed['lost'] -= 1
        response = await self._append(request)
        event('append', topic=topic, key=key, status=response.status,
              sent_at=request.query.get('at'), era=self.era)
        return response

    async def drill(self, armed, request, raw, key):
        topic, at = armed['topic'], int(request.query['at'])
        arrived = time.monotonic()
        event('away', pending=at, key=key,
              value=raw[5 + len(key):].decode())
        self.faults.down = True
        request.transport.abort()
        await asyncio.sleep(armed['away'])
        self.restore(time.monotonic() - self.copy_at)
        self.faults.down = False
        event('back', era=self.era, copy_age=time.monotonic() - self.copy_at,
              end=self.partition(topic).end_offset)
        asyncio.get_running_loop().call_later(
            store_process.REWRITE_AFTER_S, self.rewrite)
        await asyncio.sleep(arrived + armed['late'] - time.monotonic())
        partition = self.partition(topic)
        done = partition.end_offset == at
        if done:
            partition.append(key, raw[5 + len(key):])
        event('late_call', executed=done, sent_at=at,
              end=partition.end_offset)


async def serve(host, port):
    server = DrillStore()
    await server.start(host, port)
    await server.expire_entries()


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('host')
    parser.add_argument('port', type=int)
    options = parser.parse_args()
    asyncio.run(serve(options.host, options.port))
