"""Sends messages to other instances, and receives messages from them.

This module never resends a lost message; the component that sent it retries.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
import threading

from absl import logging
import result

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.transport import client as http_client
from bambooglade.transport import messages
from bambooglade.transport import peer_queue
from bambooglade.transport import sealing

PATH = "/internal/messages"
THREADS = 8
CONNECT_TIMEOUT_MS = 500
TIMEOUT_MS = 1_500
_OK = 200

Receive = Callable[
    [identifiers.InstanceId, tuple[effects.Message, ...]],
    Sequence[effects.Message],
]
"""Handles the messages of a sender; returns messages for the response."""


def _ignore(recipient: identifiers.InstanceId) -> None:
    del recipient


class Peers:
    """Queues messages per peer, and posts them in batches.

    At most one batch per peer is in flight. After a failure, sending to the
    peer is paused with exponential backoff, so that a partition can't occupy
    all threads.

    Args:
        sealer: Signs requests and verifies responses.
        clock: The clock for pauses after failures.
        url_of: Returns the base URL of an instance, or None if it is unknown.
        receive: Handles the messages in received envelopes.
        on_refused: Called with an instance that refuses connections.
        client: Posts the batches. With TLS it has to trust the certificates of
            the fleet.
        threads: Maximum number of batches in flight.
    """

    def __init__(
        self,
        *,
        sealer: sealing.Sealer,
        clock: clocks.Clock,
        url_of: Callable[[identifiers.InstanceId], str | None],
        receive: Receive,
        on_refused: Callable[[identifiers.InstanceId], None] = _ignore,
        client: http_client.HttpClient | None = None,
        threads: int = THREADS,
    ) -> None:
        self._sealer = sealer
        self._clock = clock
        self._url_of = url_of
        self._receive = receive
        self._on_refused = on_refused
        self._client = client or http_client.HttpClient()
        self._lock = threading.Lock()
        self._queues = peer_queue.PeerQueues()
        self._executor = futures.ThreadPoolExecutor(
            max_workers=threads, thread_name_prefix="peers"
        )
        self._closed = False

    def send(
        self, recipient: identifiers.InstanceId, message: effects.Message
    ) -> None:
        """Queues a message; it is dropped if the peer is unreachable."""
        with self._lock:
            if self._closed:
                return
            start = self._queues.put(recipient, message, self._clock.now_ms())
        if start:
            self._submit(recipient)

    def receive(
        self, sealed: sealing.SignedEnvelope
    ) -> result.Result[sealing.SignedEnvelope, failures.Failure]:
        """Handles an envelope from a peer, and returns the response's."""
        opened = self._sealer.open(sealed)
        if opened.is_err():
            failure = opened.unwrap_err()
            logging.warning("event=envelope_refused kind=%s", failure.kind)
            return opened
        envelope = opened.unwrap()
        replies = self._receive(envelope.sender, envelope.messages)
        return result.Ok(self._sealer.seal(envelope.sender, replies))

    def close(self) -> None:
        """Sends the queued messages, and stops the threads."""
        with self._lock:
            self._closed = True
        self._executor.shutdown(wait=True)

    def _submit(self, recipient: identifiers.InstanceId) -> None:
        try:
            self._executor.submit(self._drain, recipient)
        except RuntimeError:
            logging.info("event=send_dropped reason=closed peer=%s", recipient)

    def _drain(self, recipient: identifiers.InstanceId) -> None:
        while batch := self._next_batch(recipient):
            delivered = False
            try:
                delivered = self._post(recipient, batch)
            finally:
                self._record_outcome(recipient, delivered=delivered)
            if not delivered:
                return

    def _next_batch(
        self, recipient: identifiers.InstanceId
    ) -> list[effects.Message]:
        with self._lock:
            return self._queues.pop_batch(recipient)

    def _record_outcome(
        self, recipient: identifiers.InstanceId, *, delivered: bool
    ) -> None:
        with self._lock:
            self._queues.record_outcome(
                recipient, delivered=delivered, now_ms=self._clock.now_ms()
            )

    def _post(
        self,
        recipient: identifiers.InstanceId,
        batch: Sequence[effects.Message],
    ) -> bool:
        url = self._url_of(recipient)
        if url is None:
            return False
        sealed = self._sealer.seal(recipient, batch)
        outcome = self._client.request(_request(url, sealed))
        if outcome.is_err() or outcome.unwrap().head.status != _OK:
            logging.log_every_n_seconds(
                logging.WARNING, "event=peer_unreachable peer=%s", 1, recipient
            )
            if _is_connection_refused(outcome):
                self._on_refused(recipient)
            return False
        self._handle_response(outcome.unwrap())
        return True

    def _handle_response(self, response: messages.Response) -> None:
        signature = response.head.header(sealing.SIGNATURE_HEADER.lower())
        opened = self._sealer.open(
            sealing.SignedEnvelope(body=response.body, signature=signature)
        )
        if opened.is_err():
            logging.warning(
                "event=answer_refused kind=%s", opened.unwrap_err().kind
            )
            return
        envelope = opened.unwrap()
        if not envelope.messages:
            return
        for message in self._receive(envelope.sender, envelope.messages):
            self.send(envelope.sender, message)

    def __repr__(self) -> str:
        return f"Peers({self._queues!r})"


def _is_connection_refused(
    outcome: result.Result[messages.Response, messages.TransferFailure],
) -> bool:
    """Returns whether connecting failed otherwise than by a time-out."""
    return outcome.is_err() and outcome.unwrap_err().is_refused


def _request(url: str, sealed: sealing.SignedEnvelope) -> messages.Request:
    return messages.Request(
        method="POST",
        url=url + PATH,
        headers=(
            messages.Header("Content-Type", "application/json"),
            messages.Header("User-Agent", ""),
            messages.Header("Accept", ""),
            messages.Header(sealing.SIGNATURE_HEADER, sealed.signature),
        ),
        body=sealed.body,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        first_byte_timeout_ms=TIMEOUT_MS,
        total_timeout_ms=TIMEOUT_MS,
    )
