"""What an instance knows of upstreams from all instances together.

It answers many instances that each send a few requests to many upstreams: one
instance sees the load of an upstream about once in ten seconds, all together
see it several times a second.
"""

from __future__ import annotations

import collections
import math
import sys
import typing

from knapweedhall_routing import health as health_module

# Time without a message from the coordinator after which shared knowledge is
# not used. The coordinator sends it every 0.3 s.
MAX_AGE_S = 2.0
# Time for which limits are a better start of a term than the slots: the
# service times that they were learned from decay with 20 s.
LIMITS_AGE_S = 30.0
# Share of the limit up to which requests are sent without a pace. Above it,
# the rate of all instances falls to the drain rate at the limit, and further
# above the limit; it is never 0, as there would be no new measurements.
FREE_SHARE = 0.5
# Number of requests beyond the pace that an instance may send at once, as
# requests arrive irregularly.
BURST = 1
# Time after which a request that was sent is part of the load that the
# coordinator knows: a period of reports, one of heartbeats, and a response in
# between. An unchanged load is not sent again.
VISIBLE_AFTER_S = 0.9


class Condition(typing.NamedTuple):
    """Load and limit of one upstream over all instances.

    Attributes
    ----------
    limit : float
        Requests that it takes well at once, learned from its latency.
    load : float
        Requests that it runs or queues.
    service_s : float
        Time to process a request once it has a slot, seconds.
    users : int
        Number of instances that send it requests.
    at : float
        When this was measured, seconds.
    """

    limit: float
    load: float
    service_s: float
    users: int
    at: float


