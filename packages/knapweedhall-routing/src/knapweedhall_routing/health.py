"""Measurements that an instance makes of one upstream."""

from __future__ import annotations

import math

from knapweedhall_routing import model

# Weight of a new sample in a moving average; about the last ten responses
# count.
SMOOTHING = 0.15
# Time constant with which a report of the load from other instances loses its
# weight; processing one request takes about that long.
REPORT_DECAY_S = 0.15
# Time constant with which a reported slowdown loses its weight: the load of
# other processes on the upstream's machine changes several times a second.
SLOWDOWN_DECAY_S = 0.3
# Weight of a new report in the mean slowdown.
SLOWDOWN_SMOOTHING = 0.05
# Half-life of the share of failed requests; it lets an upstream that recovered
# be tried again.
FAILURE_HALF_LIFE_S = 2.0
# Pause after a failed attempt to connect; it is doubled with each failure up
# to the maximum.
MIN_CONNECT_BACKOFF_S = 0.3
MAX_CONNECT_BACKOFF_S = 2.0
# Service time assumed before the first response.
INITIAL_SERVICE_S = 0.1
# Weight of the service's baseline in the expected service time of an
# upstream, as a number of responses; one of many instances receives few
# responses from each upstream.
BASELINE_SAMPLES = 1
# Weight of a new sample in the baseline service time.
BASELINE_SMOOTHING = 0.05
# An upstream with outstanding requests is silent if it has sent no response
# for this many times the expected latency under its load.
SILENT_FACTOR = 6.0
# A request is overdue after this many times the expected latency. An upstream
# that became five times slower is noticed before it responds.
OVERDUE_FACTOR = 2.0
# Longest pause that an upstream may ask for. A garbled value must not exclude
# an upstream for ever; one that is overloaded for longer asks again.
MAX_PAUSE_S = 60.0


class Baseline:
    """Baseline service time of a service's upstreams, seen by one instance.

    Attributes
    ----------
    service_s : float
        Moving average of the time to process a request once it has a slot,
        seconds.
    samples : int
        Number of responses measured.
    """

    def __init__(self) -> None:
        self.service_s = INITIAL_SERVICE_S
        self.samples = 0

    def add(self, service_s: float) -> None:
        """Add the service time of one response."""
        self.samples += 1
        weight = max(BASELINE_SMOOTHING, 1 / self.samples)
        self.service_s += weight * (service_s - self.service_s)


