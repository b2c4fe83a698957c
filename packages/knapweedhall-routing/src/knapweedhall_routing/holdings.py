"""Grants of the key ranges of one service, as its coordinator knows them.

A range is granted to another upstream only after its last holder confirmed the
release, or after every grant that any coordinator may have sent has expired.
"""

from __future__ import annotations

import dataclasses
import typing

from knapweedhall_routing import model

# Duration of a grant. It is longer than a takeover by another coordinator
# (membership timeout 1.2 s, one join every 0.25 s, two calls to the store)
# plus one renewal period. The keys of a lost upstream wait until it expires.
GRANT_DURATION_S = 2.5
RENEWAL_PERIOD_S = 0.5
# A holder's clock may run 2% slow (platform protocol). The margin covers the
# delay between sending a grant and its arrival.
CLOCK_RATE = 1.02
ARRIVAL_MARGIN_S = 0.4
# Maximum time for which a coordinator without the store renews existing
# grants. Together with the lease before it (1.1 s) and the last grant after it
# (3 s), it covers store outages of up to 9 s. Each additional second delays
# the reassignment of a silent upstream's keys by a second if the coordinator
# went silent as well.
MAX_OFFLINE_RENEWAL_S = 6.0
# Number of low bits of a fencing token that count the tokens of one term.
FENCE_NUMBER_BITS = 24


def grant_expiry(sent_at: float) -> float:
    """Return the latest time at which a grant expires at its holder."""
    return sent_at + GRANT_DURATION_S * CLOCK_RATE + ARRIVAL_MARGIN_S


@dataclasses.dataclass
class Holding:
    """A key range and the only upstream that may hold it.

    Attributes
    ----------
    first, last : int
        First and last key, inclusive.
    upstream : str
        Name of the possible holder; '' if nobody holds the range.
    address : model.Address
        Address at which the holder accepts grants and releases.
    born_ms : int
        Incarnation of the holder that the grant is for; 0 if unknown.
    fence : int
        Highest fencing token of the grants of any of its keys in the current
        term; it never falls. 0 before the first.
    needs_token : bool
        Whether the next grant needs a higher token: the range or its holder
        changed, the last grant was not accepted, or a release was sent.
    held_until : float
        Latest time at which the holder loses the range unless the grant is
        renewed, seconds.
    unanswered_until : float
        Latest time at which the last grant without an answer expires,
        seconds; 0 once a grant with a higher token was accepted, because the
        holder then rejects the earlier ones.
    confirmed : bool
        Whether the holder accepted a token of the current term.
    inherited : bool
        Whether the range was granted in an earlier term; the holder serves it
        until that grant expires.
    moving : bool
        Whether the range is being moved.
    target : str
        Upstream that it is being moved to; '' if it is not being moved.
    in_flight : int
        Number of grants that were sent and have no outcome yet.
    cooldown_until : float
        Until when the range is not moved for rebalancing, seconds.
    renew_at : float
        When the grant is sent again, seconds.
    sent_at : float
        When the current term last sent a grant of all these keys, seconds; 0
        before the first.
    handover : str
        Token that the previous holder returned for its release; it is sent
        with the next grant.
    """

    first: int
    last: int
    upstream: str = ''
    address: model.Address = model.Address('', 0)
    born_ms: int = 0
    fence: int = 0
    needs_token: bool = True
    held_until: float = 0.0
    unanswered_until: float = 0.0
    confirmed: bool = False
    inherited: bool = False
    moving: bool = False
    target: str = ''
    in_flight: int = 0
    cooldown_until: float = 0.0
    renew_at: float = 0.0
    sent_at: float = 0.0
    handover: str = ''

    def to_owned_range(self) -> model.OwnedRange:
        """Return the range and its owner for the instances."""
        usable = (self.confirmed or self.inherited) and not self.moving
        return model.OwnedRange(
            self.first,
            self.last,
            self.upstream if usable else '',
            self.address,
        )

    def is_free(self, now: float) -> bool:
        """Return whether the range may be granted to any upstream."""
        return not self.upstream or (
            self.held_until <= now and self.unanswered_until <= now
        )


class SentGrant(typing.NamedTuple):
    """A sent grant; its range may be split before the answer arrives.

    Attributes
    ----------
    first, last : int
        First and last key, inclusive.
    fence : int
        Fencing token of the grant.
    sent_at : float
        When the grant was sent, seconds.
    previous_held_until : float
        When the holder would have lost the range without the grant, seconds.
    """

    first: int
    last: int
    fence: int
    sent_at: float
    previous_held_until: float


# Holder of ranges whose stored holder can't be read; it has no address and is
# no upstream's name, as it contains a space.
UNKNOWN_HOLDER = 'unknown holder'


