"""JSON form of the messages between instances.

The registry is built from the subclasses of `effects.Message` that exist when
the codec is made, so the process imports its components first.
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


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A batch of messages from one instance to another.

    Attributes:
        sender: The instance that sends and signs it.
        recipient: The only instance that may accept it.
        sent_at_ms: When it was sent; milliseconds since the epoch.
        nonce: Unique among the sender's envelopes.
        messages: The messages, each in JSON.
    """

    sender: identifiers.InstanceId
    recipient: identifiers.InstanceId
    sent_at_ms: int
    nonce: str
    messages: tuple[msgspec.Raw, ...] = ()


class MalformedEnvelope(failures.BadRequest, frozen=True, kw_only=True):
    """The bytes are not an envelope."""

    kind = "malformed_envelope"


class Codec:
    """Encodes and decodes envelopes and the messages in them.

    Examples:
        >>> from bambooglade.fleet import messages
        >>> codec = Codec()
        >>> request = messages.PingRequest(sequence=1, subject="i2")
        >>> list(codec.decode([codec.encode(request)])) == [request]
        True
    """

    __slots__ = ("_decoder", "_envelope_decoder", "message_types")

    def __init__(self) -> None:
        leaves = _leaves(effects.Message)
        self.message_types = tuple(filter(_is_product, leaves))
        union = functools.reduce(operator.or_, self.message_types)
        self._decoder = msgspec.json.Decoder(union)
        self._envelope_decoder = msgspec.json.Decoder(Envelope)

    def encode(self, message: effects.Message) -> msgspec.Raw:
        """Returns the JSON of one message."""
        return msgspec.Raw(msgspec.json.encode(message))

    def decode(
        self, encoded: Iterable[msgspec.Raw]
    ) -> Iterator[effects.Message]:
        """Yields the messages that are known here, in order.

        Messages of a newer version are left out, so that two versions can run
        side by side during an upgrade.
        """
        for raw in encoded:
            try:
                yield self._decoder.decode(raw)
            except msgspec.DecodeError as error:
                logging.warning("event=message_ignored reason=%r", str(error))

    def encode_envelope(self, envelope: Envelope) -> bytes:
        """Returns the JSON of an envelope."""
        return msgspec.json.encode(envelope)

    def decode_envelope(
        self, body: bytes
    ) -> result.Result[Envelope, MalformedEnvelope]:
        """Returns the envelope, or why the bytes are not one."""
        try:
            return result.Ok(self._envelope_decoder.decode(body))
        except msgspec.DecodeError as error:
            return result.Err(MalformedEnvelope(detail=str(error)))

    def __repr__(self) -> str:
        return f"Codec(message_types={len(self.message_types)})"


def _leaves(
    message_type: type[effects.Message],
) -> Iterator[type[effects.Message]]:
    subclasses = message_type.__subclasses__()
    for subclass in subclasses:
        yield from _leaves(subclass)
    if message_type is not effects.Message and not subclasses:
        yield message_type


def _is_product(message_type: type[effects.Message]) -> bool:
    module = message_type.__module__
    return module.startswith("bambooglade.") and ".tests." not in module
