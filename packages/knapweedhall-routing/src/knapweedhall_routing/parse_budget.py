"""Limits on what parsing the response to one request may take."""

from __future__ import annotations

# Limit of what an upstream sends for one response besides its body: heads,
# late responses to other requests, and framing such as chunk extensions. Bytes
# that are received and not yet parsed (one read) count too.
MAX_OVERHEAD_BYTES = 128 * 1024
# Part of that limit which the framing of chunked bodies may use.
MAX_FRAMING_BYTES = 32 * 1024
# Both limits grow by this share of the body, so that a body in chunks of 60
# bytes or more has no other limit than its size.
MAX_FRAMING_SHARE = 0.125
# Limit of empty lines before a head. Some servers end a body with one.
MAX_EMPTY_LINE_BYTES = 1024
# Limit of the parts that are parsed one by one: heads, also of interim
# responses, and what single packets contain.
MAX_PARTS = 2500
# The limit grows with the body, for upstreams that send it in small packets.
BODY_BYTES_PER_PART = 64


class ParseBudget:
    """Decides when a response takes too much parsing.

    It answers upstreams that send bytes without end that take far longer to
    parse than to transfer: empty lines, interim responses, tiny chunks, and
    tiny packets. A limit of bytes alone would let a few such responses per
    second take a whole processor.

    Attributes
    ----------
    received_bytes : int
        All bytes received for the response.
    empty_line_bytes : int
        Bytes of empty lines before heads.
    framing_bytes : int
        Bytes received within chunked bodies that are none of the bodies.
    parts : int
        Number of parts that were parsed one by one.
    """

    def __init__(self) -> None:
        self.received_bytes = 0
        self.empty_line_bytes = 0
        self.framing_bytes = 0
        self.parts = 0

    def add_empty_lines(self, size: int) -> None:
        """Count bytes of empty lines before a head."""
        self.received_bytes += size
        self.empty_line_bytes += size

    def add_part(self, size: int) -> None:
        """Count a part that is parsed on its own, in bytes."""
        self.received_bytes += size
        self.parts += 1

    def add_framing(self, size: int) -> None:
        """Count bytes of a chunked body's framing.

        Parameters
        ----------
        size : int
            Number of bytes; negative if bytes that were counted before turn
            out to belong to the body.
        """
        self.framing_bytes += size

    def find_excess(self, body_bytes: int, is_behind: bool = False) -> str:
        """Return the name of the limit that is exceeded; '' for none.

        Parameters
        ----------
        body_bytes : int
            Bytes of the response's body that were parsed.
        is_behind : bool
            Whether bytes of the body are counted as framing, as they are not
            parsed yet.
        """
        if self.empty_line_bytes > MAX_EMPTY_LINE_BYTES:
            return 'too-many-empty-lines'
        if self.parts > MAX_PARTS + body_bytes // BODY_BYTES_PER_PART:
            return 'too-many-parts'
        share_bytes = body_bytes * MAX_FRAMING_SHARE
        max_framing_bytes = MAX_FRAMING_BYTES + share_bytes
        if self.framing_bytes > max_framing_bytes and not is_behind:
            return 'too-much-framing'
        overhead_bytes = self.received_bytes - body_bytes
        if overhead_bytes > MAX_OVERHEAD_BYTES + share_bytes:
            return 'too-many-bytes'
        return ''