class Health:
    """Measurements of one upstream by one instance.

    Attributes
    ----------
    slots : int
        Number of requests that the upstream runs concurrently.
    baseline : Baseline
        Baseline service time of all upstreams of the service.
    outstanding : int
        Requests of this instance that have not ended.
    sent_at : dict of int to float
        When each outstanding request was sent, oldest first, seconds.
    mean_service_s : float
        Moving average of the time to process a request once it has a slot,
        seconds.
    samples : int
        Number of responses measured.
    failures : float
        Share of recent requests that failed, 0 to 1, at `failures_at`.
    failures_at : float
        When the last result was recorded, seconds.
    connect_blocked_until : float
        Until when connecting is not tried if there are other upstreams.
    connect_backoff_s : float
        Length of the pause after the last failed attempt to connect.
    paused_until : float
        Until when the upstream wants no requests from this instance, seconds.
    other_load : float
        Requests of other instances, running and waiting, in the last report.
    slowdown, mean_slowdown : float
        Last reported slowdown and the moving average of all reports.
    reported_at, responded_at : float
        When the last load report and the last response arrived, seconds.
    mute_until : float
        Until when it counts as mute because a request got no response until
        its end, seconds.
    """

    def __init__(self, slots: int, baseline: Baseline | None = None) -> None:
        self.slots = max(1, slots)
        self.baseline = baseline or Baseline()
        self.outstanding = 0
        self.sent_at: dict[int, float] = {}
        self.mean_service_s = INITIAL_SERVICE_S
        self.samples = 0
        self.failures = 0.0
        self.failures_at = 0.0
        self.connect_blocked_until = 0.0
        self.connect_backoff_s = 0.0
        self.paused_until = -math.inf
        self.other_load = 0.0
        self.slowdown = 1.0
        self.mean_slowdown = 1.0
        self.reported_at = -math.inf
        self.responded_at = -math.inf
        self.mute_until = -math.inf

    def record_sent(self, number: int, now: float) -> None:
        """Record that a request was sent."""
        self.outstanding += 1
        self.sent_at[number] = now

    def record_ended(self, number: int) -> None:
        """Record that a request ended, with or without a response."""
        self.outstanding -= 1
        self.sent_at.pop(number, None)

    def record_response(
        self, latency_s: float, report: model.LoadReport | None, now: float
    ) -> float:
        """Record the response to a request that ran.

        Returns
        -------
        float
            Time to process it once it had a slot, seconds.
        """
        self.responded_at = now
        self.connect_blocked_until = self.connect_backoff_s = 0.0
        service_s = latency_s
        if report is not None:
            service_s = latency_s / (1 + report.waiting / max(1, report.slots))
            self.record_load(report, now)
        self.samples += 1
        weight = max(SMOOTHING, 1 / self.samples)
        self.mean_service_s += weight * (service_s - self.mean_service_s)
        self.baseline.add(service_s)
        return service_s

    @property
    def service_s(self) -> float:
        """Expected service time, seconds.

        The fewer responses were measured, the closer it is to the baseline.
        """
        weight = self.samples / (self.samples + BASELINE_SAMPLES)
        baseline_s = self.baseline.service_s
        return baseline_s + weight * (self.mean_service_s - baseline_s)

    def record_load(self, report: model.LoadReport, now: float) -> None:
        """Record the load that an upstream reported."""
        total = report.running + report.waiting
        # The request whose response carried this report is no longer at the
        # upstream, but still counts as outstanding here.
        own = max(0, self.outstanding - 1)
        self.other_load = float(max(0, total - own))
        self.reported_at = now
        self.slots = max(1, report.slots)
        self.slowdown = report.slowdown
        self.mean_slowdown += SLOWDOWN_SMOOTHING * (
            report.slowdown - self.mean_slowdown
        )

    def record_result(self, failed: bool, now: float) -> None:
        """Record whether a request failed."""
        self.failures = self.failure_share(now)
        self.failures += SMOOTHING * (float(failed) - self.failures)
        self.failures_at = now

    def failure_share(self, now: float) -> float:
        """Return the share of failed requests, which decays with time."""
        age = max(0.0, now - self.failures_at)
        return float(self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S))

    def record_connect_failure(self, now: float) -> None:
        """Record that no connection could be made."""
        self.connect_backoff_s = min(
            MAX_CONNECT_BACKOFF_S,
            max(MIN_CONNECT_BACKOFF_S, 2 * self.connect_backoff_s),
        )
        self.connect_blocked_until = now + self.connect_backoff_s

    def record_pause(self, pause_s: float, now: float) -> None:
        """Record that the upstream wants no requests for a time.

        It is full and did not fail, so its share of failures is unchanged.
        """
        until = now + min(pause_s, MAX_PAUSE_S)
        self.paused_until = max(self.paused_until, until)

    def is_paused(self, now: float) -> bool:
        """Return whether the upstream wants no requests now."""
        return now < self.paused_until

    def is_silent(
        self, now: float, heard_elsewhere_at: float = -math.inf
    ) -> bool:
        """Return whether the upstream has sent no response for too long.

        Without outstanding requests it is never silent.

        Parameters
        ----------
        now : float
            Current time, seconds.
        heard_elsewhere_at : float
            When another instance last got a response from it, seconds.
        """
        if not self.sent_at:
            return False
        oldest = next(iter(self.sent_at.values()))
        silent_since = max(oldest, self.responded_at, heard_elsewhere_at)
        return now - silent_since > self.silence_limit_s(now)

    def silence_limit_s(self, now: float) -> float:
        """Return after which time without a response it counts as silent."""
        queue_factor = 1 + self.load(now) / self.slots
        return SILENT_FACTOR * self.service_s * queue_factor

    def is_mute(self, now: float) -> bool:
        """Return whether a request gets no response although others do.

        Some upstreams never respond to what they can't queue.
        """
        if now < self.mute_until:
            return True
        if not self.sent_at:
            return False
        oldest = next(iter(self.sent_at.values()))
        return now - oldest > self.silence_limit_s(now)

    def record_unanswered(self, sent_at: float, now: float) -> None:
        """Record that a request ended without any byte of a response.

        If it was silent for too long, the upstream could not queue it, and
        counts as mute for the time in which its queue becomes shorter.
        """
        if now - sent_at > self.silence_limit_s(now):
            self.mute_until = now + self.expected_latency_s(now)

    def overdue_s(self, now: float) -> float:
        """Return for how long the oldest request is late without a response.

        Returns
        -------
        float
            Time since it was sent if that is `OVERDUE_FACTOR` times the
            expected latency or more, seconds; 0 otherwise.
        """
        if not self.sent_at:
            return 0.0
        age_s = now - next(iter(self.sent_at.values()))
        late_s = OVERDUE_FACTOR * self.expected_latency_s(now)
        return age_s if age_s >= late_s else 0.0

    def load(self, now: float) -> float:
        """Return the estimated number of requests, running and waiting."""
        age = max(0.0, now - self.reported_at)
        freshness = math.exp(-age / REPORT_DECAY_S) if age < 2 else 0.0
        # Without a recent report, other instances are assumed to cause half
        # the load that they caused before.
        return self.outstanding + self.other_load * max(freshness, 0.5)

    def has_free_slot(self, now: float) -> bool:
        """Return whether a new request is expected to run at once."""
        return self.load(now) + 1 <= self.slots

    def expected_latency_s(self, now: float) -> float:
        """Return the expected time until the response to a new request."""
        queued = max(0.0, self.load(now) + 1 - self.slots)
        service_s = self.service_s * self.current_slowdown(now)
        return service_s * (1 + queued / self.slots)

    def current_slowdown(self, now: float) -> float:
        """Return the expected slowdown divided by the mean slowdown.

        Without a recent report it is 1.
        """
        freshness = math.exp(
            -max(0.0, now - self.reported_at) / SLOWDOWN_DECAY_S
        )
        return 1 + (self.slowdown / self.mean_slowdown - 1) * freshness
