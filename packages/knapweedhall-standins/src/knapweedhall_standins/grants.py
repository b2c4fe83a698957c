"""Grants that an upstream holds; decision logic, time is passed in."""

from __future__ import annotations

import typing

from knapweedhall_records import ids


class GrantFields(typing.TypedDict):
    """Slices of one service under one token."""

    service: str
    token: str
    slices: list[int]


class GrantSet(typing.TypedDict):
    """All grants of one upstream; slices not named are given up."""

    group: str
    term: int
    deadline_ms: int
    grants: list[GrantFields]
    incarnation: typing.NotRequired[int]


class ReleaseRequest(typing.TypedDict):
    """Slices to release."""

    group: str
    term: int
    service: str
    slices: list[int]


class Held(typing.NamedTuple):
    """One slice of this upstream.

    Attributes
    ----------
    token : ids.Token
        Fencing token of the activation.
    deadline_ms : int
        End of the grant on the upstream's clock.
    live : bool
        Whether the grant has been announced and not yet expired.
    """

    token: ids.Token
    deadline_ms: int
    live: bool


class StaleTerm(typing.NamedTuple):
    """A command of a coordinator that has been replaced."""

    highest_term: int


class Applied(typing.NamedTuple):
    """Effect of a grant set.

    Attributes
    ----------
    accepted : dict of ids.Token to list of int
        Slices that are new, have a new token or had expired.
    given_up : list of int
        Slices that the set does not name any more.
    """

    accepted: dict[ids.Token, list[int]]
    given_up: list[int]


class GrantTable:
    """Slices held by one upstream.

    Parameters
    ----------
    checks_tokens : bool
        Whether requests and commands are checked against terms and tokens.
    """

    def __init__(self, checks_tokens: bool) -> None:
        self.checks_tokens = checks_tokens
        self.highest_terms: dict[str, int] = {}
        self.held: dict[int, Held] = {}
        self.draining: set[int] = set()
        # Tokens of slices given up: a grant that was delayed on its way must
        # not bring such a slice back.
        self.ended: dict[int, ids.Token] = {}

    def check_term(self, group: str, term: int) -> StaleTerm | None:
        """Note a term; return the highest one if `term` is older."""
        highest = max(term, self.highest_terms.get(group, 0))
        self.highest_terms[group] = highest
        if self.checks_tokens and term < highest:
            return StaleTerm(highest)
        return None

    def apply(self, wanted: GrantSet, clock_ms: int) -> Applied | StaleTerm:
        """Replace the grants; call `expire` first."""
        stale = self.check_term(wanted['group'], wanted['term'])
        if stale is not None:
            return stale
        accepted: dict[ids.Token, list[int]] = {}
        named: set[int] = set()
        for grant in wanted['grants']:
            token = ids.Token.parse(grant['token'])
            named.update(grant['slices'])
            for number in grant['slices']:
                if self._hold(number, token, wanted['deadline_ms'], clock_ms):
                    accepted.setdefault(token, []).append(number)
        given_up = sorted(set(self.held) - named)
        self.end(given_up)
        return Applied(accepted, given_up)

    def _hold(
        self, number: int, token: ids.Token, deadline_ms: int, clock_ms: int
    ) -> bool:
        """Hold a slice; return whether this has to be announced."""
        if self.checks_tokens and token <= self.ended.get(
            number, ids.Token(0, 0)
        ):
            return False
        old = self.held.get(number)
        if old is not None and self.checks_tokens and token < old.token:
            return False
        live = clock_ms < deadline_ms
        self.held[number] = Held(token, deadline_ms, live)
        if old is None or token != old.token:
            self.draining.discard(number)
            return live
        return live and not old.live

    def end(self, slices: typing.Iterable[int]) -> None:
        """Give up slices."""
        for number in slices:
            held = self.held.pop(number, None)
            self.draining.discard(number)
            if held is not None:
                self.ended[number] = held.token

    def drain(self, slices: typing.Iterable[int]) -> None:
        """Refuse new work of slices that are about to be released."""
        self.draining.update(set(slices) & set(self.held))

    def expire(self, clock_ms: int) -> list[int]:
        """Mark grants past their deadline; return the slices, sorted."""
        expired = sorted(
            number
            for number, held in self.held.items()
            if held.live and clock_ms >= held.deadline_ms
        )
        for number in expired:
            self.held[number] = self.held[number]._replace(live=False)
        return expired

    def next_deadline(self) -> int | None:
        """Return the earliest deadline of a live grant, in ms."""
        return min(
            (held.deadline_ms for held in self.held.values() if held.live),
            default=None,
        )

    def refusal(
        self, number: int | None, token: ids.Token | None, clock_ms: int
    ) -> str | None:
        """Return why work under a token must not start, or None."""
        if not self.checks_tokens:
            return None
        held = self.held.get(number) if number is not None else None
        if held is None or token is None or clock_ms >= held.deadline_ms:
            return 'no-grant'
        if token != held.token:
            return 'stale-token' if token < held.token else 'no-grant'
        return 'draining' if number in self.draining else None

    def lost(self, number: int | None, clock_ms: int) -> bool:
        """Return whether work of a slice must not take effect any more."""
        if not self.checks_tokens or number is None:
            return False
        held = self.held.get(number)
        return held is None or clock_ms >= held.deadline_ms

    def describe(self, service: str) -> list[GrantFields]:
        """Return the held slices by token, as a response reports them."""
        found: dict[ids.Token, list[int]] = {}
        for number in sorted(self.held):
            found.setdefault(self.held[number].token, []).append(number)
        return [
            {'service': service, 'token': str(token), 'slices': slices}
            for token, slices in sorted(found.items())
        ]
