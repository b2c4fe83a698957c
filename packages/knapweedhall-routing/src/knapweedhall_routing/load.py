"""Load of the services: what instances measure, and their sum.

A coordinator sums what the instances report. Each instance also keeps what it
measured in the last seconds and sends it to the next coordinator, whose term
may be shorter than the time that a new measurement takes.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import typing

from knapweedhall_routing import model
from knapweedhall_routing import rates

# Time for which an instance keeps its counts; all earlier requests make 5% of
# a slow rate.
RECENT_S = 3 * rates.SLOW_TIME_CONSTANT_S
# Longest time over which requests are counted together.
PERIOD_S = 0.3
# Maximum number of buckets in the recent counts that are sent, about 4 KB: 195
# instances need 0.3 s of a link of 20 Mbit/s for them.
MAX_RECENT_BUCKETS = 1000
# Share of the instances whose recent counts show the load of a service.
MIN_INFORMED_SHARE = 0.5
# Time after the first report at which the load counts as known in any case,
# as the reports of the term show it then.
MAX_WAIT_S = rates.SLOW_TIME_CONSTANT_S

# Requests by service and bucket.
Counts = dict[str, dict[int, int]]
# Number of responses and mean service time in seconds, by upstream.
Times = dict[str, tuple[int, float]]


class Sample(typing.NamedTuple):
    """What the responses of an upstream to one instance stated in a period.

    It consists of integers, as it is sent in each report.

    Attributes
    ----------
    responses : int
        Number of responses to requests that ran; 0 if the load was stated
        with refusals only.
    service_ms : int
        Mean time to process one of them once it had a slot, milliseconds.
    load : int
        Mean of the requests that the upstream ran or queued.
    slots : int
        Number of requests that it can run at once.
    slowdown_percent : int
        Mean of the slowdown that it stated, percent of its baseline.
    """

    responses: int
    service_ms: int
    load: int
    slots: int
    slowdown_percent: int


# Samples by upstream.
Samples = dict[str, Sample]
# Time since the begin of a period, seconds, and the requests counted in it.
RecentCounts = list[tuple[float, Counts]]


@dataclasses.dataclass
class _Period:
    """What an instance measured in a short time.

    Attributes
    ----------
    began_at : float
        Begin of the period, seconds.
    counts : dict of str to dict of int to int
        Requests by service and bucket.
    times : dict of str to list of float
        Number and sum of service times in seconds, by upstream.
    stated : dict of str to list of float
        Number of responses, sum of their service times in seconds, number of
        statements of the load, sums of the loads and of the slowdowns, and
        the slots, by upstream.
    is_reported : bool
        Whether it was part of a report.
    """

    began_at: float
    counts: Counts = dataclasses.field(default_factory=dict)
    times: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    stated: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    is_reported: bool = False

    def size(self) -> int:
        """Return the number of buckets with requests."""
        return sum(len(by_bucket) for by_bucket in self.counts.values())


class Measurements:
    """Requests, service times and loads that one instance measured lately.

    Attributes
    ----------
    periods : collections.deque of _Period
        The last periods with measurements, oldest first. A report ends the
        last one.
    """

    def __init__(self) -> None:
        self.periods: collections.deque[_Period] = collections.deque()

    def add_request(self, service: str, key: int, now: float) -> None:
        """Count a request."""
        counts = self._period(now).counts.setdefault(service, {})
        bucket = rates.bucket_of(key)
        counts[bucket] = counts.get(bucket, 0) + 1

    def add_service_time(
        self, upstream: str, service_s: float, now: float
    ) -> None:
        """Add the service time of a response, seconds."""
        sums = self._period(now).times.setdefault(upstream, [0, 0.0])
        sums[0] += 1
        sums[1] += service_s

    def add_load(
        self,
        upstream: str,
        report: model.LoadReport,
        service_s: float | None,
        now: float,
    ) -> None:
        """Add the load that an upstream stated.

        Parameters
        ----------
        upstream : str
            Its name.
        report : model.LoadReport
            What it stated.
        service_s : float or None
            Service time of the request, seconds; None if it was refused.
        now : float
            Current time, seconds.
        """
        sums = self._period(now).stated.setdefault(upstream, _no_statement())
        if service_s is not None:
            sums[0] += 1
            sums[1] += service_s
        sums[2] += 1
        sums[3] += report.running + report.waiting
        sums[4] += report.slowdown
        sums[5] = report.slots

    def take(self, now: float) -> tuple[Counts, Times, Samples]:
        """Return what was measured since the last report."""
        self._drop_old(now)
        taken = [each for each in self.periods if not each.is_reported]
        for period in taken:
            period.is_reported = True
        counts: Counts = {}
        for period in taken:
            for service, by_bucket in period.counts.items():
                total = counts.setdefault(service, {})
                for bucket, count in by_bucket.items():
                    total[bucket] = total.get(bucket, 0) + count
        return counts, _means(taken), _samples(taken)

    def take_recent(self, now: float) -> tuple[RecentCounts, Times, Samples]:
        """Return all recent measurements, for a coordinator that has none.

        If there are too many counts, the oldest ones are left out. Those of
        the last period are as many as in any other report.
        """
        self._drop_old(now)
        recent: RecentCounts = []
        buckets = 0
        for period in reversed(self.periods):
            period.is_reported = True
            buckets += period.size()
            if period.counts and (not recent or buckets <= MAX_RECENT_BUCKETS):
                age_s = round(now - period.began_at, 3)
                recent.append((age_s, period.counts))
        return recent, _means(self.periods), _samples(self.periods)

    def _period(self, now: float) -> _Period:
        """Return the current period."""
        if self.periods:
            last = self.periods[-1]
            if not last.is_reported and now - last.began_at < PERIOD_S:
                return last
        self._drop_old(now)
        self.periods.append(_Period(now))
        return self.periods[-1]

    def _drop_old(self, now: float) -> None:
        while self.periods and now - self.periods[0].began_at > RECENT_S:
            self.periods.popleft()


def _means(periods: typing.Iterable[_Period]) -> Times:
    """Return the mean service times of some periods."""
    sums: dict[str, list[float]] = {}
    for period in periods:
        for upstream, (count, total) in period.times.items():
            known = sums.setdefault(upstream, [0, 0.0])
            known[0] += count
            known[1] += total
    return {
        upstream: (int(count), total / count)
        for upstream, (count, total) in sums.items()
    }


def _samples(periods: typing.Iterable[_Period]) -> Samples:
    """Return what the upstreams stated in some periods."""
    sums: dict[str, list[float]] = {}
    for period in periods:
        for upstream, stated in period.stated.items():
            known = sums.setdefault(upstream, _no_statement())
            for index in range(5):
                known[index] += stated[index]
            known[5] = stated[5]
    return {
        upstream: Sample(
            int(responses),
            round(1000 * service_s / responses) if responses else 0,
            round(load / statements),
            int(slots),
            round(100 * slowdown / statements),
        )
        for upstream, (
            responses,
            service_s,
            statements,
            load,
            slowdown,
            slots,
        ) in sums.items()
    }


def _no_statement() -> list[float]:
    return [0, 0.0, 0, 0, 0.0, 0]


class Load:
    """Load of all divided services, as the instances report it in a term.

    Attributes
    ----------
    instances : int
        Number of instances that the former coordinator announced; 1 if none
        is known.
    begun_at : float
        Begin of the term, seconds.
    key_rates : dict of str to rates.KeyRates
        Request rates by key, by service.
    service_times : rates.ServiceTimes
        Service times of the upstreams.
    reported_at : dict of str to float
        When the last report of each instance came, seconds.
    informed : set of str
        Instances that have sent their recent counts.
    known_by : float
        When the load counts as known in any case, seconds.
    """

    def __init__(self, instances: int, now: float) -> None:
        self.instances = instances
        self.begun_at = now
        self.key_rates: dict[str, rates.KeyRates] = {}
        self.service_times = rates.ServiceTimes()
        self.reported_at: dict[str, float] = {}
        self.informed: set[str] = set()
        self.known_by = math.inf

    def rates_of(self, service: str) -> rates.KeyRates:
        """Return the request rates of a service."""
        known = self.key_rates.get(service)
        if known is None:
            known = rates.KeyRates(self.begun_at)
            self.key_rates[service] = known
        return known

    def is_known(self, now: float) -> bool:
        """Return whether keys may be rebalanced by the load.

        Too low rates look like those of an idle service, whose keys are
        distributed evenly. That undoes an assignment by load.
        """
        if now >= self.known_by:
            return True
        # An instance that knows no other one has not been connected yet.
        return (
            self.instances > 1
            and len(self.informed) >= MIN_INFORMED_SHARE * self.instances
        )

    def add_report(
        self,
        instance: str,
        counts: Counts,
        times: Times,
        recent: RecentCounts | None,
        now: float,
    ) -> None:
        """Add the measurements in a report.

        Parameters
        ----------
        instance : str
            Name of the instance.
        counts : dict of str to dict of int to int
            Requests since its last report, by service and bucket.
        times : dict of str to tuple of int and float
            Number of responses and mean service time in seconds, by upstream.
        recent : list of tuple of float and dict, or None
            Counts of the last seconds, with the time since the begin of their
            period; None if the report has none.
        now : float
            When the report came, seconds.
        """
        self.known_by = min(self.known_by, now + MAX_WAIT_S)
        for service, by_bucket in counts.items():
            self.rates_of(service).add(by_bucket)
        for upstream, (count, service_s) in times.items():
            self.service_times.add(upstream, count, service_s)
        if recent is not None:
            self._add_recent(instance, recent, now)
        self.reported_at[instance] = now

    def _add_recent(
        self, instance: str, recent: RecentCounts, now: float
    ) -> None:
        # An instance that lost its connection may have reported a part of
        # them in this term.
        counted_until = self.reported_at.get(instance, -math.inf)
        for age_s, counts in recent:
            began_at = now - age_s
            if not 0 <= age_s <= RECENT_S or began_at < counted_until:
                continue
            for service, by_bucket in counts.items():
                self.rates_of(service).add(by_bucket, began_at)
        self.informed.add(instance)