class Conditions:
    """Conditions of the upstreams that are near their limit.

    Upstreams that the coordinator did not name are neither near their limit
    nor slower than their peers.

    Attributes
    ----------
    healths : mapping of str to health.Health
        Own measurements of this instance, by upstream.
    known : dict of str to Condition
        Newest conditions by upstream.
    heard_at : float
        When the coordinator last confirmed them, seconds.
    sent_at : dict of str to collections.deque of float
        When this instance sent requests to an upstream in `known` that may
        not be part of its load there, oldest first, seconds.
    tokens : dict of str to tuple of float and float
        Requests that this instance could send to an upstream in `known` after
        it sent the last one, and when that was, seconds.
    """

    def __init__(
        self,
        healths: typing.Mapping[str, health_module.Health] | None = None,
    ) -> None:
        self.healths = {} if healths is None else healths
        self.known: dict[str, Condition] = {}
        self.heard_at = -math.inf
        self.sent_at: dict[str, collections.deque[float]] = {}
        self.tokens: dict[str, tuple[float, float]] = {}

    def update(
        self,
        changed: typing.Mapping[str, Condition | None],
        is_full: bool,
        now: float,
    ) -> None:
        """Apply a message of the coordinator.

        Parameters
        ----------
        changed : mapping of str to Condition or None
            Conditions by upstream; None for an upstream that is not near its
            limit any more.
        is_full : bool
            Whether it names all upstreams that are near their limit.
        now : float
            When the message came, seconds.
        """
        self.heard_at = now
        if is_full:
            self.known.clear()
        for upstream, condition in changed.items():
            if condition is None:
                self.known.pop(upstream, None)
                continue
            self.known[upstream] = condition
            if upstream in self.sent_at:
                _drop_until(self.sent_at[upstream], condition.at)
        for by_upstream in (self.sent_at, self.tokens):
            for upstream in by_upstream.keys() - self.known.keys():
                del by_upstream[upstream]

    def record_sent(self, upstream: str, now: float) -> None:
        """Record that this instance sent a request."""
        if upstream in self.known:
            sent_at = self.sent_at.setdefault(upstream, collections.deque())
            _drop_until(sent_at, now - VISIBLE_AFTER_S)
            sent_at.append(now)
            self.tokens[upstream] = self._tokens_left(upstream, now) - 1, now

    def limits(self, now: float) -> dict[str, float]:
        """Return the limits that a term of this instance begins with."""
        if now - self.heard_at > LIMITS_AGE_S:
            return {}
        return {name: known.limit for name, known in self.known.items()}

    def find(self, upstream: str, now: float) -> Condition | None:
        """Return what is known of an upstream; None if it is outdated."""
        if now - self.heard_at > MAX_AGE_S:
            return None
        return self.known.get(upstream)

    def share(self, upstream: str, now: float) -> int:
        """Return how many requests this instance may have outstanding.

        It is at least 1, and `sys.maxsize` for an upstream that is not near
        its limit.
        """
        condition = self.find(upstream, now)
        if condition is None:
            return sys.maxsize
        return max(1, int(condition.limit / max(1, condition.users)))

    def earliest_at(self, upstream: str, now: float) -> float:
        """Return when the next request may be sent, seconds.

        All instances together send as many requests as the upstream
        completes at its limit, more if it has room, and fewer if it is above
        its limit.
        """
        missing = 1 - self._tokens_left(upstream, now)
        if missing <= 0:
            return now
        return now + missing * self._pace_s(upstream, now)

    def _tokens_left(self, upstream: str, now: float) -> float:
        """Return how many requests may be sent now, at the current pace."""
        if upstream not in self.tokens:
            return 1.0 + BURST
        tokens, filled_at = self.tokens[upstream]
        pace_s = self._pace_s(upstream, now)
        if not pace_s:
            return 1.0 + BURST
        return min(1.0 + BURST, tokens + (now - filled_at) / pace_s)

    def _pace_s(self, upstream: str, now: float) -> float:
        """Return the time between two requests of this instance, seconds."""
        condition = self.find(upstream, now)
        if condition is None:
            return 0.0
        load = self._load(upstream, condition, now) / condition.limit
        pace_s = max(1, condition.users) / _drain_per_s(condition)
        return max(0.0, pace_s * (load - FREE_SHARE) / (1 - FREE_SHARE))

    def expected_latency_s(self, upstream: str, now: float) -> float:
        """Return the expected time until a response, seconds.

        The load is the newest of own and shared measurements. The service
        time is the shared one, as the last ten responses to one of many
        instances took a minute. It is 0 if there are none.
        """
        condition = self.find(upstream, now)
        own = self.healths.get(upstream)
        if condition is None or not condition.service_s:
            return 0.0 if own is None else own.expected_latency_s(now)
        load = self._load(upstream, condition, now)
        slots = max(1, int(condition.limit))
        if own is not None:
            slots = own.slots
            if own.reported_at > condition.at:
                load = own.load(now)
        queued = max(0.0, load + 1 - slots)
        return condition.service_s * (1 + queued / slots)

    def is_silent(self, upstream: str, now: float) -> bool:
        """Return whether the upstream has sent no response for too long.

        An upstream that responds to other instances is not silent.
        """
        own = self.healths.get(upstream)
        if own is None or not own.is_silent(now):
            return False
        condition = self.find(upstream, now)
        return condition is None or own.is_silent(now, condition.at)

    def room(self, upstream: str, now: float) -> float:
        """Return how many more requests all instances may send together.

        It is negative above the limit, and inf for an upstream that is not
        near its limit.
        """
        condition = self.find(upstream, now)
        if condition is None:
            return math.inf
        return condition.limit - self._load(upstream, condition, now)

    def drain_per_s(self, upstream: str, now: float) -> float:
        """Return the requests per second that an upstream completes at most.

        It is inf for an upstream that is not near its limit.
        """
        condition = self.find(upstream, now)
        return math.inf if condition is None else _drain_per_s(condition)

    def _load(self, upstream: str, condition: Condition, now: float) -> float:
        """Return the load, with requests sent since it was measured."""
        sent_at = self.sent_at.get(upstream)
        if not sent_at:
            return condition.load
        _drop_until(sent_at, now - VISIBLE_AFTER_S)
        return condition.load + len(sent_at)


def _drop_until(times: collections.deque[float], until: float) -> None:
    while times and times[0] <= until:
        times.popleft()


def _drain_per_s(condition: Condition) -> float:
    return condition.limit / max(0.001, condition.service_s)
