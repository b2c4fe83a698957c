"""The stand-in store as a process, with a way to write and to break it.

`PUT /standin/entry?key=ID` writes an upstream's entry, which is dropped after
a while without another write; `PUT /standin/faults` sets `faults.StoreFaults`;
`PUT /standin/forget` deletes the history.
"""

from __future__ import annotations

import argparse
import asyncio
import json

from aiohttp import web
import msgspec

from knapweedhall_standins import faults
from knapweedhall_standins import store
from knapweedhall_standins import upstream

# Silence after which an entry is dropped: three heartbeats.
EXPIRY_S = 2.6
EXPIRY_CHECK_S = 0.2


class StoreProcess(store.Store):
    """A store that upstreams of other processes write to."""

    def __init__(self) -> None:
        super().__init__()
        self.written_at: dict[str, float] = {}
        self.handlers |= {
            '/standin/entry': self._entry,
            '/standin/forget': self._forget,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        # Faults are set also while the store is down.
        if request.path == '/standin/faults':
            raw = await request.read()
            self.faults = msgspec.json.decode(raw, type=faults.StoreFaults)
            return web.Response()
        return await super()._handle(request)

    async def _entry(self, request: web.BaseRequest) -> web.Response:
        key = request.query['key']
        value = json.loads(await request.read() or b'null')
        self.put(upstream.UPSTREAM_TOPIC, key, value)
        self.written_at[key] = asyncio.get_running_loop().time()
        return web.Response()

    async def _forget(self, request: web.BaseRequest) -> web.Response:
        for partition in self.partitions.values():
            partition.delete_history()
        return web.Response()

    async def expire(self) -> None:
        """Drop entries that are not written again, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            now = asyncio.get_running_loop().time()
            for key, at in list(self.written_at.items()):
                if now - at > EXPIRY_S and not self.faults.down:
                    del self.written_at[key]
                    self.put(upstream.UPSTREAM_TOPIC, key, None)


async def serve(host: str, port: int) -> None:
    """Serve until cancelled."""
    found = StoreProcess()
    await found.start(host, port)
    await found.expire()


def main() -> None:
    """Run the store on an address."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('host')
    parser.add_argument('port', type=int)
    options = parser.parse_args()
    try:
        asyncio.run(serve(options.host, options.port))
    except KeyboardInterrupt:
        # The usual way to end it by hand.
        return


if __name__ == '__main__':
    main()
