"""Plans: which upstream owns each slice, and who succeeds it."""

from __future__ import annotations

import typing

from knapweedhall_records import bodies

SUCCESSORS = 2
PLAN_CHUNK = 4096


class Candidate(typing.NamedTuple):
    """An upstream that can own slices.

    Attributes
    ----------
    name : str
        Name of the upstream.
    failure_domain : str
        Its failure domain.
    weight : float
        Its share of the slices relative to the others, above 0.
    """

    name: str
    failure_domain: str
    weight: float = 1.0


def make_plan(
    slices: int,
    upstreams: typing.Sequence[Candidate],
    previous: bodies.Plan | None = None,
    successors: int = SUCCESSORS,
    same_domain: bool = False,
    pinned: typing.Collection[int] = (),
) -> bodies.Plan:
    """Return a plan that moves as few slices as possible.

    Parameters
    ----------
    slices : int
        Number of slices.
    upstreams : sequence of Candidate
        Upstreams that are to own slices, at least one.
    previous : bodies.Plan or None
        Plan in force.
    successors : int
        Named successors per slice, fewer if there are not enough upstreams.
    same_domain : bool
        Whether successors have to be in the owner's failure domain, as for
        `stay` services.
    pinned : collection of int
        Slices that keep their owner while it is among `upstreams`, as those
        whose move between groups is not complete.

    Raises
    ------
    ValueError
        If there is no upstream.
    """
    raise NotImplementedError


def divide(service: str, plan: bodies.Plan) -> dict[str, bodies.Plan]:
    """Return the plan's chunks by record name; hot keys are in the first."""
    raise NotImplementedError


def join(chunks: typing.Mapping[int, bodies.Plan]) -> bodies.Plan:
    """Return the plan of chunks by their first slice."""
    raise NotImplementedError


def moved(previous: bodies.Plan, plan: bodies.Plan) -> list[int]:
    """Return the slices whose owners differ."""
    raise NotImplementedError
