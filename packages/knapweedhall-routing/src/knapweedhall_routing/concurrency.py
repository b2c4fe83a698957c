"""Learns how many requests each upstream handles well at once.

It answers upstreams of different and changing speed, of which some slow down
long before all their slots are in use. The coordinator merges the reports of
all instances here and decides what the instances are told.
"""

from __future__ import annotations

import math
import statistics
import typing

from knapweedhall_routing import conditions
from knapweedhall_routing import load as load_module
from knapweedhall_routing import model

# Period of the estimates of one upstream. It receives about six requests a
# second, so that an estimate sees a few more responses than the last one.
ESTIMATE_PERIOD_S = 1.0
# How far one estimate moves a limit down, and up, as a share of the slots.
# Service times of one upstream vary by half, so that an estimate may be wrong;
# an upstream that recovers gets its slots back within some seconds.
MAX_STEP_DOWN = 0.08
MAX_STEP_UP = 0.12
# Time constant with which service times lose their weight; upstreams change
# their speed for some seconds at a time.
FORGET_S = 20.0
# Least limit as a share of the slots, if that is more than 1. The measured
# load differs from the actual one by about one request, so that service times
# at a low load are too uncertain.
MIN_LIMIT_SHARE = 1 / 3
# Number of levels of load that are distinguished.
MAX_LEVELS = 8
# Weight of the responses that a level of load needs to be compared.
MIN_SAMPLES = 8.0
# Elasticity of the latency over the load up to which more load is worth it. At
# one half, the load divided by the squared latency (Kleinrock's power) is
# highest.
ELASTICITY = 0.5
# Growth of the service time in excess of that up to which a level is not too
# high, and standard deviation of service times as a share of their mean: it is
# also exceeded by the standard error of the two means that are compared.
GROWTH_TOLERANCE = 1.08
SERVICE_DEVIATION = 0.5
# Period in which an upstream that is always at its limit gets a lower one for
# up to `PROBE_S`, as it would never be measured at a lower load otherwise. It
# loses one level for a third of the time at most; a probe ends earlier if the
# load falls.
PROBE_PERIOD_S = 12.0
PROBE_S = 4.0
# Weight of one response in the current service time: the last five count.
TIME_SMOOTHING = 0.2
# Weight of one report in the stated slowdown, and in its mean.
SLOWDOWN_SMOOTHING = 0.3
MEAN_SLOWDOWN_SMOOTHING = 0.02
# Period in which the load is kept, that of the reports, and the number of
# periods; no request of usual services runs for longer.
LOAD_PERIOD_S = 0.3
MAX_LOADS = 10
# Time constant of the throughput of an upstream all of whose slots are in use.
THROUGHPUT_S = 1.0
# Number of responses as which the earlier service time counts when all slots
# are in use.
EARLIER_RESPONSES = 5.0
# Ratio of the last service times to earlier ones at the same load, up or down,
# from which the upstream counts as changed: its earlier service times say
# nothing about the load that it takes now. Means of the last five differ by
# less from each other.
CHANGED_FACTOR = 2.5
# Age from which the load of a report is replaced by the next one instead of
# being averaged with it.
LOAD_AGE_S = 0.6
# Time after which an instance that does not use an upstream any more is not
# counted; one of 72 instances sends to an upstream about every ten seconds.
USERS_PERIOD_S = 5.0
# Age from which an overdue request that is not reported again is ignored.
OVERDUE_AGE_S = 0.7
# An upstream is near its limit from this share of it on.
NEAR_SHARE = 0.75
# An upstream is slow if its service time is this multiple of the median of its
# service; those of equal upstreams differ by less.
SLOW_FACTOR = 1.5
# Time for which instances are told of an upstream that is not near its limit
# any more. Without limits, its next burst would be sent to it at once.
NOTABLE_S = 4.0
# Age from which the load of an upstream that does not respond is not known.
STALE_S = 5.0
# Time between two responses of one upstream to one instance from which the
# instances are told of conditions. What it learned itself says nothing after
# that (`health.Health.load`); in smaller fleets it is newer than what the
# coordinator can send, and instances that act on the same knowledge choose the
# same upstreams.
SHARED_FROM_S = 2.0
# Time constant of the rate of responses, and time for which it has to be
# measured in a term.
RESPONSE_RATE_S = 5.0
MIN_RATE_S = 1.0
# Bounds of what reports may state; a damaged one must not spoil the means.
MAX_SERVICE_S = 60.0
MAX_COUNT = 10000
MAX_SLOWDOWN = 100.0


