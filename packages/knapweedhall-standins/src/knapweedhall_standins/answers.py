"""Answers that a caller can compute itself and compare."""

from __future__ import annotations

import hashlib
import typing

DEFAULT_BYTES = 64
MAX_BYTES = 64 * 1024 * 1024


class Work(typing.NamedTuple):
    """Content of one request.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path and query, without a leading part that names the service.
    key : str
        Key, '' if the request has none.
    body_sha256 : str
        Hexadecimal SHA-256 of the request body.
    request : str
        Request id.
    size : int
        Bytes of the answer.
    """

    method: str
    path: str
    key: str
    body_sha256: str
    request: str
    size: int


def answer_body(work: Work) -> bytes:
    """Return the answer: hexadecimal SHAKE-256 of the request's content."""
    parts = (
        work.method,
        work.path,
        work.key,
        work.body_sha256,
        work.request,
    )
    digest = hashlib.shake_256('\n'.join(parts).encode())
    return digest.hexdigest((work.size + 1) // 2)[: work.size].encode()


def strip_service(path: str, service: str) -> str:
    """Return the path without the service's name in front.

    The answer is the same whether the router keeps or removes that name.
    """
    prefix = f'/{service}/'
    return path[len(prefix) - 1 :] if path.startswith(prefix) else path
