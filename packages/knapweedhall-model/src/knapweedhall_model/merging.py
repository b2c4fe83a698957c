"""Model of two neighboring ranges that one coordinator merges and splits.

Two upstreams accept grants of the ranges, and may start again under their ID
without knowledge of what they had. Time and late grants are left out; `tenure`
covers them. The invariant is that a new holder's token is higher than all
tokens that the other upstream had for the same keys.
"""

from __future__ import annotations

import collections.abc
import typing

LOW_TOKEN = 'a token does not rise'

# Safeguards; each can be removed.
#   holder     a range needs a new token for another holder
#   merge      a range that is merged from two grants needs a new token;
#              without it, the merged range keeps the higher token of the parts
#              that need none
GUARDS = ('holder', 'merge')


class Range(typing.NamedTuple):
    """A range as the coordinator knows it.

    Attributes
    ----------
    holder : int
        Upstream to which it is granted, 1 or 2.
    token : int
        Token of its last grant; 0 before the first.
    needs_token : bool
        Whether its next grant needs a new token.
    confirmed : bool
        Whether its holder accepted a grant.
    """

    holder: int
    token: int
    needs_token: bool
    confirmed: bool


class Upstream(typing.NamedTuple):
    """An upstream; each tuple has an item for each range.

    Attributes
    ----------
    seen : tuple of int
        Highest token that its present life has seen.
    accepted : tuple of int
        Highest token that any of its lives accepted.
    """

    seen: tuple[int, int]
    accepted: tuple[int, int]


class State(typing.NamedTuple):
    """State of the coordinator and the upstreams.

    Attributes
    ----------
    grants, moves, starts : int
        How many grants, moves and new starts of upstreams are left.
    token : int
        Last token that was used.
    merged : bool
        Whether the two ranges are one; they are equal then.
    ranges : tuple of Range
        The two ranges.
    upstreams : tuple of Upstream
        Upstreams 1 and 2.
    """

    grants: int
    moves: int
    starts: int
    token: int
    merged: bool
    ranges: tuple[Range, Range]
    upstreams: tuple[Upstream, Upstream]


Guards = frozenset[str]
# Label of an action and the state that it leads to, or the invariant that it
# breaks.
Steps = collections.abc.Iterator[tuple[str, State | str]]


def initial(grants: int, moves: int, starts: int) -> State:
    """Return the state before the first grant.

    Parameters
    ----------
    grants, moves, starts : int
        Maximum number of each in one path.
    """
    new_range = Range(1, 0, True, False)
    new_upstream = Upstream((0, 0), (0, 0))
    return State(
        grants,
        moves,
        starts,
        0,
        False,
        (new_range, new_range),
        (new_upstream, new_upstream),
    )


def steps(state: State, guards: Guards) -> Steps:
    """Yield every step that is possible in a state."""
    for action in ACTIONS:
        yield from action(state, guards)


def _units(state: State) -> tuple[tuple[int, ...], ...]:
    """Return the indices of the ranges that are granted together."""
    return ((0, 1),) if state.merged else ((0,), (1,))


def _with_ranges(
    state: State, indices: tuple[int, ...], changed: Range
) -> State:
    ranges = tuple(
        changed if index in indices else each
        for index, each in enumerate(state.ranges)
    )
    return state._replace(ranges=(ranges[0], ranges[1]))


def _sent(state: State, indices: tuple[int, ...]) -> tuple[State, Range]:
    """Return the state after a grant was sent, and its range."""
    granted = state.ranges[indices[0]]
    token = state.token
    if granted.needs_token:
        token += 1
        granted = granted._replace(token=token, needs_token=False)
    sent = state._replace(grants=state.grants - 1, token=token)
    return _with_ranges(sent, indices, granted), granted


def _grant(state: State, guards: Guards) -> Steps:
    """Send a grant that its holder accepts."""
    for indices in _units(state) if state.grants else ():
        sent, granted = _sent(state, indices)
        holder = sent.upstreams[granted.holder - 1]
        other = sent.upstreams[2 - granted.holder]
        label = f'grant-{granted.holder}'
        if any(holder.seen[index] > granted.token for index in indices):
            # It is rejected, and the term ends.
            continue
        if any(other.accepted[index] >= granted.token for index in indices):
            yield label, LOW_TOKEN
            continue
        seen, accepted = list(holder.seen), list(holder.accepted)
        for index in indices:
            seen[index] = accepted[index] = granted.token
        upstreams = list(sent.upstreams)
        upstreams[granted.holder - 1] = Upstream(
            (seen[0], seen[1]), (accepted[0], accepted[1])
        )
        yield label, _with_ranges(
            sent._replace(upstreams=(upstreams[0], upstreams[1])),
            indices,
            granted._replace(confirmed=True),
        )


def _fail(state: State, guards: Guards) -> Steps:
    """Send a grant that does not arrive."""
    for indices in _units(state) if state.grants else ():
        sent, granted = _sent(state, indices)
        yield f'fail-{granted.holder}', _with_ranges(
            sent, indices, granted._replace(needs_token=True)
        )


def _move(state: State, guards: Guards) -> Steps:
    """Release a range and assign it to the other upstream."""
    if not state.moves or state.merged:
        return
    for index, moved in enumerate(state.ranges):
        assigned = moved._replace(
            holder=3 - moved.holder,
            needs_token=moved.needs_token or 'holder' in guards,
            confirmed=False,
        )
        yield f'move-{index}', _with_ranges(
            state._replace(moves=state.moves - 1), (index,), assigned
        )


def _merge(state: State, guards: Guards) -> Steps:
    """Merge the ranges if one upstream has accepted grants of both."""
    left, right = state.ranges
    if state.merged or left.holder != right.holder:
        return
    if not left.confirmed or not right.confirmed:
        return
    token = max(left.token, right.token)
    needs_token = left.needs_token or right.needs_token
    needs_token = needs_token or left.token != right.token
    if 'merge' not in guards:
        token = max(
            0 if each.needs_token else each.token for each in state.ranges
        )
        needs_token = not token
    merged = left._replace(token=token, needs_token=needs_token)
    yield 'merge', state._replace(merged=True, ranges=(merged, merged))


def _split(state: State, guards: Guards) -> Steps:
    """Split the merged ranges."""
    if state.merged:
        yield 'split', state._replace(merged=False)


def _start(state: State, guards: Guards) -> Steps:
    """Start an upstream again; its new life has seen no token."""
    if not state.starts:
        return
    for index, upstream in enumerate(state.upstreams):
        upstreams = list(state.upstreams)
        upstreams[index] = upstream._replace(seen=(0, 0))
        yield f'start-{index + 1}', state._replace(
            starts=state.starts - 1, upstreams=(upstreams[0], upstreams[1])
        )


ACTIONS = (_grant, _fail, _move, _merge, _split, _start)
