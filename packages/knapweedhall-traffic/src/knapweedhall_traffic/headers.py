"""Rules for the headers of requests and answers that pass through."""

from __future__ import annotations

import typing
import urllib.parse

RawHeaders = typing.Sequence[tuple[bytes, bytes]]
HeaderList = list[tuple[bytes, bytes]]

KEY = b'knapweedhall-key'
REQUEST_ID = b'knapweedhall-request-id'
TIMEOUT_MS = b'knapweedhall-timeout-ms'
CLOCK_MS = b'knapweedhall-clock-ms'
INCARNATION = b'knapweedhall-incarnation'
UPSTREAM_COLD = b'knapweedhall-upstream-cold'
NOT_RUN = b'knapweedhall-not-run'
REASON = b'knapweedhall-reason'
OUTCOME = b'knapweedhall-outcome'
OWNER = b'knapweedhall-owner'
CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
CONNECTION = b'connection'

# All headers of this prefix are set by the system itself, so a caller can
# neither present a token or a deadline nor fake an outcome.
INTERNAL_PREFIX = b'knapweedhall-'
HOP_BY_HOP = frozenset(
    (
        CONNECTION,
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        TRANSFER_ENCODING,
        b'upgrade',
        b'expect',
        b'http2-settings',
    )
)
# Set again by the sender from the length that it knows.
FRAMING = frozenset((CONTENT_LENGTH, TRANSFER_ENCODING))
DROPPED = HOP_BY_HOP | FRAMING
# These describe the message itself, so naming them in Connection is an
# attempt to make the next hop read the message differently.
NEVER_HOP_BY_HOP = frozenset((CONTENT_LENGTH, b'host', KEY))

# The blanks of HTTP; bytes.strip without them also takes vertical tabs.
BLANKS = b' \t'
MAX_KEY_LENGTH = 256
MAX_REQUEST_ID_LENGTH = 128
RESERVED_SEGMENT = 'knapweedhall'
BODILESS_STATUS = frozenset((204, 304))


class Malformed(typing.NamedTuple):
    """Why a request is refused as malformed."""

    reason: str


class Index(typing.NamedTuple):
    """Headers of one message by lower-case name.

    Attributes
    ----------
    first : dict of bytes to bytes
        First value of each header.
    repeated : frozenset of bytes
        Names that occur more than once.
    """

    first: dict[bytes, bytes]
    repeated: frozenset[bytes]


_NONE_REPEATED: frozenset[bytes] = frozenset()


def index(raw: RawHeaders) -> Index:
    """Return the headers of a message by lower-case name."""
    first = {name.lower(): value for name, value in raw}
    if len(first) == len(raw):
        return Index(first, _NONE_REPEATED)
    first.clear()
    repeated = set()
    for name, value in raw:
        lower = name.lower()
        if lower in first:
            repeated.add(lower)
        else:
            first[lower] = value
    return Index(first, frozenset(repeated))


def connection_tokens(value: bytes) -> frozenset[bytes]:
    """Return the lower-case names that a Connection header lists."""
    return frozenset(
        token
        for part in value.lower().split(b',')
        if (token := part.strip(BLANKS))
    )


def _connection_names(raw: RawHeaders, found: Index) -> frozenset[bytes]:
    if CONNECTION not in found.first:
        return _NONE_REPEATED
    names: frozenset[bytes] = frozenset()
    for name, value in raw:
        if name.lower() == CONNECTION:
            names |= connection_tokens(value)
    return names


