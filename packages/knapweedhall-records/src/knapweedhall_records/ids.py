"""Identifiers of instances, terms and fencing tokens."""

from __future__ import annotations

import typing

EPOCH_BITS = 32


class InstanceId(typing.NamedTuple):
    """Identity of one run of an entry process.

    Attributes
    ----------
    name : str
        Name from the settings, the same after a restart.
    incarnation : int
        Start time in microseconds of the wall clock; differs for each run.
    """

    name: str
    incarnation: int


class Term(typing.NamedTuple):
    """Number of one tenure of a group's coordinator; compared as a tuple."""

    electors_version: int
    epoch: int

    def encode(self) -> int:
        """Return the term as one integer that keeps the order."""
        return (self.electors_version << EPOCH_BITS) | self.epoch

    @classmethod
    def decode(cls, number: int) -> Term:
        """Return the term that `encode` turned into `number`."""
        return cls(number >> EPOCH_BITS, number & ((1 << EPOCH_BITS) - 1))


class Token(typing.NamedTuple):
    """Fencing token of one activation of a slice; compared as a tuple.

    Attributes
    ----------
    term : int
        Encoded `Term` of the coordinator that activated the slice.
    sequence : int
        Number of the activation within the term, from 1.
    """

    term: int
    sequence: int

    def __str__(self) -> str:
        return f'{self.term}.{self.sequence}'

    @classmethod
    def parse(cls, text: str) -> Token:
        """Return the token that `str` turned into `text`.

        Raises
        ------
        ValueError
            If `text` is not two decimal numbers joined by a full stop.
        """
        term, _, sequence = text.partition('.')
        if not (term.isdecimal() and sequence.isdecimal()):
            raise ValueError(f'not a token: {text!r}')
        return cls(int(term), int(sequence))
