"""Turns messages into signed envelopes and back."""

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
    """The bytes of an envelope with their signature."""

    body: bytes
    signature: str


class VerifiedEnvelope(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted envelope."""

    sender: identifiers.InstanceId
    messages: tuple[effects.Message, ...]


class Misaddressed(failures.NotAuthorized, frozen=True, kw_only=True):
    """The envelope is for another instance."""

    kind = "misaddressed"
    remedy = "Send it to the instance that it names as recipient."


class Sealer:
    """Seals envelopes of one instance and opens those addressed to it.

    Args:
        instance_id: This instance.
        signer: The fleet's keys.
        clock: Tells the time of sending and receiving.
        codec: Knows the message types.
        aliases: Other names that senders may know the instance by, for
            instance its address before they know its id.
    """

    __slots__ = (
        "_accepted",
        "_clock",
        "_codec",
        "_instance_id",
        "_signer",
        "_window",
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
        self._accepted = frozenset((instance_id, *aliases))
        self._signer = signer
        self._clock = clock
        self._codec = codec
        self._window = signing.NonceWindow()

    def seal(
        self,
        recipient: identifiers.InstanceId,
        messages: Sequence[effects.Message],
    ) -> SignedEnvelope:
        """Returns a signed envelope."""
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
        """Checks signature, recipient and nonce, in this order."""
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
        if envelope.recipient not in self._accepted:
            return result.Err(
                Misaddressed(
                    detail=f"{envelope.sender} sent an envelope for "
                    f"{envelope.recipient} to {self._instance_id}."
                )
            )
        admitted = self._window.admit(
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
