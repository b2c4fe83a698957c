"""Reads record files and fills in the envelope fields that they omit."""

from __future__ import annotations

import argparse
import getpass
import pathlib
import time
import typing

import msgspec

from knapweedhall_records import bodies
from knapweedhall_records import codec
from knapweedhall_records import errors

Draft = dict[str, typing.Any]


class Author(typing.NamedTuple):
    """Identity of the author of a record; a repeated append keeps it.

    Attributes
    ----------
    writer : str
        Name of the operator.
    incarnation : int
        Start of this command, in microseconds since the Unix epoch.
    number : int
        Number of the record within the run of the command.
    """

    writer: str
    incarnation: int
    number: int = 1


def author_of(arguments: argparse.Namespace) -> Author:
    """Return the author that the arguments name, for a new run."""
    writer = arguments.writer or getpass.getuser()
    return Author(writer, time.time_ns() // 1000)


def read(path: pathlib.Path) -> Draft | errors.Refusal:
    """Return the JSON object of a record file, or why it is rejected."""
    try:
        draft = msgspec.json.decode(path.read_bytes(), type=Draft)
    except OSError as error:
        return errors.MalformedRecord(str(error), 'name a readable file')
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        return errors.MalformedRecord(
            f'{path}: {error}', 'write the record as one JSON object'
        )
    return draft


def complete(draft: Draft, in_force: int, author: Author) -> Draft:
    """Return the draft with the absent envelope fields filled in.

    Parameters
    ----------
    draft : dict
        Fields from the file; those that are present are kept.
    in_force : int
        Version of this record that is in force, 0 for none.
    author : Author
        Source of the writer, incarnation and number if they are absent.
    """
    replaces = draft.get('replaces', in_force)
    if not isinstance(replaces, int):
        return {**author._asdict(), 'version': 1, **draft}
    return {
        **author._asdict(),
        'version': replaces + 1,
        **draft,
        'replaces': replaces,
    }


def check(draft: Draft) -> bodies.Record | errors.Refusal:
    """Return the decoded record, or why it is rejected."""
    return codec.decode(msgspec.json.encode(draft))
