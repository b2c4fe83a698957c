"""Calls to the store and the coordinator that several commands use."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import typing

from knapweedhall_adapter import errors
from knapweedhall_adapter import outcomes
from knapweedhall_adapter import store
from knapweedhall_router.links import coordinator_link
from knapweedhall_router.links import messages
from knapweedhall_routing import model

DEFAULT_STORE = '127.0.0.1:7000'
DEFAULT_TIMEOUT_S = 10.0
# Time limit of one call; slow responses of the platform take 0.3 s.
CALL_TIMEOUT_S = 2.0


class Unanswered(Exception):
    """A call to the store or the coordinator failed; the message says why."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of a command that calls the store."""
    parser.add_argument(
        '--store',
        default=DEFAULT_STORE,
        metavar='ADDRESS',
        help='IP:PORT of the platform\'s store',
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar='SECONDS',
        help='how long to retry if the platform does not answer',
    )


def call_deadline() -> float:
    """Return the deadline of a call that starts now.

    It is in seconds of the event loop's clock.
    """
    return asyncio.get_running_loop().time() + CALL_TIMEOUT_S


@contextlib.asynccontextmanager
async def connect(
    arguments: argparse.Namespace,
) -> typing.AsyncIterator[store.StoreClient]:
    """Return a client of the store that the arguments name."""
    async with store.open_session() as session:
        yield store.StoreClient(session, arguments.store)


async def read_newest(client: store.StoreClient, topic: str) -> outcomes.Page:
    """Return the newest record of each key of a topic.

    Raises
    ------
    Unanswered
        If the store does not answer.
    """
    page = await client.read_newest(topic, call_deadline())
    if isinstance(page, outcomes.Page):
        return page
    reason = getattr(page, 'reason', 'the history was deleted')
    raise Unanswered(f'reading from the store failed: {reason}')


async def query_overview(client: store.StoreClient) -> messages.Overview:
    """Return the coordinator's view of all instances and services.

    Raises
    ------
    Unanswered
        If the store does not answer or names no coordinator, or if the query
        to the coordinator fails.
    """
    member = await client.find_holder(
        coordinator_link.COORDINATOR_GROUP,
        coordinator_link.TERM_TOPIC,
        call_deadline(),
    )
    if isinstance(member, outcomes.Unavailable):
        raise Unanswered(f'reading from the store failed: {member.reason}')
    address = coordinator_link.member_address(member)
    if address is None:
        raise Unanswered('the store names no coordinator')
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await _request_overview(address)
    except (OSError, EOFError, TimeoutError, errors.DecodeError) as error:
        raise Unanswered(
            f'the query to {member} failed: {type(error).__name__}'
        ) from error


async def _request_overview(address: model.Address) -> messages.Overview:
    response = await _ask(address, messages.OverviewRequest())
    if not isinstance(response, messages.Overview):
        raise ConnectionError('the peer is not the coordinator')
    return response


async def query_explanation(
    address: model.Address, request: messages.ExplainRequest
) -> messages.Explanation:
    """Return where a request would go from an instance.

    Raises
    ------
    Unanswered
        If the instance does not answer.
    """
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            response = await _ask(address, request)
    except (OSError, EOFError, TimeoutError, errors.DecodeError) as error:
        raise Unanswered(
            f'the query to {address} failed: {type(error).__name__}'
        ) from error
    if not isinstance(response, messages.Explanation):
        raise Unanswered(f'{address} is not the port for other instances')
    return response


async def _ask(
    address: model.Address, request: messages.Message
) -> messages.Message:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(messages.encode(request))
        return await messages.read(reader)
    finally:
        writer.transport.abort()
