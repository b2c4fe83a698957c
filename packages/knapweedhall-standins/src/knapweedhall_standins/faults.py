"""Faults of the stand-in store that tests and the soak set."""

from __future__ import annotations

import msgspec


class StoreFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What the store does wrong.

    Attributes
    ----------
    down : bool
        Whether calls are refused without effect.
    refused : list of str
        IP addresses whose calls are refused without effect.
    deaf : bool
        Whether waiting reads are not woken by changes.
    past_s : float
        Age of what listings show, seconds.
    lose_answers : int
        Appends that take effect and are then answered by a reset.
    late_appends : int
        Appends that get no answer and take effect `late_s` later, if their
        condition still holds.
    late_s : float
        Delay of these appends, seconds.
    delays : dict of str to float
        Time until a call takes effect, by path, seconds.
    """

    down: bool = False
    refused: list[str] = []
    deaf: bool = False
    past_s: float = 0.0
    lose_answers: int = 0
    late_appends: int = 0
    late_s: float = 2.0
    delays: dict[str, float] = {}
