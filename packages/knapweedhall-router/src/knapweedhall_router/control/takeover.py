"""Waits until earlier coordinators have stopped renewing grants."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from knapweedhall_adapter import errors
from knapweedhall_router import clock
from knapweedhall_router.links import messages
from knapweedhall_router import logs
from knapweedhall_routing import holdings
from knapweedhall_routing import model
from knapweedhall_routing import quorum

REQUEST_TIMEOUT_S = 0.5
REQUEST_RETRY_S = 0.3
# Period of the check for a majority. The keys of unreachable upstreams are
# not reassigned until it succeeds.
MAJORITY_CHECK_PERIOD_S = 0.1


ConnectedAt = typing.Callable[[], typing.Mapping[str, float]]


class Predecessor(msgspec.Struct, frozen=True):
    """An earlier coordinator that may still renew grants.

    Attributes
    ----------
    address : str
        Address at which it listens for other instances, as `host:port`.
    fleet : list of str
        Instances in its stored record; it needs a majority of them for
        offline renewals.
    """

    address: str
    fleet: list[str]


class TermRecord(msgspec.Struct):
    """Record of a coordinator's term in the store.

    Attributes
    ----------
    instance : str
        Name of the coordinating instance.
    address : str
        Address at which it listens for other instances, as `host:port`.
    fleet : list of str
        Instances that are connected to it.
    predecessors : list of Predecessor
        Earlier coordinators that may still renew grants.
    epoch : int
        Number of the term; -1 if the writer did not state it.
    era : int or None
        Era of the store in which it was written; None if the writer did not
        know eras.
    tables_from : int
        Position from which on the stored assignments are true; earlier ones
        are of a copy of the store and may be older than what was in force.
    lost : list of str
        Instances that are not connected, and may use their own shares of the
        quotas of workspaces.
    """

    instance: str
    address: str
    fleet: list[str]
    predecessors: list[Predecessor]
    epoch: int = -1
    era: int | None = None
    tables_from: int = 0
    lost: list[str] = []


def predecessors(
    record: TermRecord | None, own_address: str
) -> list[Predecessor]:
    """Return the coordinators that may still renew grants.

    An earlier process at `own_address` has ended, since two processes can't
    listen there. Of two terms of one process, the first has ended.

    Parameters
    ----------
    record : TermRecord or None
        Stored record of the previous term.
    own_address : str
        Address of the new coordinator, as `host:port`.
    """
    if record is None:
        return []
    all_terms = [
        *record.predecessors,
        Predecessor(record.address, record.fleet),
    ]
    last_by_address = {
        term.address: term for term in all_terms if term.address != own_address
    }
    return list(last_by_address.values())


async def request_step_down(
    address: str, request: messages.Takeover
) -> messages.SteppedDown | None:
    """Request a coordinator to step down.

    Returns
    -------
    messages.SteppedDown or None
        Its confirmation; None if it did not confirm.
    """
    try:
        host, port = model.parse_address(address)
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(messages.encode(request))
                response = await messages.read(reader)
            finally:
                writer.transport.abort()
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        logs.info(
            'predecessor_silent', address=address, reason=type(error).__name__
        )
        return None
    except errors.DecodeError as error:
        logs.warning('predecessor_odd', address=address, reason=str(error))
        return None
    if not isinstance(response, messages.SteppedDown):
        return None
    return response if response.epoch == request.epoch else None


async def end_predecessors(
    earlier: list[Predecessor],
    request: messages.Takeover,
    connected_at: ConnectedAt,
) -> None:
    """Wait until no earlier coordinator renews grants any more.

    A coordinator that does not confirm stops by itself: when a majority of
    its instances is connected to this one, or at the end of its offline
    renewals.

    Parameters
    ----------
    earlier : list of Predecessor
        The earlier coordinators.
    request : messages.Takeover
        Request to step down that is sent to them.
    connected_at : callable
        Returns when each connected instance connected to this one, seconds.
    """
    give_up_at = clock.now() + holdings.MAX_OFFLINE_RENEWAL_S
    ends = await asyncio.gather(
        *(
            _wait_for_end(predecessor, request, connected_at, give_up_at)
            for predecessor in earlier
        )
    )
    by_address = [
        (predecessor.address, end) for predecessor, end in zip(earlier, ends)
    ]
    logs.info(
        'predecessors_ended',
        epoch=request.epoch,
        unanswered=[
            address for address, end in by_address if end != 'answered'
        ],
        expired=[address for address, end in by_address if end == 'expired'],
    )


async def _wait_for_end(
    predecessor: Predecessor,
    request: messages.Takeover,
    connected_at: ConnectedAt,
    give_up_at: float,
) -> typing.Literal['answered', 'left', 'expired']:
    """Wait for the end of a predecessor's renewals and return its cause."""
    # A predecessor without a majority is contacted too: it then redirects
    # instances to the new coordinator.
    if await request_step_down(predecessor.address, request):
        return 'answered'
    requesting = asyncio.create_task(
        _request_until_confirmed(predecessor.address, request)
    )
    try:
        while clock.now() < give_up_at:
            if quorum.has_lost_majority(
                predecessor.fleet, connected_at(), clock.now()
            ):
                return 'left'
            await asyncio.wait([requesting], timeout=MAJORITY_CHECK_PERIOD_S)
            if requesting.done():
                return 'answered'
        return 'expired'
    finally:
        requesting.cancel()


async def _request_until_confirmed(
    address: str, request: messages.Takeover
) -> None:
    confirmed = None
    while confirmed is None:
        await asyncio.sleep(REQUEST_RETRY_S)
        confirmed = await request_step_down(address, request)