class Upstream:
    """What all instances together measured of one upstream.

    Attributes
    ----------
    born_ms : int
        Its incarnation.
    slots : int
        Requests that it can run at once.
    limit : float
        Requests that it handles well at once, from 1 to `slots`.
    load : float
        Requests that it runs or queues.
    loaded_at : float
        When the load was last stated, seconds.
    responded_at : float
        When the last response was reported, seconds.
    service_s : float
        Current service time, seconds; 0 if it is not known.
    responses : int
        Number of responses that were reported since `measured_at`.
    measured_at : float
        When the throughput was last measured, seconds; inf before.
    loads : list of float
        The load at the last measurements, oldest first.
    busy_s, ended : float
        Decayed sums of the time for which slots were in use, seconds, and of
        the responses in it, while all slots are in use; 0 otherwise.
    full_at : float
        When the upstream last stated that all slots are in use, seconds.
    change : float
        Ratio of the last service times to earlier ones at the same load.
    slowdown, mean_slowdown : float
        Stated slowdown, now and on average.
    overdue_s, overdue_at : float
        Age of its oldest request without a response, and when that was
        reported, seconds.
    weights, sums : list of float, one item for each level
        Number of responses and sum of their service times by level of load;
        old ones decay.
    learned_at : float
        When the limit was last estimated, seconds.
    probe_at, probe_until : float
        When the next probe of a lower limit may begin, and when the current
        one ends, seconds.
    probed : int
        Level of load that is probed.
    users, former_users : int
        Bit sets of the instances that got a response from it in this and in
        the last period of `USERS_PERIOD_S`.
    users_since : float
        Begin of this period, seconds.
    notable_until : float
        Until when instances are told of it, as it is near its limit or slower
        than its peers, seconds.
    """

    def __init__(self, born_ms: int, slots: int, now: float) -> None:
        self.born_ms = born_ms
        self.slots = max(1, slots)
        self.limit = float(self.slots)
        self.load = 0.0
        self.loaded_at = -math.inf
        self.responded_at = -math.inf
        self.service_s = 0.0
        self.responses = 0
        self.measured_at = math.inf
        self.loads = [0.0]
        self.busy_s = 0.0
        self.ended = 0.0
        self.full_at = -math.inf
        self.change = 1.0
        self.slowdown = 1.0
        self.mean_slowdown = 1.0
        self.overdue_s = 0.0
        self.overdue_at = -math.inf
        self.weights: list[float] = []
        self.sums: list[float] = []
        self._forget_levels()
        self.learned_at = now
        self.probe_at = now + PROBE_S
        self.probe_until = -math.inf
        self.probed = 0
        self.users = 0
        self.former_users = 0
        self.users_since = now
        self.notable_until = -math.inf

    def _forget_levels(self) -> None:
        self.change = 1.0
        count = min(self.slots, MAX_LEVELS)
        self.weights = [0.0] * count
        self.sums = [0.0] * count

    def add(
        self,
        sample: load_module.Sample,
        user: int,
        is_recent: bool,
        now: float,
    ) -> None:
        """Add what an instance measured.

        Parameters
        ----------
        sample : load.Sample
            What the upstream stated.
        user : int
            Bit of the instance.
        is_recent : bool
            Whether it contains what was part of earlier reports.
        now : float
            When the report came, seconds.
        """
        if now - self.users_since >= USERS_PERIOD_S:
            self.users_since = now
            self.former_users, self.users = self.users, 0
        self.users |= user
        if sample.slots != self.slots:
            self.slots = sample.slots
            self.limit = min(self.limit, float(self.slots))
            self._forget_levels()
        is_current = now - self.loaded_at <= LOAD_AGE_S
        self.load += (0.5 if is_current else 1.0) * (sample.load - self.load)
        self.loaded_at = now
        slowdown = sample.slowdown_percent / 100
        if 0 < slowdown <= MAX_SLOWDOWN:
            self.slowdown += SLOWDOWN_SMOOTHING * (slowdown - self.slowdown)
            self.mean_slowdown += MEAN_SLOWDOWN_SMOOTHING * (
                slowdown - self.mean_slowdown
            )
        service_s = sample.service_ms / 1000
        if not sample.responses or not 0 < service_s < MAX_SERVICE_S:
            return
        self.responded_at = now
        if not is_recent:
            self.responses += sample.responses
        if not self.service_s:
            self.service_s = service_s
        if sample.load >= self.slots:
            self.full_at = now
        if now - service_s <= self.full_at:
            # It may have waited for a slot, for an unknown time.
            return
        weight = 1 - (1 - TIME_SMOOTHING) ** min(sample.responses, 20)
        self.service_s += weight * (service_s - self.service_s)

    def _measure(self, now: float) -> None:
        """Measure the service time at the current load.

        It is the number of running requests divided by the throughput
        (Little's law). The latency of a request contains an unknown time in
        the queue, and shows a change only when the requests before it have
        ended.
        """
        elapsed_s = now - self.measured_at
        if elapsed_s <= 0 or now - self.loaded_at > STALE_S:
            # Nobody knows how long the first responses took to come.
            self.busy_s = self.ended = 0.0
            self.responses, self.measured_at = 0, now
            self.loads = [self.load]
            return
        is_full = self.load >= self.slots
        if not self.responses and not is_full:
            # The load is not known before the next response.
            return
        responses, self.responses = self.responses, 0
        self.measured_at = now
        running = min((self.loads[-1] + self.load) / 2, self.slots)
        self.loads = [*self.loads[1 - MAX_LOADS :], self.load]
        busy_s = min(elapsed_s, STALE_S) * running
        # The load changes while a request runs.
        periods = 1 + int(self.service_s / LOAD_PERIOD_S)
        level = self._level(statistics.fmean(self.loads[-periods:]))
        expected_s = self._mean_s(level)
        if expected_s and responses:
            weight = 1 - (1 - TIME_SMOOTHING) ** min(responses, 20)
            self.change += weight * (
                busy_s / responses / expected_s - self.change
            )
        self.weights[level] += responses
        self.sums[level] += busy_s
        if not is_full:
            self.busy_s = self.ended = 0.0
            return
        if not self.busy_s and self.service_s:
            self.ended = EARLIER_RESPONSES
            self.busy_s = self.ended * self.service_s
        keep = math.exp(-elapsed_s / THROUGHPUT_S)
        self.busy_s = self.busy_s * keep + busy_s
        self.ended = self.ended * keep + responses
        if self.ended:
            self.service_s = min(self.busy_s / self.ended, MAX_SERVICE_S)

    def _level(self, running: float) -> int:
        """Return the level of a number of running requests."""
        share = min(running, self.slots) / self.slots
        return max(0, math.ceil(share * len(self.weights)) - 1)

    def _mean_s(self, level: int) -> float:
        """Return the mean service time at a level; 0 if it is not known.

        An idle upstream states a load of 0 with each response.
        """
        if self.weights[level] < MIN_SAMPLES:
            return 0.0
        return self.sums[level] / self.weights[level]

    def current_service_s(self, now: float) -> float:
        """Return the service time of a request that is sent now, seconds.

        Responses tell of an upstream that became slower when the slow ones
        end, its stated slowdown and the requests that wait for it earlier.
        """
        service_s = self.service_s
        if service_s and now - self.loaded_at <= LOAD_AGE_S:
            service_s *= max(1.0, self.slowdown / self.mean_slowdown)
        if now - self.overdue_at <= OVERDUE_AGE_S:
            queued = max(0.0, self.load - self.slots)
            overdue_s = self.overdue_s / (1 + queued / self.slots)
            # One request that waits beside others that are answered shows a
            # fault of its connection.
            service_s = max(service_s, min(overdue_s, now - self.responded_at))
        return service_s

    def learn(self, now: float) -> None:
        """Estimate the limit if the last estimate is old enough."""
        self._measure(now)
        elapsed_s = now - self.learned_at
        if elapsed_s < ESTIMATE_PERIOD_S:
            return
        self.learned_at = now
        if not 1 / CHANGED_FACTOR <= self.change <= CHANGED_FACTOR:
            self._forget_levels()
        target = min(self._target(), self._probe(now))
        step = min(elapsed_s, 2 * ESTIMATE_PERIOD_S) / ESTIMATE_PERIOD_S
        lowest = self.limit - step * MAX_STEP_DOWN * self.slots
        highest = self.limit + step * MAX_STEP_UP * self.slots
        moved = min(max(target, lowest), highest)
        self.limit = min(max(1.0, moved), float(self.slots))
        keep = math.exp(-elapsed_s / FORGET_S)
        self.weights = [weight * keep for weight in self.weights]
        self.sums = [total * keep for total in self.sums]

    def _target(self) -> float:
        """Return the highest load whose latency is in proportion to it.

        A level without enough responses is tried.
        """
        width = self.slots / len(self.weights)
        lowest = max(1.0, MIN_LIMIT_SHARE * self.slots)
        best: tuple[float, float] | None = None
        for level, weight in enumerate(self.weights):
            mean_s = self._mean_s(level)
            if not mean_s or (level + 1) * width < lowest:
                continue
            # The service time in relation to the one that the load is worth.
            cost_s = mean_s / ((level + 1) * width) ** ELASTICITY
            if best is None:
                best = cost_s, weight
                continue
            error = SERVICE_DEVIATION * math.sqrt(1 / weight + 1 / best[1])
            if cost_s > best[0] * (GROWTH_TOLERANCE + error):
                return max(lowest, level * width)
            if cost_s < best[0]:
                best = cost_s, weight
        return float(self.slots)

    def _probe(self, now: float) -> float:
        """Return a lower limit if the load below the limit is not measured.

        If the last one was worth it, the next one begins at once.
        """
        count = len(self.weights)
        is_measured = self.weights[self.probed] >= MIN_SAMPLES
        if now < self.probe_until and not is_measured:
            return max(1.0, (self.probed + 1) * self.slots / count)
        self.probe_until = -math.inf
        level = self._level(self.limit)
        if (
            level * self.slots < max(1.0, MIN_LIMIT_SHARE * self.slots) * count
            or 2 * self.load < self.limit
            or self.weights[level] < MIN_SAMPLES
            or self.weights[level - 1] >= MIN_SAMPLES
        ):
            return math.inf
        if now >= self.probe_at or self.limit < self.slots:
            self.probe_at = now + PROBE_PERIOD_S
            self.probe_until = now + PROBE_S
            self.probed = level - 1
        return math.inf

    def condition(self, now: float) -> conditions.Condition:
        """Return what instances are told."""
        return conditions.Condition(
            self.limit,
            self.load,
            self.current_service_s(now),
            (self.users | self.former_users).bit_count(),
            self.responded_at,
        )

    def drain_per_s(self) -> float:
        """Return the requests per second that it serves at its limit."""
        return self.limit / self.service_s if self.service_s else 0.0


