"""What a coordinator knows of each upstream, and the grants it has sent."""

from __future__ import annotations

import typing

from knapweedhall_ownership import election
from knapweedhall_ownership import messages
from knapweedhall_ownership import orders
from knapweedhall_records import ids

PROBE_S = 0.25
LOST_S = 0.5
# An upstream's clock may be slower than the coordinator's by 0.2% each.
GRANT_MARGIN = 0.99

SliceKey = tuple[str, int]


class Clock(typing.NamedTuple):
    """Reading of an upstream's clock and when the answer arrived."""

    incarnation: int
    clock_ms: int
    read_at: float


class Contact:
    """One upstream within one term.

    Attributes
    ----------
    view : orders.UpstreamView
        What the list, records and marks say.
    clock : Clock or None
        Last reading of its clock.
    last_answer : float
        Time of the last answer to a grant; at first that of the first
        attempt.
    answered : bool
        Whether it has answered a grant in this term.
    lost : bool
        Whether it has not answered for `LOST_S`.
    owned : dict of str to dict of int to int
        Sequence per slice and service: the set that grants name.
    held : dict of (str, int) to ids.Token
        What it held at the beginning of the term.
    unanswered : dict of int to float
        Ends of the grants that may still arrive, by number.
    """

    def __init__(self, view: orders.UpstreamView, now: float) -> None:
        self.view = view
        self.clock: Clock | None = None
        self.last_answer = now
        self.answered = False
        self.lost = False
        self.gone = False
        self.was_usable = False
        self.cold = False
        self.dirty = True
        self.named: list[messages.Grant] | None = None
        self.sent_at = float('-inf')
        self.in_flight = 0
        self.owned: dict[str, dict[int, int]] = {}
        self.held: dict[SliceKey, ids.Token] = {}
        self.unanswered: dict[int, float] = {}
        self.answered_number = 0
        self.answered_end = 0.0
        self.unpublished: dict[SliceKey, tuple[int, int]] = {}
        self.last_number = 0

    def usable(self) -> bool:
        """Return whether slices may be activated here."""
        return (
            self.answered
            and not self.lost
            and not self.gone
            and self.view.state == 'live'
        )

    def reason(self) -> str:
        """Return why the upstream is not usable."""
        if self.gone:
            return 'gone'
        return 'lost' if self.lost else self.view.state

    def watch(self, now: float, resumed_at: float) -> None:
        """Declare the upstream lost if it has not answered in time.

        Time in which the coordinator itself did not run does not count:
        answers may be waiting to be read.
        """
        if now - max(self.last_answer, resumed_at) >= LOST_S:
            self.lost = True

    def due(self, now: float) -> bool:
        """Return whether a grant has to be sent.

        There is one at a time, until it is answered, has failed or has
        ended: an older one that arrives late would undo a newer one.
        """
        if self.in_flight:
            return False
        return self.dirty or now >= self.sent_at + PROBE_S

    def own(self, service: str, numbers: set[int], sequence: int) -> None:
        """Name slices in the grants from now on."""
        owned = self.owned.setdefault(service, {})
        for number in numbers:
            owned[number] = sequence
            self.unpublished[service, number] = sequence, self.last_number
        self.dirty = True
        self.named = None

    def disown(self, service: str, numbers: typing.Iterable[int]) -> None:
        """Name slices in no further grant."""
        owned = self.owned.get(service, {})
        for number in numbers:
            owned.pop(number, None)
            self.unpublished.pop((service, number), None)
        self.dirty = True
        self.named = None

    def grant(
        self, now: float, bound: float, number: int, group: str, term: int
    ) -> messages.GrantBody | None:
        """Return the grant to send, None while the clock is unknown.

        The grant ends at `bound` at the latest. While the upstream does not
        answer it ends with the last grant that was answered in time, so that
        a lost upstream can be replaced `LEASE_S` after its last answer.
        """
        if self.clock is None:
            return None
        base = max(self.last_answer, self.clock.read_at)
        end = min(bound, base + election.LEASE_S)
        length = (end - self.clock.read_at) * GRANT_MARGIN
        deadline_ms = self.clock.clock_ms + int(length * 1000)
        self.unanswered[number] = end
        self.last_number = self.in_flight = number
        self.sent_at = now
        self.dirty = False
        if self.named is None:
            self.named = self._grants(term)
        return messages.GrantBody(
            group, term, deadline_ms, self.named, self.clock.incarnation
        )

    def _grants(self, term: int) -> list[messages.Grant]:
        found = []
        for service, owned in sorted(self.owned.items()):
            by_sequence: dict[int, list[int]] = {}
            for number, sequence in owned.items():
                by_sequence.setdefault(sequence, []).append(number)
            for sequence, numbers in sorted(by_sequence.items()):
                token = str(ids.Token(term, sequence))
                found.append(messages.Grant(service, token, sorted(numbers)))
        return found

    def take_answer(
        self, now: float, number: int, answer: messages.GrantAnswer
    ) -> list[tuple[SliceKey, int]]:
        """Take an answer; return (slice, sequence) that it confirms."""
        self._settle(number)
        if not self.answered:
            self._take_held(answer)
        other_run = (
            self.clock is not None
            and self.clock.incarnation != answer.incarnation
        )
        self.clock = Clock(answer.incarnation, answer.clock_ms, now)
        self.last_answer = now
        self.answered = True
        self.lost = False
        self.cold = answer.cold
        if other_run:
            self.dirty = True
            return []
        return self._confirm(number)

    def _settle(self, number: int) -> None:
        end = self.unanswered.pop(number, 0.0)
        if number == self.in_flight:
            self.in_flight = 0
        if number > self.answered_number:
            self.answered_number = number
            self.answered_end = end
        else:
            # The upstream may have applied the older grant last.
            self.answered_end = max(self.answered_end, end)

    def _take_held(self, answer: messages.GrantAnswer) -> None:
        for grant in answer.held:
            token = ids.Token.parse(grant.token)
            for number in grant.slices:
                self.held[grant.service, number] = token

    def _confirm(self, number: int) -> list[tuple[SliceKey, int]]:
        confirmed = [
            (key, sequence)
            for key, (sequence, before) in self.unpublished.items()
            if before < number
        ]
        for key, _ in confirmed:
            del self.unpublished[key]
        return confirmed

    def failed(self, number: int) -> None:
        """Note that a grant got no answer; it may arrive until its end."""
        if number == self.in_flight:
            self.in_flight = 0

    def latest_end(self) -> float:
        """Return the end of all grants that may be in force."""
        return max(self.answered_end, *self.unanswered.values(), 0.0)

    def stale_end(self, number: int) -> float:
        """Return when no grant up to a number can still arrive."""
        ends = (end for n, end in self.unanswered.items() if n <= number)
        return max(ends, default=0.0)

    def forget(self, now: float) -> None:
        """Drop unanswered grants that have ended."""
        for number, end in list(self.unanswered.items()):
            if end <= now:
                del self.unanswered[number]
                if number == self.in_flight:
                    self.in_flight = 0
