"""Model of one key range, two upstreams and successive coordinators.

The store names one coordinator at a time, whose membership ends unless it is
renewed. The time of one process as coordinator is a term and has an epoch as
its number. Processes may pause before any step, because no step is forced;
time passes only by the action `tick`. Deadlines are timers that count down, in
ticks, so that equal situations at different times are one state.

An upstream holds the range while its timer is above zero. The invariants are
that two upstreams never hold the range at the same time, and that a new
holder's token is higher than that of the other upstream.
"""

from __future__ import annotations

import collections.abc
import typing

TWO_HOLDERS = 'two holders'
LOW_TOKEN = 'a token does not rise'

# Safeguards; each can be removed.
#   fence      upstreams reject grants with a lower token than the highest one
#              they have seen
#   record     a new holder is recorded in the store before it is sent a grant
#   wait       the range is reassigned only after its grants have expired
#   answered   a release counts only if no grant is unanswered
#   evidence   renewals without the store need recent reports of a majority
#   left       the wait for earlier coordinators ends early only some time
#              after the majority connected to the new one: when its reports to
#              earlier ones are no longer recent and their grants have expired
#   lease      a term ends with its membership, even if the store names the
#              same instance again
GUARDS = ('fence', 'record', 'wait', 'answered', 'evidence', 'left', 'lease')


class Bounds(typing.NamedTuple):
    """Constants of one exploration.

    Attributes
    ----------
    membership : int
        Length of a coordinator's membership, in ticks.
    blind : int
        Time for which a coordinator renews grants after its membership has
        ended, without the store, in ticks.
    hold : int
        Length of a grant, in ticks.
    way : int
        Longest transmission of a grant, in ticks.
    epochs : int
        Epoch of the last term.
    guards : frozenset of str
        Safeguards that are in place, from `GUARDS`.
    """

    membership: int
    blind: int
    hold: int
    way: int
    epochs: int
    guards: frozenset[str]


class Store(typing.NamedTuple):
    """What the store contains.

    Attributes
    ----------
    epoch : int
        Epoch of the last term.
    membership : int
        Time left of its coordinator's membership, in ticks.
    holder : int
        Recorded holder of the range, 1 or 2.
    """

    epoch: int
    membership: int
    holder: int


class Coordinator(typing.NamedTuple):
    """A coordinator during one term.

    Attributes
    ----------
    epoch, number : int
        Its token.
    holder : int
        Upstream to which it grants the range, 1 or 2.
    membership : int
        Time left of its membership as it counts it, in ticks.
    blind : int
        Time left for renewals after that, in ticks.
    wait : int
        Time left of the wait for earlier coordinators, in ticks.
    granted : int
        Time until all of its grants have expired, in ticks.
    unanswered : int
        Time until its unanswered grants have expired, in ticks.
    evidence : int
        Time for which the majority's reports are recent, in ticks.
    released : bool
        Whether the holder released the range.
    answered : bool
        Whether the holder answered a grant of this term.
    """

    epoch: int
    number: int
    holder: int
    membership: int
    blind: int
    wait: int
    granted: int
    unanswered: int
    evidence: int
    released: bool
    answered: bool


class Upstream(typing.NamedTuple):
    """An upstream.

    Attributes
    ----------
    epoch, number : int
        Highest token that it has seen.
    hold : int
        Time for which it still holds the range, in ticks.
    """

    epoch: int
    number: int
    hold: int


class Grant(typing.NamedTuple):
    """A grant on its way, or one that arrived and is applied later.

    Attributes
    ----------
    arrived : bool
        Whether it has arrived.
    upstream : int
        Its addressee, 1 or 2.
    epoch, number : int
        Its token.
    left : int
        Longest remaining transmission before the arrival; after it the
        remaining duration of the grant, which counts from the arrival. In
        ticks.
    """

    arrived: bool
    upstream: int
    epoch: int
    number: int
    left: int


class State(typing.NamedTuple):
    """State of the whole system.

    Attributes
    ----------
    ticks, grants, moves : int
        How many of each are left.
    majority : int
        Epoch of the coordinator that the majority is connected to.
    store : Store
        The store.
    coordinators : tuple of Coordinator
        Coordinators by rising epoch; an earlier one may still be running.
    upstreams : tuple of Upstream
        Upstreams 1 and 2.
    transit : tuple of Grant
        Grants that are not applied, sorted; equal ones may occur repeatedly.
    """

    ticks: int
    grants: int
    moves: int
    majority: int
    store: Store
    coordinators: tuple[Coordinator, ...]
    upstreams: tuple[Upstream, Upstream]
    transit: tuple[Grant, ...]


# Label of an action and the state that it leads to, or the invariant that it
# breaks.
Step = tuple[str, State | str]
Steps = collections.abc.Iterator[Step]


