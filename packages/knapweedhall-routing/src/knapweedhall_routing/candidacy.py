"""Which instances stand by to become the coordinator."""

from __future__ import annotations

import hashlib
import typing

# Number of instances that stand by. Enough that a failure domain, or 60 in 100
# instances, rarely contain all of them; the others become candidates when
# they lose the coordinator.
CANDIDATE_COUNT = 6
# Number of instances up to which all stand by. When the instances of a small
# fleet are restarted in turn, six candidates meet the restarts more often.
SMALL_FLEET = 60


def candidates(members: typing.Iterable[str]) -> list[str]:
    """Return the members that stand by to become the coordinator.

    It answers hundreds of instances that would each call the store once a
    second: all instances that know the same members choose the same few,
    without messages, and a member that joins or leaves changes at most one of
    them.

    Parameters
    ----------
    members : iterable of str
        Member IDs of all instances.
    """
    members = list(members)
    if len(members) <= SMALL_FLEET:
        return members
    ranked = sorted(
        members,
        key=lambda member: hashlib.blake2b(
            member.encode(), digest_size=8
        ).digest(),
    )
    return ranked[:CANDIDATE_COUNT]
