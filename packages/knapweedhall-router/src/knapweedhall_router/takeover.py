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


class Tenure(msgspec.Struct):
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


def predecessors(found: Tenure | None, own: str) -> list[Predecessor]:
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
    return isinstance(answer, messages.Yielded) and answer.epoch == order.epoch


async def end_all(
    found: list[Predecessor],
    order: messages.Takeover,
    connected_at: typing.Callable[[], typing.Mapping[str, float]],
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
    give_up_at = clock.now() + holdings.BLIND_RENEWAL_S
    waiting = list(found)
    unanswered: list[str] = []
    while waiting and clock.now() < give_up_at:
        answers = await asyncio.gather(
            *(ask(one.address, order) for one in waiting)
        )
        waiting = [one for one, sure in zip(waiting, answers) if not sure]
        unanswered = [one.address for one in waiting]
        now, connected = clock.now(), connected_at()
        waiting = [
            one
            for one in waiting
            if not quorum.has_left(one.fleet, connected, now)
        ]
        if waiting:
            await asyncio.sleep(ASK_AGAIN_S)
    logs.info(
        'predecessors_ended',
        epoch=order.epoch,
        unanswered=unanswered,
        expired=[one.address for one in waiting],
    )