def initial(ticks: int, grants: int, moves: int) -> State:
    """Return the state before the first term.

    Parameters
    ----------
    ticks, grants, moves : int
        Maximum number of each in one path.
    """
    nothing = Upstream(0, 0, 0)
    return State(
        ticks, grants, moves, 0, Store(0, 0, 1), (), (nothing, nothing), ()
    )


def steps(state: State, bounds: Bounds) -> Steps:
    """Yield every step that is possible in a state."""
    for action in ACTIONS:
        yield from action(state, bounds)
    for index, coordinator in enumerate(state.coordinators):
        for decision in DECISIONS:
            yield from decision(state, bounds, index, coordinator)


def _less(left: int) -> int:
    return left - 1 if left else 0


def _tick(state: State, bounds: Bounds) -> Steps:
    """Let time pass for all timers."""
    if not state.ticks:
        return
    epoch, membership, holder = state.store
    yield 'tick', State(
        state.ticks - 1,
        state.grants,
        state.moves,
        state.majority,
        Store(epoch, _less(membership), holder),
        tuple(map(_tick_coordinator, state.coordinators)),
        (
            _tick_upstream(state.upstreams[0]),
            _tick_upstream(state.upstreams[1]),
        ),
        tuple(
            Grant(arrived, upstream, epoch, number, left - 1)
            for arrived, upstream, epoch, number, left in state.transit
            # A grant that is late is lost, one that has expired has no effect.
            if left > arrived
        ),
    )


def _tick_coordinator(coordinator: Coordinator) -> Coordinator:
    return Coordinator(
        coordinator.epoch,
        coordinator.number,
        coordinator.holder,
        _less(coordinator.membership),
        (
            coordinator.blind
            if coordinator.membership
            else _less(coordinator.blind)
        ),
        _less(coordinator.wait),
        _less(coordinator.granted),
        _less(coordinator.unanswered),
        _less(coordinator.evidence),
        coordinator.released,
        coordinator.answered,
    )


def _tick_upstream(upstream: Upstream) -> Upstream:
    return Upstream(upstream.epoch, upstream.number, _less(upstream.hold))


def _elect(state: State, bounds: Bounds) -> Steps:
    """Begin a term; its coordinator knows only what the store contains."""
    epoch, membership, holder = state.store
    if membership or epoch >= bounds.epochs:
        return
    earlier = bounds.blind + bounds.way + bounds.hold
    coordinator = Coordinator(
        epoch + 1,
        0,
        holder,
        bounds.membership,
        bounds.blind,
        earlier if epoch else 0,
        0,
        0,
        0,
        False,
        False,
    )
    yield 'elect', state._replace(
        store=Store(epoch + 1, bounds.membership, holder),
        coordinators=(*state.coordinators, coordinator),
    )


def _arrive(state: State, bounds: Bounds) -> Steps:
    """Deliver a grant; it is applied at once or later."""
    for index, grant in enumerate(state.transit):
        if grant.arrived:
            continue
        delivered = grant._replace(arrived=True, left=bounds.hold)
        yield 'arrive', state._replace(
            transit=_added(_without(state.transit, index), delivered)
        )


def _take(state: State, bounds: Bounds) -> Steps:
    """Apply a grant, unless its token is lower than one seen before."""
    for index, grant in enumerate(state.transit):
        if not grant.arrived:
            continue
        token = (grant.epoch, grant.number)
        if grant.upstream == 1:
            taker, other = state.upstreams
        else:
            other, taker = state.upstreams
        if 'fence' in bounds.guards and taker[:2] > token:
            continue
        label = f'take-{grant.upstream}'
        if other.hold > 0:
            yield label, TWO_HOLDERS
        elif token <= other[:2]:
            yield label, LOW_TOKEN
        else:
            taken = Upstream(grant.epoch, grant.number, grant.left)
            yield label, state._replace(
                upstreams=(
                    (taken, other) if grant.upstream == 1 else (other, taken)
                ),
                transit=_without(state.transit, index),
            )


def _join(
    state: State, bounds: Bounds, index: int, coordinator: Coordinator
) -> Steps:
    """Let the current coordinator renew its membership."""
    if coordinator.epoch != state.store.epoch or not state.ticks:
        return
    if coordinator.membership >= bounds.membership:
        return
    yield 'join', _changed(
        state._replace(
            store=state.store._replace(membership=bounds.membership)
        ),
        index,
        coordinator._replace(membership=bounds.membership, blind=bounds.blind),
    )


def _revive(
    state: State, bounds: Bounds, index: int, coordinator: Coordinator
) -> Steps:
    """Name the instance of an earlier term again.

    It continues that term with its old tokens. Its writes fail, because the
    log has a later record.
    """
    if 'lease' in bounds.guards or state.store.membership:
        return
    if coordinator.epoch >= state.store.epoch or coordinator.membership:
        return
    yield 'revive', _changed(
        state._replace(
            store=state.store._replace(membership=bounds.membership)
        ),
        index,
        coordinator._replace(membership=bounds.membership, blind=bounds.blind),
    )