class Limits:
    """Limits of all upstreams, as the instances report them in a term.

    Attributes
    ----------
    upstreams : dict of str to Upstream
        Measurements by upstream.
    listed : dict of str to model.Upstream
        The upstreams that exist, by name.
    initial : dict of str to float
        Limits that this instance knows from the term before, by upstream.
    bits : dict of str to int
        Bit of each instance in the sets of users.
    responses, counted_s : float
        Decaying number of responses of all upstreams, and the time in which
        they were counted, seconds.
    counted_at : float
        When they last decayed, seconds; inf before.
    """

    def __init__(
        self, initial: typing.Mapping[str, float] | None = None
    ) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.listed: typing.Mapping[str, model.Upstream] = {}
        self.initial = dict(initial or {})
        self.bits: dict[str, int] = {}
        self.responses = self.counted_s = 0.0
        self.counted_at = math.inf

    def add_report(
        self,
        instance: str,
        samples: load_module.Samples,
        overdue: typing.Mapping[str, float],
        is_recent: bool,
        now: float,
    ) -> None:
        """Add the measurements of an instance.

        Parameters
        ----------
        instance : str
            Its name.
        samples : dict of str to load.Sample
            What upstreams stated since its last report, by name.
        overdue : mapping of str to float
            Age of the oldest request of upstreams that respond late, by name,
            seconds.
        is_recent : bool
            Whether `samples` are those of the last seconds, which may have
            been part of earlier reports.
        now : float
            When the report came, seconds.
        """
        bit = self.bits.setdefault(instance, 1 << len(self.bits))
        for name, sample in samples.items():
            if (
                0 < sample.slots <= MAX_COUNT
                and 0 <= sample.load <= MAX_COUNT
                and 0 <= sample.responses <= MAX_COUNT
            ):
                known = self._find(name, sample.slots, now)
                if known is not None:
                    known.add(sample, bit, is_recent, now)
                    if not is_recent:
                        self.responses += sample.responses
        for name, age_s in overdue.items():
            known = self.upstreams.get(name)
            if known is None or not 0 < age_s < MAX_SERVICE_S:
                continue
            # About the longest of what the instances report now.
            keep = math.exp((known.overdue_at - now) / OVERDUE_AGE_S)
            known.overdue_s = max(age_s, known.overdue_s * keep)
            known.overdue_at = now

    def _find(self, name: str, slots: int, now: float) -> Upstream | None:
        known = self.upstreams.get(name)
        if known is None:
            entry = self.listed.get(name)
            if entry is None:
                return None
            known = self.upstreams[name] = Upstream(entry.born_ms, slots, now)
            known.limit = min(known.limit, self.initial.pop(name, math.inf))
            known.limit = max(1.0, known.limit)
        return known

    def list_upstreams(
        self, listed: typing.Mapping[str, model.Upstream]
    ) -> None:
        """Forget upstreams that ended or were restarted under their name."""
        self.listed = listed
        for name, known in list(self.upstreams.items()):
            entry = listed.get(name)
            if entry is None or entry.born_ms != known.born_ms:
                del self.upstreams[name]
                self.initial.pop(name, None)

    def is_shared(self, instances: int) -> bool:
        """Return whether instances know less of upstreams than all together.

        Parameters
        ----------
        instances : int
            Number of connected instances.
        """
        if self.counted_s < MIN_RATE_S:
            return False
        pairs = instances * len(self.upstreams)
        return pairs * self.counted_s > SHARED_FROM_S * self.responses

    def learn(self, now: float) -> None:
        """Estimate the limits, and which upstreams instances are told of."""
        elapsed_s = max(0.0, now - self.counted_at)
        self.counted_at = now
        keep = math.exp(-elapsed_s / RESPONSE_RATE_S)
        self.responses *= keep
        self.counted_s = self.counted_s * keep + elapsed_s
        times: dict[str, list[float]] = {}
        for name, known in self.upstreams.items():
            known.learn(now)
            if known.service_s and name in self.listed:
                service = self.listed[name].service
                times.setdefault(service, []).append(known.service_s)
        medians = {
            service: statistics.median(by_upstream)
            for service, by_upstream in times.items()
        }
        for name, known in self.upstreams.items():
            entry = self.listed.get(name)
            median_s = medians.get(entry.service, 0.0) if entry else 0.0
            if _is_near_or_slow(known, median_s, now):
                known.notable_until = now + NOTABLE_S


def _is_near_or_slow(known: Upstream, median_s: float, now: float) -> bool:
    """Return whether an upstream is near its limit or slower than others."""
    if now - known.overdue_at <= OVERDUE_AGE_S:
        return True
    if now - known.loaded_at > STALE_S:
        return False
    return (
        known.load >= NEAR_SHARE * known.limit
        or known.current_service_s(now) > SLOW_FACTOR * median_s > 0
    )
