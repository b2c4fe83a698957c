"""Encodes, authenticates and decodes the messages between instances."""

from __future__ import annotations

import hashlib
import hmac
import typing

import msgspec

from knapweedhall_peering import errors
from knapweedhall_records import ids

MAX_MESSAGE_BYTES = 65536
MAC_BYTES = 16
MIN_KEY_BYTES = 16
# BLAKE2b accepts no longer key.
MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE

Kinds = typing.Mapping[str, type]


class Envelope(typing.NamedTuple):
    """One message on the wire, behind its MAC.

    Attributes
    ----------
    sender, incarnation : str, int
        Identity of the sending process.
    receiver : str
        Name of the instance it is meant for; keeps a recorded message from
        being accepted by another instance.
    kind : str
        Name of the body's type.
    sequence : int
        Number of the message from this sender to this receiver, from 1.
    body : msgspec.Raw
        Encoded body.
    """

    sender: str
    incarnation: int
    receiver: str
    kind: str
    sequence: int
    body: msgspec.Raw


class Received(typing.NamedTuple):
    """One accepted message; `body` has the type that `kind` names."""

    sender: ids.InstanceId
    receiver: str
    kind: str
    sequence: int
    body: typing.Any


class Codec:
    """Turns bodies into authenticated bytes and back.

    Parameters
    ----------
    key : bytes
        Secret that all instances share, 16 to 64 bytes.
    kinds : mapping of str to type
        Types of the bodies by kind; each a ``typing.NamedTuple``.
    """

    def __init__(self, key: bytes, kinds: Kinds) -> None:
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(
                f'the key has {len(key)} bytes; '
                f'use {MIN_KEY_BYTES} to {MAX_KEY_BYTES}'
            )
        self.key = key
        self.kind_names = {kind: name for name, kind in kinds.items()}
        self.decoders: dict[str, msgspec.msgpack.Decoder[typing.Any]] = {
            name: msgspec.msgpack.Decoder(kind) for name, kind in kinds.items()
        }
        self.envelopes = msgspec.msgpack.Decoder(Envelope)
        self.encoder = msgspec.msgpack.Encoder()

    def encode(
        self,
        sender: ids.InstanceId,
        receiver: str,
        sequence: int,
        body: typing.Any,
    ) -> bytes | errors.Dropped:
        """Return the bytes of a message, or why it cannot be sent.

        Raises
        ------
        KeyError
            If the type of `body` is not among the kinds.
        """
        envelope = Envelope(
            sender.name,
            sender.incarnation,
            receiver,
            self.kind_names[type(body)],
            sequence,
            msgspec.Raw(self.encoder.encode(body)),
        )
        data = self.encoder.encode(envelope)
        if MAC_BYTES + len(data) > MAX_MESSAGE_BYTES:
            return errors.Oversized(f'{len(data)} bytes')
        return self.mac(data) + data

    def mac(self, data: bytes) -> bytes:
        """Return the keyed digest of `data`."""
        return hashlib.blake2b(
            data, digest_size=MAC_BYTES, key=self.key
        ).digest()

    def decode(self, message: bytes) -> Received | errors.Dropped:
        """Return the message, or why it is dropped. Never raises."""
        if len(message) > MAX_MESSAGE_BYTES:
            return errors.Oversized(f'{len(message)} bytes')
        mac, data = message[:MAC_BYTES], message[MAC_BYTES:]
        if not hmac.compare_digest(mac, self.mac(data)):
            return errors.WrongMac(f'{len(message)} bytes')
        try:
            envelope = self.envelopes.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return errors.Undecodable(f'envelope: {error}')
        decoder = self.decoders.get(envelope.kind)
        if decoder is None:
            return errors.UnknownKind(repr(envelope.kind))
        try:
            body = decoder.decode(envelope.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return errors.Undecodable(f'{envelope.kind}: {error}')
        sender = ids.InstanceId(envelope.sender, envelope.incarnation)
        return Received(
            sender, envelope.receiver, envelope.kind, envelope.sequence, body
        )
