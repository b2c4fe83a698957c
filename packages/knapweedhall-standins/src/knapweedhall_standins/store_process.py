"""Runs the fake store as a process, with paths to control it.

`PUT /standin/entry?key=ID` writes the entry of an upstream, which expires
unless it is written again in time; `PUT /standin/faults` sets
`faults.StoreFaults`; `PUT /standin/forget` deletes the history of all topics;
`PUT /standin/restore?age=SECONDS` returns the store to an earlier copy, and
what the operator and the upstreams wrote since is written again after
`REWRITE_AFTER_S`.
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

# Age at which an entry expires: three heartbeats of an upstream.
ENTRY_TTL_S = 2.6
EXPIRY_CHECK_PERIOD_S = 0.2
# An upstream writes its entry every 0.87 s.
REWRITE_AFTER_S = 0.9


class StoreProcess(store.Store):
    """Store that other processes write to and inject faults into."""

    def __init__(self) -> None:
        super().__init__()
        self.written_at: dict[str, float] = {}
        self.handlers |= {
            '/standin/entry': self._put_entry,
            '/standin/forget': self._delete_history,
            '/standin/restore': self._restore,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        # Faults can also be set while the store rejects all other calls.
        if request.path == '/standin/faults':
            raw = await request.read()
            self.faults = msgspec.json.decode(raw, type=faults.StoreFaults)
            return web.Response()
        return await super()._handle(request)

    async def _put_entry(self, request: web.BaseRequest) -> web.Response:
        key = request.query['key']
        value = json.loads(await request.read() or b'null')
        self.put(upstream.UPSTREAM_TOPIC, key, value)
        self.written_at[key] = asyncio.get_running_loop().time()
        return web.Response()

    async def _delete_history(self, request: web.BaseRequest) -> web.Response:
        for partition in self.partitions.values():
            partition.delete_history()
        return web.Response()

    async def _restore(self, request: web.BaseRequest) -> web.Response:
        self.restore(float(request.query['age']))
        loop = asyncio.get_running_loop()
        loop.call_later(REWRITE_AFTER_S, self.rewrite)
        return web.Response()

    async def expire_entries(self) -> None:
        """Remove entries that are not written again, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_PERIOD_S)
            now = asyncio.get_running_loop().time()
            for key, written_at in list(self.written_at.items()):
                if now - written_at > ENTRY_TTL_S and not self.faults.down:
                    del self.written_at[key]
                    self.put(upstream.UPSTREAM_TOPIC, key, None)


async def serve(host: str, port: int) -> None:
    """Serve until cancelled."""
    server = StoreProcess()
    await server.start(host, port)
    await server.expire_entries()


def main() -> None:
    """Parse the command line and run the store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('host')
    parser.add_argument('port', type=int)
    options = parser.parse_args()
    try:
        asyncio.run(serve(options.host, options.port))
    except KeyboardInterrupt:
        # Ctrl-C is the usual way to stop it by hand.
        return


if __name__ == '__main__':
    main()
