"""Whether a coordinator that lost the store goes on renewing grants.

While the store is down for everybody nobody can take over, and renewals keep
keys served. While it turns only the coordinator away, another one takes over
and has to wait for the end of the renewals. A majority of the instances tells
the two apart: each is connected to one coordinator at a time.
"""

from __future__ import annotations

import typing

# Age up to which a report shows that an instance is still connected; reports
# and heartbeats come each 0.3 s.
MAX_REPORT_AGE_S = 1.0
# Time since the last call of the store that was answered after which an
# instance takes part in an outage. While the coordinator is blind instances
# call it each 0.25 s, and its slow answers take 0.3 s.
STORE_SILENCE_S = 0.7


class Report(typing.NamedTuple):
    """What a connected instance said last.

    Attributes
    ----------
    as_of : float
        When the heartbeat was sent that the report answers, seconds of the
        coordinator's clock. A report that a partition held back is old by it.
    store_answer_age_s : float
        Time since the instance sent the last call that the store answered,
        seconds.
    """

    as_of: float
    store_answer_age_s: float


def _is_majority(count: int, fleet: typing.Collection[str]) -> bool:
    return count > len(fleet) // 2


def is_general_outage(
    fleet: typing.Collection[str],
    reports: typing.Mapping[str, Report],
    now: float,
) -> bool:
    """Return whether a majority is connected and without the store."""
    found = [reports[name] for name in fleet if name in reports]
    failing = [
        one
        for one in found
        if now - one.as_of <= MAX_REPORT_AGE_S
        and one.store_answer_age_s >= STORE_SILENCE_S
    ]
    return _is_majority(len(failing), fleet)


def has_lost_majority(
    fleet: typing.Collection[str],
    connected_at: typing.Mapping[str, float],
    now: float,
) -> bool:
    """Return whether a former coordinator has lost its majority.

    Parameters
    ----------
    fleet : collection of str
        Instances whose majority the former coordinator needs.
    connected_at : dict of str to float
        When instances connected to the present one, seconds.
    now : float
        Present time, seconds.
    """
    gone = [
        name
        for name in fleet
        if now - connected_at.get(name, now) > MAX_REPORT_AGE_S
    ]
    # Without a recorded fleet it never had one.
    return not fleet or _is_majority(len(gone), fleet)
