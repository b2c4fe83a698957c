"""Detection of cold starts, and the budget of a cold upstream."""

from __future__ import annotations

import typing

ANSWERS_PER_STEP = 16
WARM_FACTOR = 2.0
JUMP_FACTOR = 4.0
# One slow answer is no cold start; three in a row at low concurrency are.
JUMP_ANSWERS = 3
# Below this, the delays that this process adds under load make factors of
# four.
JUMP_FLOOR_S = 0.02
# An upstream that became slower for good would stay at its cold budget, as
# no answer is within twice the old latency; after this many answers without
# growth the measured latency becomes the new warm one.
REBASE_ANSWERS = 64
SMOOTHING = 0.1


class Sample(typing.NamedTuple):
    """What one answer tells about an upstream's state.

    Attributes
    ----------
    latency : float
        Seconds from the write to the first byte of the answer.
    outstanding : int
        Requests outstanding when it was sent, including itself.
    says_cold : bool
        Whether the answer states a cold start.
    sheds : bool
        Whether the answer is a load-shedding refusal.
    incarnation : bytes
        Run of the upstream, b'' if not stated.
    sent : float
        When the request was sent, seconds.
    pause : float
        Part of the latency in which this process did not run, seconds.
    """

    latency: float
    outstanding: int
    says_cold: bool = False
    sheds: bool = False
    incarnation: bytes = b''
    sent: float = 0.0
    pause: float = 0.0


class ColdState:
    """Decides how many requests a perhaps cold upstream gets.

    Attributes
    ----------
    cold : bool
        Whether the upstream is taken to be cold.
    budget : int
        Requests at the same time while cold.
    smoothed : float
        Smoothed latency of answers while warm, seconds; 0 without any.
    """

    def __init__(self) -> None:
        self.cold = False
        self.budget = 0
        self.smoothed = 0.0
        self.cold_smoothed = 0.0
        self.good_answers = 0
        self.stuck_answers = 0
        self.slow_answers = 0
        self.slow_until = 0.0
        self.incarnation = b''
        self.refused = False

    def connect_refused(self) -> None:
        """Take note that the upstream refused a connection."""
        self.refused = True

    def connect_accepted(self, cold_slots: int) -> str:
        """Take note of a new connection; return the cold sign, '' if none."""
        if not self.refused:
            return ''
        self.refused = False
        return self._start(cold_slots, 'refused-then-accepted')

    def answer(self, sample: Sample, slots: int, cold_slots: int) -> str:
        """Take note of an answer.

        Parameters
        ----------
        sample : Sample
            The answer.
        slots, cold_slots : int
            This instance's share of the upstream's limits.

        Returns
        -------
        str
            The sign if a cold start was noticed, 'warm' if one ended, else
            ''.
        """
        sign = self._sign(sample, slots)
        if sign and not self.cold:
            return self._start(cold_slots, sign)
        if not self.cold:
            self._smooth(sample)
            return ''
        if sample.sheds:
            self.budget = max(1, self.budget // 2)
            self.good_answers = 0
            return ''
        return self._grow(sample, slots, cold_slots)

    def allowed(self, slots: int, cold_slots: int) -> int:
        """Return how many requests may be outstanding.

        A cold upstream of which this instance holds no cold share gets
        nothing from here until the coordinator divides the budget anew.
        """
        if not self.cold:
            return slots
        if not cold_slots:
            return 0
        return min(slots, max(self.budget, 1))

    def _sign(self, sample: Sample, slots: int) -> str:
        if sample.incarnation and sample.incarnation != self.incarnation:
            known = self.incarnation
            self.incarnation = sample.incarnation
            if known:
                return 'new-incarnation'
        if sample.says_cold:
            return 'says-cold'
        if sample.sheds:
            return 'shed'
        return 'latency' if self._jumped(sample, slots) else ''

    def _jumped(self, sample: Sample, slots: int) -> bool:
        limit = max(JUMP_FACTOR * self.smoothed, JUMP_FLOOR_S)
        if not self.smoothed or sample.latency - sample.pause <= limit:
            self.slow_answers = 0
            return False
        if sample.outstanding > max(1, slots // 4):
            return False
        # One pause, of the upstream or of this process, delays all requests
        # under way; only those sent after it tell more.
        if self.slow_answers and sample.sent < self.slow_until:
            return False
        self.slow_until = sample.sent + sample.latency
        self.slow_answers += 1
        return self.slow_answers >= JUMP_ANSWERS

    def _smooth(self, sample: Sample) -> None:
        if sample.sheds or self.slow_answers:
            return
        if not self.smoothed:
            self.smoothed = sample.latency
        else:
            self.smoothed += SMOOTHING * (sample.latency - self.smoothed)

    def _start(self, cold_slots: int, sign: str) -> str:
        if self.cold:
            return ''
        self.cold = True
        self.budget = cold_slots
        self.good_answers = self.stuck_answers = self.slow_answers = 0
        self.cold_smoothed = 0.0
        return sign

    def _grow(self, sample: Sample, slots: int, cold_slots: int) -> str:
        last = self.cold_smoothed or sample.latency
        self.cold_smoothed = last + SMOOTHING * (sample.latency - last)
        self.stuck_answers += 1
        if self.stuck_answers >= REBASE_ANSWERS:
            self.smoothed = self.cold_smoothed
        limit = max(WARM_FACTOR * self.smoothed, JUMP_FLOOR_S)
        if self.smoothed and sample.latency > limit:
            return ''
        self.good_answers += 1
        if self.good_answers < ANSWERS_PER_STEP:
            return ''
        self.good_answers = self.stuck_answers = 0
        if self.budget < slots:
            self.budget = min(slots, max(self.budget, cold_slots) * 2)
            return ''
        if sample.says_cold:
            return ''
        self.cold = False
        return 'warm'
