"""Grants of key ranges of one service, as its coordinator knows them.

A range is given to another upstream only when its last holder confirmed the
release, or when every grant that any coordinator may have sent has ended.
"""

from __future__ import annotations

import dataclasses
import typing

from knapweedhall_routing import model

# Length of a grant, seconds. Longer than the takeover by another coordinator
# (membership timeout 1.2 s, one join each 0.25 s, two calls of the store) plus
# one renewal; the keys of a lost upstream wait for its end.
GRANT_DURATION_S = 2.5
RENEWAL_PERIOD_S = 0.5
# A holder's clock may run 2% slow (platform protocol); the rest covers the
# delay between sending and arrival.
CLOCK_RATE = 1.02
ARRIVAL_MARGIN_S = 0.4
# Longest time for which a coordinator without the store renews grants that
# exist already. With the lease before (1.1 s) and the last grant after it
# (3 s) it covers the sites' outages of up to 9 s. Each second more is one
# more that the keys of a silent upstream wait after a silent coordinator.
MAX_OFFLINE_RENEWAL_S = 6.0
FENCE_BITS = 24


def grant_expiry(sent_at: float) -> float:
    """Return when a grant sent at a time has ended at its holder."""
    return sent_at + GRANT_DURATION_S * CLOCK_RATE + ARRIVAL_MARGIN_S


@dataclasses.dataclass
class Holding:
    """A range of keys and its only possible holder.

    Attributes
    ----------
    first, last : int
        Keys, both included.
    upstream : str
        The possible holder; '' if nobody holds the range.
    address : model.Address
        Where the holder takes orders.
    born_ms : int
        Incarnation of the holder that the grant is for; 0 if unknown.
    fence : int
        Fencing token of the grant in this tenure; 0 before one was sent.
    held_until : float
        When the holder has surely lost the range unless it is renewed.
    unanswered_until : float
        When the last grant without an answer has surely ended; 0 once a
        grant with a higher token was accepted, as the holder then refuses
        the earlier ones.
    confirmed : bool
        Whether the holder accepted this tenure's token.
    inherited : bool
        Whether it was granted in an earlier tenure; the holder serves on
        until that grant ends.
    moving : bool
        Whether a move is under way.
    target : str
        Where it moves to; '' if it does not move.
    in_flight : int
        Grants that were sent and are neither answered nor given up.
    cooldown_until : float
        Until when the range is not moved to level the load.
    renew_at : float
        When the grant is sent again.
    handover : str
        Proof of the previous holder's release, for the next grant.
    """

    first: int
    last: int
    upstream: str = ''
    address: model.Address = model.Address('', 0)
    born_ms: int = 0
    fence: int = 0
    held_until: float = 0.0
    unanswered_until: float = 0.0
    confirmed: bool = False
    inherited: bool = False
    moving: bool = False
    target: str = ''
    in_flight: int = 0
    cooldown_until: float = 0.0
    renew_at: float = 0.0
    handover: str = ''

    def to_owned_range(self) -> model.OwnedRange:
        """Return what instances are told."""
        usable = (self.confirmed or self.inherited) and not self.moving
        return model.OwnedRange(
            self.first,
            self.last,
            self.upstream if usable else '',
            self.address,
        )

    def is_free(self, now: float) -> bool:
        """Return whether the range may be given to anybody."""
        return not self.upstream or (
            self.held_until <= now and self.unanswered_until <= now
        )


class SentGrant(typing.NamedTuple):
    """A grant as it was sent; its range may be divided before the answer.

    Attributes
    ----------
    first, last : int
        Keys, both included.
    fence : int
        Its fencing token.
    sent_at : float
        When it was sent, seconds.
    previous_held_until : float
        When the holder would have lost the range without it.
    """

    first: int
    last: int
    fence: int
    sent_at: float
    previous_held_until: float


