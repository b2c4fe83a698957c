"""Waits for the tokens that an instance leases from the coordinator."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import typing

from knapweedhall_router import clock
from knapweedhall_routing import quotas

Send = typing.Callable[[list[quotas.Ask]], None]

# How often a request waits for a token. The token of the first wait may have
# expired during a standstill of the process.
MAX_WAITS = 2
# Delay of a timer from which the process counts as having stood still, and
# the time that answers which have arrived meanwhile then get.
STANDSTILL_S = 0.05


class TokenLeases:
    """Tokens of this instance and the requests that wait for them.

    Attributes
    ----------
    leases : quotas.Leases
        Decides on each request.
    waiting : dict of int to asyncio.Future
        Waiting requests by their number.
    send : callable or None
        Sends a message to the coordinator; None without one.
    alone : asyncio.Event
        Set while there is no coordinator after there was one.
    deputies : dict of str to str
        Member IDs of the deputies that the coordinator named, by failure
        domain.
    close_deputy : callable or None
        Closes the connection to a deputy; None without one.
    timer : asyncio.TimerHandle or None
        Next time to ask.
    asked, admitted : int
        Messages to the coordinator, and requests that got a token.
    refused : dict of str to int
        Requests that got none, by workspace.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self.leases = quotas.Leases(name, rng)
        self.waiting: dict[int, asyncio.Future[typing.Any]] = {}
        self.send: Send | None = None
        self.alone = asyncio.Event()
        self.deputies: dict[str, str] = {}
        self.close_deputy: typing.Callable[[], None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.asked = 0
        self.admitted = 0
        self.refused: dict[str, int] = {}
        self._numbers = itertools.count(1)

    def connect(self, send: Send) -> None:
        """Ask a coordinator that was found, and whom `send` reaches."""
        self.send = send
        self.alone.clear()
        if self.close_deputy is not None:
            # The coordinator pools the share from now on.
            self.close_deputy()
            self.close_deputy = None
        self.leases.connect(clock.now())
        self._schedule()

    def disconnect(self, heard_at: float) -> None:
        """Use the own share; the coordinator was last heard at a time."""
        if self.alone.is_set() or not self.leases.connected:
            return
        self.send = None
        self.leases.disconnect(clock.now(), heard_at)
        self.alone.set()

    def join_deputy(
        self, send: Send, close: typing.Callable[[], None]
    ) -> None:
        """Ask a deputy of the coordinator.

        Parameters
        ----------
        send, close : callable
            Sends a message to it, and closes the connection.
        """
        self.send, self.close_deputy = send, close
        self.leases.join_deputy()
        self._schedule()

    def leave_deputy(self) -> None:
        """Use the own share again, unless there is a coordinator."""
        self.close_deputy = None
        if self.alone.is_set():
            self.send = None
            self.leases.leave_deputy(clock.now())

    def receive(self, grants: typing.Iterable[quotas.Grant]) -> None:
        """Pass an answer of the coordinator on to the requests."""
        for number, result in self.leases.receive(grants, clock.now()):
            waiter = self.waiting.get(number)
            if waiter is not None and not waiter.done():
                waiter.set_result(result)
        self._schedule()

    async def acquire(
        self, workspace: str, max_wait_s: float
    ) -> quotas.Token | quotas.Denial | None:
        """Return the token for a request when it is due.

        Parameters
        ----------
        workspace : str
            Name of the workspace; '' for none.
        max_wait_s : float
            Longest time to wait, seconds.

        Returns
        -------
        quotas.Token or quotas.Denial or None
            None if the workspace has no quota.
        """
        if not self.leases.is_limited(workspace):
            return None
        result: quotas.Token | quotas.Denial
        for _ in range(MAX_WAITS):
            result = await self._wait_for_token(workspace, max_wait_s)
            if isinstance(result, quotas.Denial):
                break
            if await self._wait_until_due(workspace, result):
                self.admitted += 1
                return result
            result = quotas.Denial('quota-unknown', quotas.UNKNOWN_RETRY_S)
        self.refused[workspace] = self.refused.get(workspace, 0) + 1
        return result

    def give_back(self, workspace: str, token: quotas.Token) -> None:
        """Return the token of a request that was not sent."""
        self.admitted -= 1
        self.leases.give_back(workspace, token, clock.now())

    async def _wait_for_token(
        self, workspace: str, max_wait_s: float
    ) -> quotas.Token | quotas.Denial:
        number, now = next(self._numbers), clock.now()
        until = now + max_wait_s
        result = self.leases.request(workspace, number, now, until)
        if result is not None:
            return result
        waiter = asyncio.get_running_loop().create_future()
        self.waiting[number] = waiter
        self._schedule()
        try:
            await asyncio.wait((waiter,), timeout=max_wait_s)
            if not waiter.done() and clock.now() - until > STANDSTILL_S:
                await asyncio.wait((waiter,), timeout=STANDSTILL_S)
        except asyncio.CancelledError:
            if waiter.done() and isinstance(waiter.result(), quotas.Token):
                self.leases.give_back(workspace, waiter.result(), clock.now())
            else:
                self.leases.give_up(workspace, number, clock.now())
            raise
        finally:
            del self.waiting[number]
        if waiter.done():
            found: quotas.Token | quotas.Denial = waiter.result()
            return found
        return self.leases.give_up(workspace, number, clock.now())

    async def _wait_until_due(
        self, workspace: str, token: quotas.Token
    ) -> bool:
        """Return whether a token is still valid once it is due."""
        wait_s = token.due_at - clock.now()
        if wait_s > 0:
            try:
                await asyncio.sleep(wait_s)
            except asyncio.CancelledError:
                self.leases.give_back(workspace, token, clock.now())
                raise
        return clock.now() < token.expires_at

    def _schedule(self) -> None:
        """Ask when the next request needs it."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        ask_at = self.leases.ask_at()
        if ask_at < math.inf:
            # At the end of this step of the loop, so that requests that
            # arrived together share a message.
            delay_s = max(0.0, ask_at - clock.now())
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(delay_s, self._ask)

    def _ask(self) -> None:
        self.timer = None
        asks = self.leases.ask(clock.now())
        if asks and self.send is not None:
            self.asked += 1
            self.send(asks)
        else:
            self._schedule()
