"""Faults that tests and the soak inject into the fake store."""

from __future__ import annotations

import msgspec


class StoreFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the store; none by default.

    Attributes
    ----------
    down : bool
        Whether all calls are rejected without effect.
    refused : list of str
        IP addresses whose calls are rejected without effect.
    deaf : bool
        Whether new records do not wake up waiting reads.
    past_s : float
        Age of the state that listings return, seconds.
    lose_answers : int
        Number of next appends that take effect, but whose connection is
        closed without a response.
    late_appends : int
        Number of next appends that take effect `late_s` later, if their
        condition still holds, and get no response.
    late_s : float
        Delay of late appends, seconds.
    delays : dict of str to float
        Time before a call takes effect, by path, seconds.
    """

    down: bool = False
    refused: list[str] = []
    deaf: bool = False
    past_s: float = 0.0
    lose_answers: int = 0
    late_appends: int = 0
    late_s: float = 2.0
    delays: dict[str, float] = {}
