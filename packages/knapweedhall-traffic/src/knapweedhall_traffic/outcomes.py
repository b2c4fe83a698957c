"""Outcomes of requests, and when a request may be sent again."""

from __future__ import annotations

import typing

from knapweedhall_traffic import headers

ANSWERED = 'answered'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'

STATUS_NOT_RUN = 503
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
REFUSAL_STATUS = frozenset((409, 503))
# One first attempt and two retries; more add load when it hurts most.
MAX_ATTEMPTS = 3

# Refusals that another attempt can only change after the slice table has.
WAITS_FOR_TABLE = frozenset(('stale-token', 'draining'))
# Refusals by another instance or an upstream that the next permit or grant
# ends. This instance may not notice, so it asks again after a delay.
WAITS_FOR_PERMIT = frozenset(('no-permit', 'no-grant'))
# Delays between the repeats in seconds; together longer than the 2 s within
# which a lost coordinator is replaced.
PERMIT_DELAYS_S = (0.05, 0.1, 0.2, 0.4, 0.4, 0.4, 0.4, 0.4)
# Refusals that say the upstream bears less than it was sent.
SHEDDING = frozenset(('shed', 'cold'))


class Failure(typing.NamedTuple):
    """An attempt without an answer.

    Attributes
    ----------
    outcome : str
        `NOT_RUN` or `UNKNOWN`.
    status : int
        Status that the caller gets.
    reason : str
        Word for the `Knapweedhall-Reason` header.
    """

    outcome: str
    status: int
    reason: str


def not_run(reason: str, status: int = STATUS_NOT_RUN) -> Failure:
    """Return a failure whose request did not run."""
    return Failure(NOT_RUN, status, reason)


def broken(handed_over: bool, reason: str, late: bool = False) -> Failure:
    """Return the failure of a broken exchange.

    Parameters
    ----------
    handed_over : bool
        Whether any byte of the request was handed to a transport. A reset
        on a reused connection is no proof that the peer ignored it.
    reason : str
        Word for the header.
    late : bool
        Whether the deadline ended the exchange.
    """
    if not handed_over:
        return not_run(reason)
    status = STATUS_TIMEOUT if late else STATUS_BAD_GATEWAY
    return Failure(UNKNOWN, status, reason)


def upstream_refusal(status: int, found: headers.Index) -> Failure | None:
    """Return the refusal that an upstream's answer states, or None."""
    if status not in REFUSAL_STATUS:
        return None
    if found.first.get(headers.NOT_RUN) != b'1':
        return None
    reason = found.first.get(headers.REASON, b'upstream-refused')
    return not_run(_word(reason))


def instance_refusal(status: int, found: headers.Index) -> Failure | None:
    """Return the failure that another instance's answer states, or None.

    An answer without an outcome does not come from an instance, so its
    outcome is unknown.
    """
    outcome = found.first.get(headers.OUTCOME, b'')
    if outcome == ANSWERED.encode():
        return None
    reason = _word(found.first.get(headers.REASON, b'forward'))
    if outcome == NOT_RUN.encode():
        return not_run(reason, status)
    if status not in (STATUS_BAD_GATEWAY, STATUS_TIMEOUT):
        status = STATUS_BAD_GATEWAY
    return Failure(UNKNOWN, status, reason)


def _word(value: bytes) -> str:
    text = value[:64].decode('ascii', 'replace')
    return ''.join(
        letter for letter in text if letter.isalnum() or letter in '-_ '
    )


def combine(earlier: Failure | None, last: Failure) -> Failure:
    """Return the failure to report after several attempts.

    If an earlier attempt may have run, a later refusal does not change
    that.
    """
    if earlier is not None and last.outcome == NOT_RUN:
        return earlier
    return last


def may_repeat(
    failure: Failure, idempotent: bool, replayable: bool, attempts: int
) -> bool:
    """Return whether the rules allow another attempt.

    Parameters
    ----------
    failure : Failure
        How the last attempt ended.
    idempotent : bool
        Whether the service's record allows the method to run twice.
    replayable : bool
        Whether the whole request body is still at hand.
    attempts : int
        Attempts made so far.
    """
    if not replayable or attempts >= MAX_ATTEMPTS:
        return False
    if failure.outcome == NOT_RUN:
        return failure.status == STATUS_NOT_RUN
    return idempotent
