"""Builds the data path."""

from __future__ import annotations

import random
import typing

from aiohttp import web

from knapweedhall_entry.gateway import interfaces
from knapweedhall_events import trace


class Gateway(typing.Protocol):
    """The data path, ready to be run by `web.ServerRunner`.

    Attributes
    ----------
    caller, forward : web.Server
        Servers for the caller port and the forward port. They are low-level
        servers instead of applications, as every path goes to one handler
        and answers to malformed requests need the outcome header, too.
    """

    caller: web.Server
    forward: web.Server

    def begin_stop(self) -> None:
        """Ask callers to leave: answers carry `Connection: close`.

        Requests are still served; call it when readiness goes off.
        """

    async def finish_stop(self, deadline: float) -> int:
        """Wait for running requests, then cut the rest and close the pools.

        Call it after the sites stopped accepting and before
        `runner.cleanup`.

        Parameters
        ----------
        deadline : float
            Seconds of `time.monotonic` at which to stop waiting.

        Returns
        -------
        int
            Number of requests that were cut.
        """

    def demand(self) -> dict[str, interfaces.Demand]:
        """Return the present load per upstream, for permit requests."""


def build_gateway(
    control: interfaces.Control,
    events: trace.TraceWriter,
    options: interfaces.Options,
    rng: random.Random,
    observer: interfaces.Observer | None = None,
) -> Gateway:
    """Build the data path; call it inside a running event loop."""
    raise NotImplementedError