def _hear(
    state: State, bounds: Bounds, index: int, coordinator: Coordinator
) -> Steps:
    """Let the majority report to its coordinator."""
    if coordinator.epoch == state.majority and not coordinator.evidence:
        yield 'hear', _changed(state, index, coordinator._replace(evidence=1))


def _change(
    state: State, bounds: Bounds, index: int, coordinator: Coordinator
) -> Steps:
    """Let the majority connect to a later coordinator."""
    if coordinator.epoch <= state.majority:
        return
    left = bounds.way
    if 'left' in bounds.guards:
        left += 1 + bounds.hold
    yield 'change', _changed(
        state._replace(majority=coordinator.epoch),
        index,
        coordinator._replace(wait=min(coordinator.wait, left)),
    )


def _grant(
    state: State, bounds: Bounds, index: int, coordinator: Coordinator
) -> Steps:
    """Send a grant under the current token.

    The first grant of a term requires the membership.
    """
    if not state.grants or coordinator.released:
        return
    if not coordinator.membership:
        has_majority = coordinator.evidence or 'evidence' not in bounds.guards
        if not (coordinator.blind and has_majority and coordinator.number):
            return
    number = coordinator.number or 1
    longest = bounds.hold + bounds.way
    yield 'grant', _changed(
        state._replace(
            grants=state.grants - 1,
            transit=_added(
                state.transit,
                Grant(
                    False,
                    coordinator.holder,
                    coordinator.epoch,
                    number,
                    bounds.way,
                ),
            ),
        ),
        index,
        coordinator._replace(
            number=number, granted=longest, unanswered=longest
        ),
    )


def _confirm(
    state: State, bounds: Bounds, index: int, coordinator: Coordinator
) -> Steps:
    """Let the holder answer a grant of this term.

    It rejects earlier tokens from now on, and no grant is unanswered. A
    release is sent only when no grant is in flight, so no answer arrives after
    it.
    """
    if coordinator.released:
        return
    holder = state.upstreams[coordinator.holder - 1]
    if holder[:2] != coordinator[:2]:
        return
    if coordinator.answered and not coordinator.unanswered:
        return
    if any(
        grant.upstream == coordinator.holder
        and grant.epoch == coordinator.epoch
        for grant in state.transit
    ):
        return
    yield f'confirm-{coordinator.holder}', _changed(
        state, index, coordinator._replace(unanswered=0, answered=True)
    )


def _release(
    state: State, bounds: Bounds, index: int, coordinator: Coordinator
) -> Steps:
    """End the hold; the highest token that the upstream has seen stays."""
    if coordinator.released or not state.moves or not coordinator.membership:
        return
    upstreams = list(state.upstreams)
    holder = upstreams[coordinator.holder - 1]
    upstreams[coordinator.holder - 1] = holder._replace(hold=0)
    yield f'release-{coordinator.holder}', _changed(
        state._replace(upstreams=(upstreams[0], upstreams[1])),
        index,
        coordinator._replace(released=True),
    )


def _move(
    state: State, bounds: Bounds, index: int, coordinator: Coordinator
) -> Steps:
    """Move the range once it is known that its holder has lost it."""
    if not state.grants or not state.moves or not coordinator.membership:
        return
    if coordinator.epoch != state.store.epoch:
        return
    if not _is_free(coordinator, bounds):
        return
    holder = 3 - coordinator.holder
    number = coordinator.number + 1
    longest = bounds.hold + bounds.way
    store = state.store
    if 'record' in bounds.guards:
        store = store._replace(holder=holder)
    yield 'move', _changed(
        state._replace(
            grants=state.grants - 1,
            moves=state.moves - 1,
            store=store,
            transit=_added(
                state.transit,
                Grant(False, holder, coordinator.epoch, number, bounds.way),
            ),
        ),
        index,
        coordinator._replace(
            number=number,
            holder=holder,
            wait=0,
            granted=longest,
            unanswered=longest,
            released=False,
            answered=False,
        ),
    )


def _is_free(coordinator: Coordinator, bounds: Bounds) -> bool:
    if 'wait' not in bounds.guards:
        return True
    if not coordinator.granted and not coordinator.wait:
        return True
    if not coordinator.released:
        return False
    if coordinator.unanswered and 'answered' in bounds.guards:
        return False
    return coordinator.answered or not coordinator.wait


def _changed(state: State, index: int, coordinator: Coordinator) -> State:
    coordinators = list(state.coordinators)
    coordinators[index] = coordinator
    return state._replace(coordinators=tuple(coordinators))


def _added(transit: tuple[Grant, ...], grant: Grant) -> tuple[Grant, ...]:
    return tuple(sorted((*transit, grant)))


def _without(transit: tuple[Grant, ...], index: int) -> tuple[Grant, ...]:
    return transit[:index] + transit[index + 1 :]


ACTIONS = (_tick, _elect, _arrive, _take)
DECISIONS = (
    _join,
    _revive,
    _hear,
    _change,
    _grant,
    _confirm,
    _release,
    _move,
)