def check_framing(raw: RawHeaders, found: Index) -> Malformed | None:
    """Return why the length of a message is ambiguous, or None.

    Two servers that disagree on where a message ends can be made to see
    different requests (request smuggling), so everything ambiguous is
    refused.
    """
    first = found.first
    if _has_bad_name(first):
        return Malformed('header-name')
    if found.repeated & (FRAMING | {b'host', KEY, TIMEOUT_MS}):
        return Malformed('repeated-header')
    length = first.get(CONTENT_LENGTH)
    coding = first.get(TRANSFER_ENCODING)
    if length is not None:
        if coding is not None:
            return Malformed('length-and-transfer-encoding')
        if not length.isdigit():
            return Malformed('content-length')
    if coding is not None and coding.strip(BLANKS).lower() != b'chunked':
        return Malformed('transfer-encoding')
    if CONNECTION in first:
        if _connection_names(raw, found) & NEVER_HOP_BY_HOP:
            return Malformed('connection-names')
    return None


def _has_bad_name(first: dict[bytes, bytes]) -> bool:
    # Servers that hand headers to programs as variables take an underscore
    # for a hyphen, so Content_Length or Knapweedhall_Token would pass as
    # the header that was checked or dropped. One search over all names is
    # cheaper than one per name.
    names = b'\n'.join(first)
    if b' ' in names or b'\t' in names or b'' in first:
        return True
    if b'_' not in names:
        return False
    return any(
        plain in DROPPED or plain.startswith(INTERNAL_PREFIX)
        for name in first
        if b'_' in name and (plain := name.replace(b'_', b'-'))
    )


def is_key(value: bytes) -> bool:
    """Return whether a key has 1 to 256 printable ASCII characters."""
    return (
        0 < len(value) <= MAX_KEY_LENGTH
        and value.isascii()
        and value.decode('ascii').isprintable()
    )


def is_request_id(value: bytes) -> bool:
    """Return whether a caller's request id can be passed on."""
    return (
        0 < len(value) <= MAX_REQUEST_ID_LENGTH
        and value.isascii()
        and value.decode('ascii').isprintable()
    )


def split_path(target: str) -> tuple[str, str] | Malformed:
    """Split a request target into the service and the rest.

    Parameters
    ----------
    target : str
        Raw path with query, as received.

    Returns
    -------
    tuple of str or Malformed
        Name of the service, and the target for the upstream. Refused are
        absolute forms, dot segments, and paths that lead to the upstream's
        own control calls under `/knapweedhall`, also when percent-encoded.
    """
    if not target.startswith('/'):
        return Malformed('request-target')
    path, mark, query = target.partition('?')
    service, _, rest = path[1:].partition('/')
    if not service:
        return Malformed('request-target')
    plain = rest
    if '%' in plain:
        plain = urllib.parse.unquote(plain)
    if _is_reserved(plain):
        return Malformed('reserved-path')
    return service, f'/{rest}{mark}{query}'


def _is_reserved(path: str) -> bool:
    if '\\' in path or '\0' in path or '#' in path:
        return True
    segments = [part.partition(';')[0] for part in path.split('/')]
    if '.' in segments or '..' in segments:
        return True
    named = next((part for part in segments if part), '')
    return named.lower() == RESERVED_SEGMENT


def forwarded(raw: RawHeaders, found: Index) -> HeaderList:
    """Return the headers that are passed on to the next hop.

    Hop-by-hop headers, those that Connection names, framing headers and all
    internal headers are left out.
    """
    named = _connection_names(raw, found)
    return [
        (name, value)
        for name, value in raw
        if (lower := name.lower()) not in DROPPED
        and not lower.startswith(INTERNAL_PREFIX)
        and lower not in named
    ]


def response_has_body(method: str, status: int) -> bool:
    """Return whether an answer may have a body."""
    return method != 'HEAD' and status not in BODILESS_STATUS


def has_known_end(method: str, status: int, found: Index) -> bool:
    """Return whether the end of an answer's body can be recognized.

    A body that ends when the connection closes looks complete when its
    sender dies, so it can't be passed on as a complete answer.
    """
    if not response_has_body(method, status):
        return True
    return (
        CONTENT_LENGTH in found.first
        or found.first.get(TRANSFER_ENCODING, b'').lower() == b'chunked'
    )