class StoredRange(typing.NamedTuple):
    """One row of the assignment that stands in the store."""

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
        """Replace all ranges by those that earlier coordinators stored.

        An earlier coordinator may renew its grants without the store for
        `MAX_OFFLINE_RENEWAL_S`, so an upstream that does not answer may hold
        its ranges until the last of these grants expires.
        """
        until = grant_expiry(now + MAX_OFFLINE_RENEWAL_S)
        rows = sorted(stored)
        items: list[Holding] = []
        following = 0
        for row in rows:
            if not following <= row.first <= row.last < model.KEY_COUNT:
                continue
            if following < row.first:
                items.append(Holding(following, row.first - 1))
            items.append(
                Holding(
                    row.first,
                    row.last,
                    row.upstream,
                    model.Address(row.host, row.port),
                    row.born_ms,
                    held_until=until if row.upstream else 0.0,
                    unanswered_until=until if row.upstream else 0.0,
                    inherited=bool(row.upstream),
                )
            )
            following = row.last + 1
        if following < model.KEY_COUNT:
            items.append(Holding(following, model.KEY_COUNT - 1))
        self.items = items

    def record_predecessors_ended(self, now: float) -> None:
        """Take note that no earlier coordinator sends grants any more.

        Grants of this tenure were sent before `now` as well, so none of them
        ends later.
        """
        until = grant_expiry(now)
        for one in self.items:
            if not one.confirmed:
                one.held_until = min(one.held_until, until)
                one.unanswered_until = min(one.unanswered_until, until)

    def record_sent(self, one: Holding, now: float) -> SentGrant:
        """Take note that a grant or its renewal is sent."""
        order = SentGrant(one.first, one.last, one.fence, now, one.held_until)
        one.in_flight += 1
        one.held_until = max(one.held_until, grant_expiry(now))
        one.renew_at = now + RENEWAL_PERIOD_S
        return order

    def record_accepted(self, order: SentGrant) -> None:
        """Take note that a grant was accepted."""
        for part in self._answered(order):
            part.confirmed = True
            part.inherited = False
            part.handover = ''
            part.unanswered_until = 0.0

    def record_failure(
        self, order: SentGrant, in_doubt: bool, retry_at: float
    ) -> None:
        """Take note of a grant that was not accepted.

        The next one has a higher token, so that this one is refused if it is
        carried out after it.

        Parameters
        ----------
        order : SentGrant
            The grant.
        in_doubt : bool
            Whether it may have been carried out, or may be yet; otherwise the
            hold before it stands.
        retry_at : float
            When the grant is sent again, seconds.
        """
        for part in self._answered(order):
            if in_doubt:
                part.unanswered_until = max(
                    part.unanswered_until, grant_expiry(order.sent_at)
                )
            else:
                part.held_until = order.previous_held_until
            part.fence = 0
            part.renew_at = retry_at

    def _answered(self, order: SentGrant) -> list[Holding]:
        """Return the parts of a grant that is no longer under way."""
        parts = self.granted_parts(order.first, order.last, order.fence)
        for part in parts:
            part.in_flight = max(0, part.in_flight - 1)
        return parts

    def record_holder_gone(
        self, order: SentGrant, upstream: str, address: model.Address
    ) -> None:
        """Take note that the process which held ranges has ended.

        Ranges that move or have a grant under way learn of it by themselves.
        """
        self._answered(order)
        for one in self.items:
            named = one.upstream == upstream and one.address == address
            if named and not one.moving and not one.in_flight:
                one.confirmed = one.inherited = False
                one.held_until = one.unanswered_until = 0.0
                one.fence = 0

    def to_stored(self) -> list[StoredRange]:
        """Return the rows for the store."""
        return [
            StoredRange(
                one.first,
                one.last,
                one.upstream,
                one.address.host,
                one.address.port,
                one.born_ms,
            )
            for one in self.items
        ]

    def owned_ranges(self) -> list[model.OwnedRange]:
        """Return the rows for the instances."""
        return [one.to_owned_range() for one in self.items]

    def split(self, first: int, last: int) -> Holding:
        """Return a holding of exactly these keys, split from its neighbours.

        Raises
        ------
        ValueError
            If the keys belong to several holdings.
        """
        for place, one in enumerate(self.items):
            if one.first <= first and last <= one.last:
                break
        else:
            raise ValueError(f'{first}-{last} is in several holdings')
        parts = []
        if one.first < first:
            parts.append(dataclasses.replace(one, last=first - 1))
        middle = dataclasses.replace(one, first=first, last=last)
        parts.append(middle)
        if last < one.last:
            parts.append(dataclasses.replace(one, first=last + 1))
        self.items[place : place + 1] = parts
        return middle

    def merge(self, now: float) -> None:
        """Join neighbours that one upstream holds under confirmed tokens.

        The joint grant is renewed under the higher token, which is above
        all that other upstreams had for any of its keys.
        """
        merged: list[Holding] = []
        for one in self.items:
            last = merged[-1] if merged else None
            if last is not None and _can_merge(last, one, now):
                if last.fence != one.fence:
                    last.renew_at = now
                last.fence = max(last.fence, one.fence)
                last.last = one.last
                last.held_until = max(last.held_until, one.held_until)
                last.unanswered_until = max(
                    last.unanswered_until, one.unanswered_until
                )
                last.renew_at = min(last.renew_at, one.renew_at)
                last.cooldown_until = max(
                    last.cooldown_until, one.cooldown_until
                )
            else:
                merged.append(one)
        self.items = merged

    def granted_parts(
        self, first: int, last: int, fence: int
    ) -> list[Holding]:
        """Return the parts of a range that was granted under a token.

        A range may have been divided while its grant was under way.
        """
        return [
            one
            for one in self.items
            if first <= one.first and one.last <= last and one.fence == fence
        ]


def _can_merge(one: Holding, other: Holding, now: float) -> bool:
    if not one.upstream or one.upstream != other.upstream:
        return False
    if one.born_ms != other.born_ms:
        return False
    if not one.confirmed or not other.confirmed:
        return False
    if one.moving or other.moving or one.in_flight or other.in_flight:
        return False
    return one.cooldown_until <= now and other.cooldown_until <= now


class FencingTokens:
    """Fencing tokens of one tenure.

    The epoch is the offset of the tenure's record in the store. Offsets never
    restart, so each token is above those of all earlier tenures.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.number = 0

    def next(self) -> int:
        """Return a token above all earlier ones."""
        self.number += 1
        return ((self.epoch + 1) << FENCE_BITS) + self.number
