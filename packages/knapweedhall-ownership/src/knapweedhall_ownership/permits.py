"""Send permits on the side of the instance that uses them."""

from __future__ import annotations

import collections
import typing

from knapweedhall_ownership import messages
from knapweedhall_ownership import shares
from knapweedhall_ownership import slices
from knapweedhall_records import ids

# Requests whose offers are still taken when answers are slow.
KEPT_REQUESTS = 8


class Route(typing.NamedTuple):
    """Where a request goes.

    Attributes
    ----------
    slice : int
        Slice number.
    upstream : str
        Owner of the slice.
    token : ids.Token
        Token of the activation.
    deadline : float
        End of the permit on this instance's clock in seconds.
    """

    slice: int
    upstream: str
    token: ids.Token
    deadline: float


class NoRoute(typing.NamedTuple):
    """Why a request is not sent: no-permit, no-owner, unknown-service."""

    reason: str


class _Owner(typing.NamedTuple):
    upstream: str
    sequence: int


class _Rules(typing.NamedTuple):
    slices: int
    checks_tokens: bool
    max_work_s: float


Activation = tuple[str, int, ids.Token]


class PermitTable:
    """Send permit of one group.

    Parameters
    ----------
    group : str
        Lease group.
    """

    def __init__(self, group: str) -> None:
        self.group = group
        self.services: dict[str, _Rules] = {}
        self.number = 0
        self.sent: dict[int, float] = {}
        self.outstanding: dict[Activation, list[float]] = (
            collections.defaultdict(list)
        )
        self._reset(0)

    def _reset(self, term: int) -> None:
        self.term = term
        self.version = 0
        self.shares_version = 0
        self.deadline = 0.0
        self.shares: dict[str, messages.Share] = {}
        self.owners: dict[str, dict[int, _Owner]] = {}
        self.hot_keys: dict[str, dict[str, int]] = {}
        self.unsettled: list[tuple[int, Activation]] = []

    def set_service(
        self,
        service_name: str,
        count: int,
        checks_tokens: bool,
        max_work_ms: int = 0,
    ) -> None:
        """Take the number of slices and the rules of a service."""
        self.services[service_name] = _Rules(
            count, checks_tokens, max_work_ms / 1000
        )

    def request(
        self,
        now: float,
        demand: dict[str, float],
        hottest: dict[str, list[tuple[str, float]]],
    ) -> messages.PermitRequest:
        """Return the next numbered request, which is sent at `now`."""
        self.number += 1
        self.sent[self.number] = now
        self.sent.pop(self.number - KEPT_REQUESTS, None)
        return messages.PermitRequest(
            self.group,
            self.number,
            self.term,
            self.settled_version(now),
            self.shares_version,
            demand,
            hottest,
        )

    def settled_version(self, now: float) -> int:
        """Return the newest version that may be acknowledged.

        A request that was written under an older version to an upstream
        that checks no tokens can still take effect there, so the version
        that withdrew the upstream waits for its answer or its deadline. An
        offer does not say which version withdrew it, so the one held before
        the offer is acknowledged meanwhile.
        """
        self.unsettled = [
            (version, activation)
            for version, activation in self.unsettled
            if any(end > now for end in self.outstanding.get(activation, ()))
        ]
        return min(
            (version for version, _ in self.unsettled), default=self.version
        )

    def take(self, now: float, offer: messages.PermitOffer) -> bool:
        """Take an offer; return whether the next request is due at once.

        That is when the table has changed, as a move waits for the
        acknowledgement.
        """
        if not self.acceptable(offer):
            return False
        if offer.term > self.term:
            self._reset(offer.term)
        changed = offer.table_version > self.version
        for entry in offer.entries:
            self._apply(entry)
        self.version = offer.table_version
        self.shares_version = offer.shares_version
        self.shares = offer.shares
        # An offer without a lease only brings a part of a long table.
        if offer.lease_ms:
            self.deadline = self.sent[offer.number] + offer.lease_ms / 1000
        return changed

    def acceptable(self, offer: messages.PermitOffer) -> bool:
        """Return whether an offer answers this run and is the newest."""
        if offer.group != self.group or offer.number not in self.sent:
            return False
        if offer.term > self.term:
            return offer.base_version == 0
        # Each offer of a term has a higher shares version than the last, so
        # an offer that was overtaken in transit is recognized by it.
        return (
            offer.term == self.term
            and offer.shares_version > self.shares_version
            and offer.base_version <= self.version <= offer.table_version
        )

    def _apply(self, entry: messages.TableEntry) -> None:
        owners = self.owners.setdefault(entry.service, {})
        hot = self.hot_keys.setdefault(entry.service, {})
        before = owners.get(entry.slice)
        after = _Owner(entry.upstream, entry.sequence)
        if before and before != after:
            self._note_withdrawn(entry.service, entry.slice, before)
        if entry.removed:
            hot.pop(entry.key, None)
            owners.pop(entry.slice, None)
            return
        if entry.key:
            hot[entry.key] = entry.slice
        owners[entry.slice] = after

    def _note_withdrawn(
        self, service: str, number: int, owner: _Owner
    ) -> None:
        activation = service, number, ids.Token(self.term, owner.sequence)
        rules = self.services.get(service)
        if self.outstanding.get(activation) and not (
            rules and rules.checks_tokens
        ):
            self.unsettled.append((self.version, activation))

    def route(
        self, now: float, service_name: str, key: str
    ) -> Route | NoRoute:
        """Return the owner of a key."""
        if now >= self.deadline:
            return NoRoute('no-permit')
        rules = self.services.get(service_name)
        if rules is None:
            return NoRoute('unknown-service')
        number = self.hot_keys.get(service_name, {}).get(key)
        if number is None:
            number = slices.slice_of(key, rules.slices)
        owner = self.owners.get(service_name, {}).get(number)
        if owner is None or not owner.upstream:
            return NoRoute('no-owner')
        token = ids.Token(self.term, owner.sequence)
        return Route(number, owner.upstream, token, self.deadline)

    def still_valid(self, now: float, service_name: str, route: Route) -> bool:
        """Return whether a route may be used, checked before the write."""
        owner = self.owners.get(service_name, {}).get(route.slice)
        return (
            now < self.deadline
            and route.token == (self.term, owner.sequence if owner else 0)
            and owner is not None
            and owner.upstream == route.upstream
        )

    def request_deadline(
        self, service_name: str, caller_deadline: float
    ) -> float:
        """Return the deadline that a request to an upstream carries.

        Where tokens are not checked the next activation waits for
        `max_work_ms` after the permits' end, so no work may last longer.
        """
        rules = self.services[service_name]
        if rules.checks_tokens:
            return caller_deadline
        return min(caller_deadline, self.deadline + rules.max_work_s)

    def begin(self, service_name: str, route: Route, deadline: float) -> None:
        """Note a request that is about to be written.

        `deadline` is the one that it carries; the upstream refuses to start
        the work after it.
        """
        activation = service_name, route.slice, route.token
        self.outstanding[activation].append(deadline)

    def finish(self, service_name: str, route: Route, deadline: float) -> None:
        """Note that a request was answered completely.

        A request without a complete answer is not finished: its work may
        still run, until its deadline. Call `forget` after that.
        """
        activation = service_name, route.slice, route.token
        ends = self.outstanding.get(activation, [])
        if deadline in ends:
            ends.remove(deadline)
        if not ends:
            self.outstanding.pop(activation, None)

    def forget(self, now: float) -> None:
        """Drop requests without an answer whose deadlines have passed."""
        for activation, ends in list(self.outstanding.items()):
            live = [end for end in ends if end > now]
            self.outstanding[activation] = live
            if not live:
                del self.outstanding[activation]

    def share(self, now: float, upstream: str) -> messages.Share:
        """Return this instance's share of an upstream, zero without one."""
        if now >= self.deadline:
            return shares.NO_SHARE
        return self.shares.get(upstream, shares.NO_SHARE)
