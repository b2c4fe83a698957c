"""Ends the tenures that came before a coordinator's own."""

from __future__ import annotations

import asyncio

import msgspec

from knapweedhall_router import clock
from knapweedhall_router import logs
from knapweedhall_router import messages
from knapweedhall_routing import holdings

ASK_TIMEOUT_S = 0.5
ASK_AGAIN_S = 0.3


class Tenure(msgspec.Struct):
    """Record of a tenure in the store.

    Attributes
    ----------
    instance, address : str
        Who coordinates, and where that process listens for peers.
    predecessors : list of str
        Where earlier coordinators listened that may still renew grants.
    """

    instance: str
    address: str
    predecessors: list[str]


def predecessors(found: Tenure | None, own: str) -> list[str]:
    """Return who may still renew grants when a new tenure begins.

    An earlier process at the own address has ended, as two processes can't
    listen there.
    """
    if found is None:
        return []
    named = [*found.predecessors, found.address]
    return [one for one in dict.fromkeys(named) if one != own]


async def ask(address: str, epoch: int) -> bool:
    """Ask once for the end of earlier tenures; return whether it is sure."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(messages.encode(messages.Takeover(epoch)))
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
    return isinstance(answer, messages.Yielded) and answer.epoch == epoch


async def end_all(addresses: list[str], epoch: int) -> None:
    """Return when no earlier coordinator renews grants any more.

    One that does not answer stops by itself when its blind renewals end.
    """
    give_up_at = clock.now() + holdings.BLIND_RENEWAL_S
    waiting = list(addresses)
    while waiting and clock.now() < give_up_at:
        answers = await asyncio.gather(*(ask(one, epoch) for one in waiting))
        waiting = [one for one, sure in zip(waiting, answers) if not sure]
        if waiting:
            await asyncio.sleep(ASK_AGAIN_S)
    logs.info('predecessors_ended', epoch=epoch, unanswered=waiting)
