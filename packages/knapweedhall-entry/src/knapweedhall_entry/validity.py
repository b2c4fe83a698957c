"""Ranges of the values in messages, beyond their types.

A message of a faulty instance must neither stop a task nor extend a permit.
"""

from __future__ import annotations

import functools
import typing

from knapweedhall_entry import messages as own_messages
from knapweedhall_ownership import election
from knapweedhall_ownership import messages

# Far above any demand or rate; excludes infinity, and the comparison is
# false for values that are no numbers.
MAX_VALUE = 1e9


def in_range(values: typing.Iterable[float]) -> bool:
    """Return whether all values are finite and not negative."""
    return all(0 <= value <= MAX_VALUE for value in values)


@functools.singledispatch
def fault(body: object) -> str:
    """Return what is wrong with a body, '' if nothing is."""
    return ''


@fault.register
def _fault_of_request(body: messages.PermitRequest) -> str:
    if not in_range(body.demand.values()):
        return 'demand out of range'
    rates = (rate for found in body.hottest.values() for _, rate in found)
    return '' if in_range(rates) else 'rate out of range'


@fault.register
def _fault_of_offer(body: messages.PermitOffer) -> str:
    if not 0 <= body.lease_ms <= election.LEASE_MS:
        return f'lease of {body.lease_ms} ms'
    shares = (part for share in body.shares.values() for part in share)
    return '' if in_range(shares) else 'share out of range'


@fault.register
def _fault_of_records(body: own_messages.ConfigRecords) -> str:
    if 0 <= body.chunk < body.chunks and body.offset >= 0:
        return ''
    return f'chunk {body.chunk} of {body.chunks}'