class StoredRange(typing.NamedTuple):
    """A range and its holder, as an item of the assignment in the store."""

    first: int
    last: int
    upstream: str
    host: str
    port: int
    born_ms: int


class Holdings:
    """All ranges of one service; they cover each key exactly once."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.items = [Holding(0, model.KEY_COUNT - 1)]

    def restore(
        self, stored: typing.Iterable[StoredRange], now: float
    ) -> None:
        """Replace all ranges with those that earlier coordinators stored.

        Stored ranges that overlap an earlier one are skipped, and keys that
        are in no stored range have no holder.

        An earlier coordinator may renew its grants without the store for
        `MAX_OFFLINE_RENEWAL_S`, so an upstream that does not answer may hold
        its ranges until the last of these grants expires.
        """
        until = grant_expiry(now + MAX_OFFLINE_RENEWAL_S)
        ordered = sorted(stored)
        items: list[Holding] = []
        next_key = 0
        for item in ordered:
            if not next_key <= item.first <= item.last < model.KEY_COUNT:
                continue
            if next_key < item.first:
                items.append(Holding(next_key, item.first - 1))
            items.append(
                Holding(
                    item.first,
                    item.last,
                    item.upstream,
                    model.Address(item.host, item.port),
                    item.born_ms,
                    held_until=until if item.upstream else 0.0,
                    unanswered_until=until if item.upstream else 0.0,
                    inherited=bool(item.upstream and item.host),
                )
            )
            next_key = item.last + 1
        if next_key < model.KEY_COUNT:
            items.append(Holding(next_key, model.KEY_COUNT - 1))
        self.items = items

    def restore_unreadable(self, lease_ended_at: float) -> None:
        """Replace all ranges after the stored ones turned out unreadable.

        Every key may be held by somebody, until the last grant that an earlier
        coordinator may send expires.

        Parameters
        ----------
        lease_ended_at : float
            By when the lease of every earlier coordinator had ended, seconds.
        """
        until = grant_expiry(lease_ended_at + MAX_OFFLINE_RENEWAL_S)
        self.items = [
            Holding(
                0,
                model.KEY_COUNT - 1,
                UNKNOWN_HOLDER,
                held_until=until,
                unanswered_until=until,
            )
        ]

    def has_unknown_holder(self, now: float) -> bool:
        """Return whether keys wait as their holder is not known."""
        return any(
            holding.upstream == UNKNOWN_HOLDER and not holding.is_free(now)
            for holding in self.items
        )

    def is_unknown(self, now: float) -> bool:
        """Return whether all keys wait, and none is being assigned."""
        return all(
            holding.upstream == UNKNOWN_HOLDER
            and not holding.moving
            and not holding.is_free(now)
            for holding in self.items
        )

    def record_predecessors_ended(self, now: float) -> None:
        """Record that no earlier coordinator sends grants any more.

        All grants of the current term without an answer were sent before
        `now` as well, so none of them expires later than a grant sent now.
        """
        until = grant_expiry(now)
        for holding in self.items:
            if not holding.confirmed:
                holding.held_until = min(holding.held_until, until)
                holding.unanswered_until = min(holding.unanswered_until, until)

    def record_sent(
        self, holding: Holding, fences: FencingTokens, now: float
    ) -> SentGrant:
        """Record that a grant or its renewal is sent.

        Parameters
        ----------
        holding : Holding
            The range.
        fences : FencingTokens
            Generator of the term, for a grant that needs a new token.
        now : float
            Current time, seconds.
        """
        if holding.needs_token:
            holding.fence = fences.next()
            holding.needs_token = False
        grant = SentGrant(
            holding.first, holding.last, holding.fence, now, holding.held_until
        )
        holding.in_flight += 1
        holding.held_until = max(holding.held_until, grant_expiry(now))
        holding.renew_at = now + RENEWAL_PERIOD_S
        holding.sent_at = now
        return grant

    def record_accepted(self, grant: SentGrant) -> None:
        """Record that the holder accepted a grant."""
        for part in self._remove_in_flight(grant):
            part.confirmed = True
            part.inherited = False
            part.handover = ''
            part.unanswered_until = 0.0

    def record_failure(
        self, grant: SentGrant, in_doubt: bool, retry_at: float
    ) -> None:
        """Record that a grant was not accepted.

        The next grant gets a higher token, so that the holder rejects this one
        if it arrives later.

        Parameters
        ----------
        grant : SentGrant
            The failed grant.
        in_doubt : bool
            Whether the holder may have applied the grant, or may still do so;
            otherwise the expiry before the grant applies again.
        retry_at : float
            When the grant is sent again, seconds.
        """
        for part in self._remove_in_flight(grant):
            if in_doubt:
                part.unanswered_until = max(
                    part.unanswered_until, grant_expiry(grant.sent_at)
                )
            else:
                part.held_until = grant.previous_held_until
            part.needs_token = True
            part.renew_at = retry_at

    def _remove_in_flight(self, grant: SentGrant) -> list[Holding]:
        """Count a grant as no longer in flight; return its parts."""
        parts = self.granted_parts(grant.first, grant.last, grant.fence)
        for part in parts:
            part.in_flight = max(0, part.in_flight - 1)
        return parts

    def record_holder_gone(
        self, grant: SentGrant, upstream: str, address: model.Address
    ) -> None:
        """Record that the process that a grant was sent to has ended.

        Frees all its ranges, except those that are being moved or have a grant
        in flight: for these, the move or the grant gets the same answer.
        """
        self._remove_in_flight(grant)
        for holding in self.items:
            is_held = (
                holding.upstream == upstream and holding.address == address
            )
            if is_held and not holding.moving and not holding.in_flight:
                holding.confirmed = holding.inherited = False
                holding.held_until = holding.unanswered_until = 0.0
                holding.needs_token = True

    def to_stored(self) -> list[StoredRange]:
        """Return the ranges in their form for the store."""
        return [
            StoredRange(
                holding.first,
                holding.last,
                holding.upstream,
                holding.address.host,
                holding.address.port,
                holding.born_ms,
            )
            for holding in self.items
        ]

    def owned_ranges(self) -> list[model.OwnedRange]:
        """Return the ranges and their owners for the instances."""
        return [holding.to_owned_range() for holding in self.items]

    def split(self, first: int, last: int) -> Holding:
        """Split a holding so that one part has exactly the given keys.

        Returns
        -------
        Holding
            The part with the given keys.

        Raises
        ------
        ValueError
            If the keys belong to several holdings.
        """
        for index, holding in enumerate(self.items):
            if holding.first <= first and last <= holding.last:
                break
        else:
            raise ValueError(f'{first}-{last} is in several holdings')
        parts = []
        if holding.first < first:
            parts.append(dataclasses.replace(holding, last=first - 1))
        middle = dataclasses.replace(holding, first=first, last=last)
        parts.append(middle)
        if last < holding.last:
            parts.append(dataclasses.replace(holding, first=last + 1))
        self.items[index : index + 1] = parts
        return middle

    def merge(self, now: float) -> None:
        """Merge neighbors that one upstream holds under confirmed tokens.

        Parts of different grants need a new token, which is above all tokens
        that any upstream had for any of the keys.
        """
        merged: list[Holding] = []
        for holding in self.items:
            previous = merged[-1] if merged else None
            if previous is not None and _can_merge(previous, holding, now):
                if previous.fence != holding.fence:
                    previous.needs_token = True
                    previous.renew_at = now
                previous.needs_token |= holding.needs_token
                previous.fence = max(previous.fence, holding.fence)
                previous.last = holding.last
                previous.held_until = max(
                    previous.held_until, holding.held_until
                )
                previous.unanswered_until = max(
                    previous.unanswered_until, holding.unanswered_until
                )
                previous.renew_at = min(previous.renew_at, holding.renew_at)
                previous.sent_at = min(previous.sent_at, holding.sent_at)
                previous.cooldown_until = max(
                    previous.cooldown_until, holding.cooldown_until
                )
            else:
                merged.append(holding)
        self.items = merged

    def granted_parts(
        self, first: int, last: int, fence: int
    ) -> list[Holding]:
        """Return the parts of a range that was granted under a token.

        A range may have been split while its grant was in flight.
        """
        return [
            holding
            for holding in self.items
            if first <= holding.first
            and holding.last <= last
            and holding.fence == fence
        ]


def _can_merge(left: Holding, right: Holding, now: float) -> bool:
    if not left.upstream or left.upstream != right.upstream:
        return False
    if left.born_ms != right.born_ms:
        return False
    if not left.confirmed or not right.confirmed:
        return False
    if left.moving or right.moving or left.in_flight or right.in_flight:
        return False
    return left.cooldown_until <= now and right.cooldown_until <= now


class FencingTokens:
    """Generator of the fencing tokens of one term.

    The epoch is the rank of the term's record in the store. Ranks rise even
    when the store comes back from a copy, so each token is higher than those
    of all earlier terms.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.number = 0

    def next(self) -> int:
        """Return a token that is higher than all earlier ones."""
        self.number += 1
        return ((self.epoch + 1) << FENCE_NUMBER_BITS) + self.number
