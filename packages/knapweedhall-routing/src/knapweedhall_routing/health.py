"""What an instance measured itself of one upstream."""

from __future__ import annotations

import math

from knapweedhall_routing import model

# Weight of a new sample; about the last ten answers count.
SMOOTHING = 0.15
# Time after which a report of others' load says little: work on one slot
# takes about that long.
REPORT_AGE_S = 0.15
# Time in which a reported pace loses most of its meaning: neighbours on the
# upstream's machine come and go several times a second.
PACE_AGE_S = 0.3
# Weight of a new report of the pace against its mean.
PACE_SMOOTHING = 0.05
# Time in which half of a failure score is forgotten, so that an upstream
# that recovered is tried again.
FAILURE_HALF_LIFE_S = 2.0
# Pause after a connection attempt that failed, doubled up to the maximum.
BLOCK_MIN_S = 0.3
BLOCK_MAX_S = 2.0
# Service time before any answer of the service, seconds.
INITIAL_SERVICE_S = 0.1
# Weight of the service's usual time as the prior of an upstream's, in answers;
# an instance among many has few answers of each.
TYPICAL_SAMPLES = 1
# Weight of a new sample in the service's usual time.
TYPICAL_SMOOTHING = 0.05
# An upstream that answers nothing for so many service times, while requests
# are outstanding, is taken as silent.
SILENT_FACTOR = 6.0


class Baseline:
    """Usual service time of a service's upstreams, as one instance sees it.

    Attributes
    ----------
    service_s : float
        Smoothed time that work takes once it has a slot, seconds.
    """

    def __init__(self) -> None:
        self.service_s = INITIAL_SERVICE_S
        self.samples = 0

    def add(self, service_s: float) -> None:
        """Add the time of one answer."""
        self.samples += 1
        weight = max(TYPICAL_SMOOTHING, 1 / self.samples)
        self.service_s += weight * (service_s - self.service_s)


class Health:
    """Own measurements of one upstream.

    Attributes
    ----------
    outstanding : int
        Own requests under way.
    baseline : Baseline
        Usual time of all upstreams of the service.
    mean_service_s : float
        Smoothed time that work takes once it has a slot, seconds.
    failures : float
        Share of recent answers that failed, 0 to 1.
    """

    def __init__(self, slots: int, baseline: Baseline | None = None) -> None:
        self.slots = max(1, slots)
        self.baseline = baseline or Baseline()
        self.outstanding = 0
        self.oldest_sent: dict[int, float] = {}
        self.mean_service_s = INITIAL_SERVICE_S
        self.samples = 0
        self.failures = 0.0
        self.failures_at = 0.0
        self.blocked_until = 0.0
        self.block_s = 0.0
        self.others = 0.0
        self.slowdown = 1.0
        self.mean_slowdown = 1.0
        self.reported_at = -math.inf
        self.answered_at = -math.inf

    def record_sent(self, number: int, now: float) -> None:
        """Count a request out."""
        self.outstanding += 1
        self.oldest_sent[number] = now

    def record_ended(self, number: int) -> None:
        """Count a request that ended in any way."""
        self.outstanding -= 1
        self.oldest_sent.pop(number, None)

    def record_answer(
        self, latency: float, report: model.LoadReport | None, now: float
    ) -> None:
        """Take note of an answer of work that ran."""
        self.answered_at = now
        self.blocked_until = self.block_s = 0.0
        service = latency
        if report is not None:
            service = latency / (1 + report.waiting / max(1, report.slots))
            self.record_load(report, now)
        self.samples += 1
        weight = max(SMOOTHING, 1 / self.samples)
        self.mean_service_s += weight * (service - self.mean_service_s)
        self.baseline.add(service)

    @property
    def service_s(self) -> float:
        """Expected time of work in seconds, from few or no answers too."""
        known = self.samples / (self.samples + TYPICAL_SAMPLES)
        usual = self.baseline.service_s
        return usual + known * (self.mean_service_s - usual)

    def record_load(self, report: model.LoadReport, now: float) -> None:
        """Take note of the load that an upstream states."""
        total = report.running + report.waiting
        # The request that this report answered has left the upstream, but is
        # still counted as outstanding here.
        own = max(0, self.outstanding - 1)
        self.others = float(max(0, total - own))
        self.reported_at = now
        self.slots = max(1, report.slots)
        self.slowdown = report.slowdown
        self.mean_slowdown += PACE_SMOOTHING * (
            report.slowdown - self.mean_slowdown
        )

    def record_result(self, failed: bool, now: float) -> None:
        """Count a success or a failure."""
        self.failures = self.failure_share(now)
        self.failures += SMOOTHING * (float(failed) - self.failures)
        self.failures_at = now

    def failure_share(self, now: float) -> float:
        """Return the share of failures, which decays with time."""
        age = max(0.0, now - self.failures_at)
        return float(self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S))

    def record_connect_failure(self, now: float) -> None:
        """Take note that no connection could be made."""
        self.block_s = min(BLOCK_MAX_S, max(BLOCK_MIN_S, 2 * self.block_s))
        self.blocked_until = now + self.block_s

    def is_silent(self, now: float) -> bool:
        """Return whether it answers nothing for suspiciously long."""
        if not self.oldest_sent:
            return False
        oldest = next(iter(self.oldest_sent.values()))
        quiet_since = max(oldest, self.answered_at)
        waiting = 1 + self.load(now) / self.slots
        return now - quiet_since > SILENT_FACTOR * self.service_s * waiting

    def load(self, now: float) -> float:
        """Return the estimated requests there, running and waiting."""
        age = max(0.0, now - self.reported_at)
        fresh = math.exp(-age / REPORT_AGE_S) if age < 2 else 0.0
        # Without a fresh report others are assumed to keep half the slots
        # busy that they did.
        return self.outstanding + self.others * max(fresh, 0.5)

    def expected_latency_s(self, now: float) -> float:
        """Return the expected time until a new request is answered."""
        queued = max(0.0, self.load(now) + 1 - self.slots)
        service_s = self.service_s * self.current_slowdown(now)
        return service_s * (1 + queued / self.slots)

    def current_slowdown(self, now: float) -> float:
        """Return the expected time of work now, as a part of the mean."""
        fresh = math.exp(-max(0.0, now - self.reported_at) / PACE_AGE_S)
        return 1 + (self.slowdown / self.mean_slowdown - 1) * fresh
