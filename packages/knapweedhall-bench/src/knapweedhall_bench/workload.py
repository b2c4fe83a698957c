"""Chooses calls and their times; the same seed gives the same calls."""

from __future__ import annotations

import hashlib
import itertools
import random
import typing


class Mix(typing.NamedTuple):
    """What callers send.

    Attributes
    ----------
    service : str
        Name of the service.
    rate : float
        Calls per second; intervals are exponential.
    length_s : float
        Time during which calls are sent, in seconds.
    keys : int
        Number of keys; 0 sends calls without a key.
    skew : float
        Exponent of the popularity of keys by rank; 0 is uniform.
    write_share : float
        Share of calls that are not idempotent (POST).
    body_bytes, answer_bytes : int
        Sizes of the bodies of writes and of all answers.
    timeout_ms : int
        Timeout that callers state.
    headers : dict of str to str
        Further headers of each call.
    """

    service: str
    rate: float
    length_s: float
    keys: int = 200
    skew: float = 0.0
    write_share: float = 0.3
    body_bytes: int = 200
    answer_bytes: int = 600
    timeout_ms: int = 5000
    headers: dict[str, str] = {}


class Call(typing.NamedTuple):
    """One call to be sent.

    Attributes
    ----------
    at_s : float
        When it is due, in seconds after the start.
    request : str
        Request id, unique in the run.
    service, method, path, key : str
        What is asked; the path begins after the service's name.
    body : bytes
        Request body.
    answer_bytes, timeout_ms : int
        Size of the answer, and timeout that the caller states.
    headers : dict of str to str
        Further headers.
    """

    at_s: float
    request: str
    service: str
    method: str
    path: str
    key: str
    body: bytes
    answer_bytes: int
    timeout_ms: int
    headers: dict[str, str]

    @property
    def idempotent(self) -> bool:
        """Whether the call may run more than once."""
        return self.method == 'GET'


def key_weights(keys: int, skew: float) -> list[float]:
    """Return cumulative weights of keys by rank."""
    weights = ((rank + 1) ** -skew for rank in range(keys))
    return list(itertools.accumulate(weights))


def generate(
    mix: Mix, random_numbers: random.Random, prefix: str = 'r'
) -> typing.Iterator[Call]:
    """Return the calls in the order of their times.

    Parameters
    ----------
    mix : Mix
        What callers send.
    random_numbers : random.Random
        Source of all choices.
    prefix : str
        Start of the request ids.
    """
    weights = key_weights(mix.keys, mix.skew)
    at_s = 0.0
    for number in itertools.count():
        at_s += random_numbers.expovariate(mix.rate)
        if at_s >= mix.length_s:
            return
        writes = random_numbers.random() < mix.write_share
        rank = (
            random_numbers.choices(range(mix.keys), cum_weights=weights)[0]
            if mix.keys
            else None
        )
        yield Call(
            at_s=at_s,
            request=f'{prefix}-{number}',
            service=mix.service,
            method='POST' if writes else 'GET',
            path=f'/items/{number}?page={number % 7}',
            key='' if rank is None else f'key-{rank}',
            body=random_numbers.randbytes(mix.body_bytes) if writes else b'',
            answer_bytes=mix.answer_bytes,
            timeout_ms=mix.timeout_ms,
            headers=mix.headers,
        )


def expected_answer(call: Call) -> bytes:
    """Return the answer that only this call must get.

    The rule is stated in docs/platform-protocol.md.
    """
    parts = (
        call.method,
        call.path,
        call.key,
        hashlib.sha256(call.body).hexdigest(),
        call.request,
    )
    digest = hashlib.shake_256('\n'.join(parts).encode())
    text = digest.hexdigest((call.answer_bytes + 1) // 2)
    return text[: call.answer_bytes].encode()
