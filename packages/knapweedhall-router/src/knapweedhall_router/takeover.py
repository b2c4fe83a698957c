"""Ends the tenures that came before a coordinator's own."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_router import messages
from knapweedhall_routing import holdings
from knapweedhall_routing import quorum

ASK_TIMEOUT_S = 0.5
ASK_AGAIN_S = 0.3
# Period of the check for a majority; the keys of unreachable upstreams wait.
POLL_S = 0.1


ConnectedAt = typing.Callable[[], typing.Mapping[str, float]]


class Predecessor(msgspec.Struct, frozen=True):
    """An earlier coordinator that may still renew grants.

    Attributes
    ----------
    address : str
        Where that process listened for peers.
    fleet : list of str
        Instances whose majority it needs to renew without the store.
    """

    address: str
    fleet: list[str]


class TermRecord(msgspec.Struct):
    """Record of a tenure in the store.

    Attributes
    ----------
    instance, address : str
        Who coordinates, and where that process listens for peers.
    fleet : list of str
        Instances that are connected to it.
    predecessors : list of Predecessor
        Earlier coordinators that may still renew grants.
    """

    instance: str
    address: str
    fleet: list[str]
    predecessors: list[Predecessor]


def predecessors(found: TermRecord | None, own: str) -> list[Predecessor]:
    """Return who may still renew grants when a new tenure begins.

    An earlier process at the own address has ended, as two processes can't
    listen there; of two tenures of one process the first has ended.
    """
    if found is None:
        return []
    named = [*found.predecessors, Predecessor(found.address, found.fleet)]
    last = {one.address: one for one in named if one.address != own}
    return list(last.values())


async def ask(address: str, order: messages.Takeover) -> bool:
    """Ask once for the end of earlier tenures; return whether it is sure."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(messages.encode(order))
                answer = await messages.read(reader)
            finally:
                writer.transport.abort()
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        logs.info(
            'predecessor_silent', address=address, reason=type(error).__name__
        )
        return False
    except msgspec.MsgspecError as error:
        logs.warning('predecessor_odd', address=address, reason=str(error))
        return False
    return (
        isinstance(answer, messages.SteppedDown)
        and answer.epoch == order.epoch
    )


async def end_predecessors(
    found: list[Predecessor],
    order: messages.Takeover,
    connected_at: ConnectedAt,
) -> None:
    """Return when no earlier coordinator renews grants any more.

    One that does not answer stops by itself: when a majority of its instances
    is connected to this one, or when its blind renewals end.

    Parameters
    ----------
    found : list of Predecessor
        The earlier coordinators.
    order : messages.Takeover
        What they are told.
    connected_at : callable
        Returns since when instances are connected to this one, seconds.
    """
    give_up_at = clock.now() + holdings.MAX_OFFLINE_RENEWAL_S
    ends = await asyncio.gather(
        *(_end(one, order, connected_at, give_up_at) for one in found)
    )
    named = [(one.address, end) for one, end in zip(found, ends)]
    logs.info(
        'predecessors_ended',
        epoch=order.epoch,
        unanswered=[address for address, end in named if end != 'answered'],
        expired=[address for address, end in named if end == 'expired'],
    )


async def _end(
    one: Predecessor,
    order: messages.Takeover,
    connected_at: ConnectedAt,
    give_up_at: float,
) -> typing.Literal['answered', 'left', 'expired']:
    """Return how a predecessor is known to have ended."""
    # Even one that lost its majority has to learn of its successor.
    if await ask(one.address, order):
        return 'answered'
    asking = asyncio.create_task(_ask_until_sure(one.address, order))
    try:
        while clock.now() < give_up_at:
            if quorum.has_lost_majority(
                one.fleet, connected_at(), clock.now()
            ):
                return 'left'
            await asyncio.wait([asking], timeout=POLL_S)
            if asking.done():
                return 'answered'
        return 'expired'
    finally:
        asking.cancel()


async def _ask_until_sure(address: str, order: messages.Takeover) -> None:
    sure = False
    while not sure:
        await asyncio.sleep(ASK_AGAIN_S)
        sure = await ask(address, order)
