"""Whether a coordinator without the store may go on renewing grants.

If the store is down for all instances, no other instance can become
coordinator, and renewals keep the keys served. If only the coordinator can't
reach the store, another instance becomes coordinator and has to wait until
the renewals have ended. The reports of a majority of the instances tell the
two cases apart, since each instance is connected to one coordinator at a time.
"""

from __future__ import annotations

import typing

# Maximum age of a report that shows that an instance is still connected;
# reports and heartbeats are sent every 0.3 s.
MAX_REPORT_AGE_S = 1.0
# Time since the last call answered by the store after which an instance counts
# as being without the store. After the coordinator's lease has expired, the
# instances call the store every 0.25 s, and its slow answers take 0.3 s.
STORE_UNRESPONSIVE_S = 0.7


class Report(typing.NamedTuple):
    """Last report of a connected instance.

    Attributes
    ----------
    as_of : float
        When the heartbeat was sent that the report answers, seconds of the
        coordinator's clock. It shows the age of a report that a network
        partition delayed.
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
    known = [reports[name] for name in fleet if name in reports]
    failing = [
        report
        for report in known
        if now - report.as_of <= MAX_REPORT_AGE_S
        and report.store_answer_age_s >= STORE_UNRESPONSIVE_S
    ]
    return _is_majority(len(failing), fleet)


def has_lost_majority(
    fleet: typing.Collection[str],
    connected_at: typing.Mapping[str, float],
    now: float,
) -> bool:
    """Return whether an earlier coordinator has lost its majority.

    Parameters
    ----------
    fleet : collection of str
        Instances of which the earlier coordinator needs a majority.
    connected_at : dict of str to float
        When instances connected to the current coordinator, seconds.
    now : float
        Current time, seconds.
    """
    lost = [
        name
        for name in fleet
        if now - connected_at.get(name, now) > MAX_REPORT_AGE_S
    ]
    # A coordinator without a recorded fleet never had a majority.
    return not fleet or _is_majority(len(lost), fleet)
