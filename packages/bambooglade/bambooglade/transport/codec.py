"""JSON encoding of the messages between instances.

A codec supports the subclasses of `effects.Message` that exist when it is
constructed, so the process has to import its components first.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import functools
import operator

from absl import logging
import msgspec
import result

from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.core import json_documents


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A batch of messages from one instance to another.

    Attributes:
        sender: The instance that signs and sends the envelope.
        recipient: The only instance that may accept the envelope.
        sent_at_ms: Time of sending, in milliseconds since the Unix epoch.
        nonce: Unique among the envelopes of the sender.
        messages: The messages, each encoded as JSON.
    """

    sender: identifiers.InstanceId
    recipient: identifiers.InstanceId
    sent_at_ms: int
    nonce: str
    messages: tuple[msgspec.Raw, ...] = ()


class MalformedEnvelope(failures.BadRequest, frozen=True, kw_only=True):
    """The bytes could not be decoded as an envelope."""

    kind = "malformed_envelope"


class Codec:
    """Encodes and decodes envelopes and their messages.

    Examples:
        >>> from bambooglade.fleet import messages
        >>> codec = Codec()
        >>> request = messages.PingRequest(sequence=1, subject="i2")
        >>> list(codec.decode([codec.encode(request)])) == [request]
        True
    """

    __slots__ = ("_decoder", "_envelope_decoder", "message_types")

    def __init__(self) -> None:
        leaf_types = _leaf_subclasses(effects.Message)
        self.message_types = tuple(filter(_is_defined_in_product, leaf_types))
        union = functools.reduce(operator.or_, self.message_types)
        self._decoder = msgspec.json.Decoder(union)
        self._envelope_decoder = msgspec.json.Decoder(Envelope)

    def encode(self, message: effects.Message) -> msgspec.Raw:
        """Returns a message encoded as JSON."""
        return msgspec.Raw(msgspec.json.encode(message))

    def decode(
        self, encoded: Iterable[msgspec.Raw]
    ) -> Iterator[effects.Message]:
        """Yields the messages of supported types, in order.

        Other messages are skipped, so that instances of two versions can
        exchange messages during an upgrade.
        """
        for raw in encoded:
            try:
                yield json_documents.decode_with(self._decoder, raw)
            except msgspec.DecodeError as error:
                logging.warning("event=message_ignored reason=%r", str(error))

    def encode_envelope(self, envelope: Envelope) -> bytes:
        """Returns an envelope encoded as JSON."""
        return msgspec.json.encode(envelope)

    def decode_envelope(
        self, body: bytes
    ) -> result.Result[Envelope, MalformedEnvelope]:
        """Returns the decoded envelope, or a failure if it is malformed."""
        try:
            return result.Ok(
                json_documents.decode_with(self._envelope_decoder, body)
            )
        except msgspec.DecodeError as error:
            return result.Err(MalformedEnvelope(detail=str(error)))

    def __repr__(self) -> str:
        return f"Codec(message_types={len(self.message_types)})"


def _leaf_subclasses(
    message_type: type[effects.Message],
) -> Iterator[type[effects.Message]]:
    subclasses = message_type.__subclasses__()
    for subclass in subclasses:
        yield from _leaf_subclasses(subclass)
    if message_type is not effects.Message and not subclasses:
        yield message_type


def _is_defined_in_product(message_type: type[effects.Message]) -> bool:
    module = message_type.__module__
    return module.startswith("bambooglade.") and ".tests." not in module
