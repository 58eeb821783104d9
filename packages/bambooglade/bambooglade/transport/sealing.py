"""Signs envelopes of messages, and verifies received ones."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import result

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.transport import codec as codecs
from bambooglade.transport import signing

SIGNATURE_HEADER = "X-Signature"


class SignedEnvelope(msgspec.Struct, frozen=True, kw_only=True):
    """An encoded envelope with its signature."""

    body: bytes
    signature: str


class VerifiedEnvelope(msgspec.Struct, frozen=True, kw_only=True):
    """Sender and messages of an envelope that passed all checks."""

    sender: identifiers.InstanceId
    messages: tuple[effects.Message, ...]


class Misaddressed(failures.NotAuthorized, frozen=True, kw_only=True):
    """The envelope is addressed to another instance."""

    kind = "misaddressed"
    remedy = "Send the envelope to the instance that is its recipient."


class Sealer:
    """Signs the envelopes of one instance and verifies those addressed to it.

    Args:
        instance_id: This instance.
        signer: Signs and verifies with the fleet's keys.
        clock: The clock for the time of sending and receiving.
        codec: Encodes and decodes the messages.
        aliases: Further accepted recipients, for instance the address of this
            instance, which senders use until they have its id.
    """

    __slots__ = (
        "_accepted_recipients",
        "_clock",
        "_codec",
        "_instance_id",
        "_nonce_window",
        "_signer",
    )

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        signer: signing.Signer,
        clock: clocks.Clock,
        codec: codecs.Codec,
        aliases: Sequence[identifiers.InstanceId] = (),
    ) -> None:
        self._instance_id = instance_id
        self._accepted_recipients = frozenset((instance_id, *aliases))
        self._signer = signer
        self._clock = clock
        self._codec = codec
        self._nonce_window = signing.NonceWindow()

    def seal(
        self,
        recipient: identifiers.InstanceId,
        messages: Sequence[effects.Message],
    ) -> SignedEnvelope:
        """Returns a signed envelope with messages for a recipient."""
        envelope = codecs.Envelope(
            sender=self._instance_id,
            recipient=recipient,
            sent_at_ms=self._clock.now_ms(),
            nonce=signing.new_nonce(),
            messages=tuple(map(self._codec.encode, messages)),
        )
        body = self._codec.encode_envelope(envelope)
        return SignedEnvelope(body=body, signature=self._signer.sign(body))

    def open(
        self, sealed: SignedEnvelope
    ) -> result.Result[VerifiedEnvelope, failures.Failure]:
        """Verifies the signature, then the recipient, then the nonce."""
        verified = self._signer.verify(sealed.body, sealed.signature)
        if verified.is_err():
            return verified
        decoded = self._codec.decode_envelope(sealed.body)
        if decoded.is_err():
            return decoded
        return self._admit(decoded.unwrap())

    def _admit(
        self, envelope: codecs.Envelope
    ) -> result.Result[VerifiedEnvelope, failures.Failure]:
        if envelope.recipient not in self._accepted_recipients:
            return result.Err(
                Misaddressed(
                    detail=f"{envelope.sender} sent an envelope for "
                    f"{envelope.recipient} to {self._instance_id}."
                )
            )
        admitted = self._nonce_window.admit(
            envelope.sender,
            envelope.nonce,
            sent_at_ms=envelope.sent_at_ms,
            now_ms=self._clock.now_ms(),
        )
        if admitted.is_err():
            return admitted
        messages = tuple(self._codec.decode(envelope.messages))
        return result.Ok(
            VerifiedEnvelope(sender=envelope.sender, messages=messages)
        )

    def __repr__(self) -> str:
        return f"Sealer(instance_id={self._instance_id!r})"
