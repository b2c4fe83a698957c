"""Numbers of the slices that keys belong to."""

from __future__ import annotations

import xxhash

HASH_BITS = 64
# Slice numbers of hot keys start above those of all plain slices.
FIRST_HOT_SLICE = 65536
HOT_SLICES = 2**20


def hash_text(text: str) -> int:
    """Return xxhash64 of a text in UTF-8, seed 0."""
    return xxhash.xxh64_intdigest(text.encode())


def slice_of(key: str, slices: int) -> int:
    """Return the number of the hash range that a key falls in.

    Parameters
    ----------
    key : str
        Key of a request.
    slices : int
        Number of slices of the service, a power of two.

    Returns
    -------
    int
        Slice number, from 0 to `slices` - 1. Slices are equal ranges of
        xxhash64 with seed 0.
    """
    return (hash_text(key) * slices) >> HASH_BITS


def hot_slice_of(key: str) -> int:
    """Return the slice number that a key has while it is a hot key."""
    return FIRST_HOT_SLICE + hash_text(key) % HOT_SLICES


def is_hot(slice_number: int) -> bool:
    """Return whether a slice number belongs to a hot key."""
    return slice_number >= FIRST_HOT_SLICE
