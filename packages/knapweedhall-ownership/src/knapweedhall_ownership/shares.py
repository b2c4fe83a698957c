"""Division of an upstream's limits over the instances."""

from __future__ import annotations

import typing

from knapweedhall_ownership import messages
from knapweedhall_records import ids

MAX_INSTANCES = 4


def choose_instances(
    upstream: str,
    instances: typing.Iterable[ids.InstanceId],
    count: int = MAX_INSTANCES,
) -> list[ids.InstanceId]:
    """Return the instances that send to an upstream, by rendezvous hashing.

    `instances` are those of the upstream's failure domain.
    """
    raise NotImplementedError


def divide(limit: int, demand: typing.Sequence[float]) -> list[int]:
    """Divide a limit in proportion to the demand, the sum being the limit.

    Every member gets at least 1 if the limit allows.
    """
    raise NotImplementedError


class ShareBook:
    """Shares of all upstreams of a group within one term.

    The sum of the shares in all permits that may still be in use never
    exceeds an upstream's limit.
    """

    def set_limit(self, upstream: str, limit: messages.Share) -> None:
        """Set what all instances together may use of an upstream."""
        raise NotImplementedError

    def set_instances(
        self, upstream: str, instances: typing.Iterable[ids.InstanceId]
    ) -> None:
        """Set the live instances of an upstream's failure domain."""
        raise NotImplementedError

    def set_demand(
        self, instance: ids.InstanceId, demand: typing.Mapping[str, float]
    ) -> None:
        """Note the demand of an instance per upstream."""
        raise NotImplementedError

    def offer(
        self, now: float, instance: ids.InstanceId, end: float
    ) -> tuple[int, dict[str, messages.Share]]:
        """Return the version and shares of a permit that ends at `end`."""
        raise NotImplementedError

    def acknowledge(self, instance: ids.InstanceId, version: int) -> None:
        """Note that an instance holds a version; older ones end."""
        raise NotImplementedError
