"""Hands one request to peers until one of them serves it.

A peer that declines has not run the request, and the next one gets it. A peer
runs it at one target at most, and another run is the decision of this instance:
it could not know of a second one if the response is lost. Any other response of
a peer is the response to the caller, and is passed on as it is.
"""

from __future__ import annotations

from collections.abc import Collection

from bambooglade.discovery import peers as peers_lib
from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import connection_pool
from bambooglade.gateway import context as context_lib
from bambooglade.gateway import delivery as delivery_lib
from bambooglade.gateway import error_responses
from bambooglade.gateway import event_stream
from bambooglade.gateway import handover as handover_lib
from bambooglade.gateway import metadata as metadata_lib
from bambooglade.gateway import stream_origins
from bambooglade.http1 import messages
from bambooglade.targets import silence

MAX_PEERS = 3
"""Most peers that are tried for a request that none of them took."""

PLAIN_PROGRESS_TIMEOUT_MS = 800
"""Time without a response after which an idempotent plain request goes to
another peer.

The peer itself needs it for a target that does not connect, one that does not
respond, and a third one.
"""

STREAM_MARGIN_MS = 100
"""Time by which an event of a stream may come later from a peer than from a
target."""

CONFIGURATION_DELAY_MS = 50
"""Time after which a peer whose configuration was older is asked again.

A change reaches all instances within 100 ms; the last one is asked after that.
"""

_SUCCESSES = range(200, 300)
_KIND_BY_NAME = {
    kind.name.lower().encode(): kind for kind in error_responses.DECLINED_KINDS
}
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class PeerEndpoint:
    """Address at which a peer takes requests.

    Attributes:
        target_id: Name of the peer.
        address: IP address and port.
    """

    __slots__ = ("address", "target_id")

    def __init__(self, peer: peers_lib.Peer) -> None:
        self.target_id = peer.name
        self.address = peer.forwarding_address


class PeerForwarder:
    """Sends one request to a peer, and its response to the caller.

    Args:
        context: State that all requests share.
        exchange: The exchange of the request; it is notified of the end.
        service: The service that executes the request.
        delivery: Sends the response to the caller.
        possible_runs: Number of targets at which the request may have run.
        is_input_billed: Whether the input tokens were settled before.
        origin: Where the stream began; None for a request that has not begun.
        among: Names of the peers that may serve it; None for all.

    Attributes:
        attempts: Number of peers that got the request.
        may_have_run: Whether a target may have executed the request.
        target_id: Always empty, since only the peer knows the target.
        peer_name: Name of the last peer; None before the first.
    """

    __slots__ = (
        "_among",
        "_are_peers_full",
        "_are_peers_unable",
        "_attempt",
        "_body",
        "_context",
        "_decline_bytes",
        "_delivery",
        "_exchange",
        "_is_input_billed",
        "_metadata",
        "_origin",
        "_peer",
        "_possible_runs",
        "_progress_timer",
        "_service",
        "_tried_names",
        "attempts",
        "may_have_run",
        "target_id",
    )

    def __init__(
        self,
        context: context_lib.GatewayContext,
        exchange,
        *,
        service: configuration_lib.Service,
        delivery: delivery_lib.Delivery,
        possible_runs: int = 0,
        is_input_billed: bool = False,
        origin: stream_origins.StreamOrigin | None = None,
        among: Collection[str] | None = None,
    ) -> None:
        self._context = context
        self._exchange = exchange
        self._service = service
        self._delivery = delivery
        self._possible_runs = possible_runs
        self._is_input_billed = is_input_billed
        self._origin = origin
        self._among = among
        self._attempt: connection_pool.Attempt | None = None
        self._metadata: metadata_lib.ResponseMetadata | None = None
        self._peer: peers_lib.Peer | None = None
        self._tried_names: set[str] = set()
        self._progress_timer = None
        self._body = delivery_lib.new_body(context.loop)
        self._decline_bytes = 0
        self._are_peers_unable = among is None
        self._are_peers_full = among is not None
        self.attempts = 0
        self.may_have_run = possible_runs > 0
        self.target_id = ""

    @property
    def peer_name(self) -> str | None:
        """Name of the last peer; None before the first."""
        return self._peer.name if self._peer is not None else None

    @property
    def response_framing(self) -> str | None:
        """How the last response marks its end; None before its head."""
        attempt = self._attempt
        if attempt is None or attempt.head is None:
            return None
        return attempt.head.framing.name.lower()

    def send_next(self) -> None:
        """Sends the request to a peer that did not get it yet."""
        context = self._context
        now_ms = context.loop.now_ms()
        peer = None
        if self.attempts < MAX_PEERS:
            peer = self._choose_peer(now_ms)
        if peer is None:
            self._end_unserved(
                "this instance reaches no target of the service, and none of"
                f" the {self.attempts} peers that it asked serves the request"
            )
            return
        self._peer = peer
        self._tried_names.add(peer.name)
        self.attempts += 1
        self._metadata = None
        self._body.clear()
        self._body = delivery_lib.new_body(context.loop, self._discard_response)
        self._decline_bytes = 0
        context.forwarding_peers.record_sent(peer)
        # No time at all would read as no deadline.
        remaining_ms = max(1, self._exchange.deadline_at_ms - now_ms)
        context.log.event(
            "request_handed_over",
            request=self._exchange.metadata.attempt_id,
            peer=peer.name,
            service=self._service.name,
            attempt=self.attempts,
            remaining_ms=remaining_ms,
            possible_runs=self._possible_runs or None,
        )
        self._attempt = self._send(peer, remaining_ms)
        self._start_progress_timer()

    def _send(
        self, peer: peers_lib.Peer, remaining_ms: int
    ) -> connection_pool.Attempt:
        context, request = self._context, self._exchange.request
        state = handover_lib.Handover(
            sender=context.local_instance.name,
            incarnation=context.local_instance.incarnation,
            configuration_version=context.view.configuration.version,
            possible_runs=self._possible_runs,
            is_input_billed=self._is_input_billed,
            origin=self._origin,
        )
        fields = context.codec.peer_fields(
            request,
            remaining_ms=remaining_ms,
            last_event_id=self._resumption_point(),
        )
        return context.peer_pool.send(
            PeerEndpoint(peer),
            messages.encode_request(
                method=request.method,
                target=request.target,
                fields=[*fields, handover_lib.encode(state)],
                body=request.body,
                has_body=bool(request.body) or request.method != b"GET",
            ),
            self,
            is_bodiless=request.method == b"HEAD",
            is_idempotent=self._exchange.route.is_idempotent,
            request_id=self._exchange.metadata.attempt_id,
            match=context.codec.match_response,
        )

    def _resumption_point(self) -> bytes | None:
        """Returns the id of the last event that the caller has, if any."""
        return (
            self._delivery.last_event_id
            or self._exchange.metadata.last_event_id
        )

    def head_received(self, head: messages.ResponseHead) -> None:
        """Starts to stream the response if it is a verified stream."""
        self._metadata = self._context.codec.decode_response(head)
        if self._is_declined(head):
            self._await_end_of_decline()
            return
        self._start_progress_timer()
        if self._is_stream(head):
            self._delivery.start_stream(head)

    def _await_end_of_decline(self) -> None:
        """Reads the body of a decline, but not for long."""
        self._cancel_progress_timer()
        self._progress_timer = self._context.loop.call_later(
            delivery_lib.REJECTION_BODY_MS, self._end_decline
        )

    def _end_decline(self) -> None:
        self._attempt.cancel()
        self.attempt_ended(
            connection_pool.AttemptOutcome.COMPLETE, "the body goes on"
        )

    def _is_declined(self, head: messages.ResponseHead) -> bool:
        return head.has(handover_lib.DECLINED_FIELD.lower())

    def _is_stream(self, head: messages.ResponseHead) -> bool:
        route = self._exchange.route
        return route.kind is configuration_lib.RouteKind.STREAM and (
            self._is_verified_success(head) and self._delivery.can_stream(head)
        )

    def _is_verified_success(self, head: messages.ResponseHead) -> bool:
        return (
            head.status in _SUCCESSES
            and self._metadata.is_signed
            and not self._metadata.has_content_encoding
        )

    def body_received(self, data: bytes) -> None:
        """Sends complete events to the caller, or buffers the data."""
        if self._is_declined(self._attempt.head):
            self._decline_bytes += len(data)
            if self._decline_bytes > delivery_lib.MAX_REJECTION_BODY_BYTES:
                self._end_decline()
            return
        if not self._is_stream(self._attempt.head):
            if not self._body.append(data):
                self._abort_attempt("the response exceeds the buffer limit")
            return
        self.may_have_run = True
        try:
            has_event = self._delivery.send_events(data)
            if has_event and not self._attempt.is_ended:
                self._start_progress_timer()
        except event_stream.EventTooLargeError as error:
            self._abort_attempt(str(error))

    def _discard_response(self) -> None:
        """Aborts the attempt in the next step, as its body was given up."""
        attempt = self._attempt

        def abort() -> None:
            if self._attempt is attempt and not attempt.is_ended:
                self._abort_attempt("the process needs its memory for others")

        self._context.loop.call_later(0, abort)

    def _abort_attempt(self, reason: str) -> None:
        self._attempt.cancel()
        self.attempt_ended(connection_pool.AttemptOutcome.BROKEN, reason)

    def attempt_ended(
        self, outcome: connection_pool.AttemptOutcome, reason: str
    ) -> None:
        """Delivers the response, asks the next peer, or ends the request."""
        self._cancel_progress_timer()
        self._context.forwarding_peers.record_end(self._peer)
        head = self._attempt.head
        is_declined = head is not None and self._is_declined(head)
        if is_declined or outcome is connection_pool.AttemptOutcome.COMPLETE:
            self._handle_complete_response(head)
            return
        if self._attempt.head is None:
            self._avoid_peer()
        self._record_failure(reason)
        if outcome is connection_pool.AttemptOutcome.NOT_SENT:
            self.send_next()
            return
        self._handle_broken_response(reason)

    def _handle_broken_response(self, reason: str) -> None:
        self.may_have_run = True
        self._possible_runs += 1
        if self._attempt.head is not None:
            # Its target has failed; the peer has settled the input.
            self._is_input_billed = True
            self._tried_names.discard(self._peer.name)
        self._delivery.discard_partial_event()
        if self._try_acquire_rerun():
            self.send_next()
        else:
            self._exchange.fail(error_responses.ErrorKind.BROKEN, reason)

    def _handle_complete_response(self, head: messages.ResponseHead) -> None:
        forwarding_peers = self._context.forwarding_peers
        service, now_ms = self._service.name, self._context.loop.now_ms()
        if self._is_declined(head):
            self._handle_decline(head)
            return
        forwarding_peers.record_served(self._peer, service, now_ms=now_ms)
        if self._is_stream(head):
            truncation = self._delivery.find_truncation(head.framing)
            if truncation:
                self._handle_broken_response(truncation)
                return
            self._delivery.end_stream()
            self._exchange.finish(head.status)
        elif self._is_failed_run(head):
            self._handle_broken_response("the run at the peer has failed")
        elif self._delivery.is_started:
            self._exchange.fail(
                error_responses.ErrorKind.BROKEN,
                f"a peer responded with status {head.status} after the stream"
                " had begun",
            )
        else:
            self._deliver(head)

    def _handle_decline(self, head: messages.ResponseHead) -> None:
        kind = _KIND_BY_NAME.get(head.get(handover_lib.DECLINED_FIELD.lower()))
        self._are_peers_unable &= kind not in error_responses.REQUEST_KINDS
        self._are_peers_full = kind is error_responses.ErrorKind.NO_ROOM
        if kind not in error_responses.REQUEST_KINDS:
            self._context.forwarding_peers.record_decline(
                self._peer,
                self._service.name,
                now_ms=self._context.loop.now_ms(),
            )
        remaining_ms = self._exchange.deadline_at_ms - (
            self._context.loop.now_ms()
        )
        if kind is error_responses.ErrorKind.PEER_UNKNOWN:
            peer = self._peer
            self._context.introduce(peer).add_done_callback(
                lambda done: self._handle_introduction(
                    peer, has_responded=done.result()
                )
            )
        elif (
            kind is error_responses.ErrorKind.CONFIGURATION_BEHIND
            and remaining_ms > CONFIGURATION_DELAY_MS
        ):
            self._tried_names.discard(self._peer.name)
            self._progress_timer = self._context.loop.call_later(
                CONFIGURATION_DELAY_MS, self.send_next
            )
        else:
            self.send_next()

    def _handle_introduction(
        self, peer: peers_lib.Peer, *, has_responded: bool
    ) -> None:
        """Asks a peer again that knows this instance now, or the next one."""
        if self._exchange.is_ended:
            return
        if has_responded:
            self._tried_names.discard(peer.name)
        self.send_next()

    def _is_failed_run(self, head: messages.ResponseHead) -> bool:
        """Returns whether the peer says that the request may have run."""
        return (
            not self._metadata.is_signed
            and head.status == error_responses.ErrorKind.BROKEN.status
        )

    def _deliver(self, head: messages.ResponseHead) -> None:
        """Passes on a whole response, unless a promise in it would be false."""
        is_success = head.status in _SUCCESSES
        if self._metadata.is_signed and (
            not is_success or self._is_verified_success(head)
        ):
            self._delivery.respond(head, self._body.join())
            self._exchange.finish(head.status)
            return
        is_not_run = head.status in _NOT_RUN_STATUSES
        if is_success or (is_not_run and self.may_have_run):
            self._exchange.fail(
                error_responses.ErrorKind.BROKEN,
                f"a peer responded with status {head.status} without a"
                " target's signature, or with a content encoding",
            )
            return
        self._delivery.respond(head, self._body.join())
        self._exchange.finish_unserved(head.status, is_not_run=is_not_run)

    def _avoid_peer(self) -> None:
        self._context.forwarding_peers.record_failure(
            self._peer, now_ms=self._context.loop.now_ms()
        )

    def _record_failure(self, reason: str) -> None:
        self._context.log.event(
            "handover_failed",
            request=self._exchange.metadata.attempt_id,
            peer=self._peer.name,
            attempt=self.attempts,
            reason=reason,
            reached_peer=self._attempt.is_sent,
        )

    def _try_acquire_rerun(self) -> bool:
        """Returns whether a request that may have run may run once more."""
        route = self._exchange.route
        now_ms = self._context.loop.now_ms()
        return (
            route.is_idempotent
            and self._possible_runs < route.max_attempts
            and self._has_untried_peer(now_ms)
            and self._context.try_acquire_retry(
                self._service.name,
                request_id=self._exchange.metadata.attempt_id,
            )
        )

    def _choose_peer(self, now_ms: int) -> peers_lib.Peer | None:
        return self._context.forwarding_peers.choose(
            self._service.name,
            tried=self._tried_names,
            now_ms=now_ms,
            among=self._among,
        )

    def _has_untried_peer(self, now_ms: int) -> bool:
        return (
            self._choose_peer(now_ms) is not None and self.attempts < MAX_PEERS
        )

    def _end_unserved(self, detail: str) -> None:
        if self._are_peers_unable:
            self._context.forwarding_peers.is_serving = False
            self._context.prober.record_unserved(self._service.name)
        if self.may_have_run:
            self._exchange.fail(error_responses.ErrorKind.BROKEN, detail)
        elif self._are_peers_full:
            self._exchange.reject_unexecuted(
                error_responses.ErrorKind.NO_ROOM,
                "no brittle or cold target may get the request, neither from"
                f" here nor from the {self.attempts} peers that were asked",
            )
        else:
            self._exchange.reject_unexecuted(
                error_responses.ErrorKind.TARGETS_UNREACHABLE, detail
            )

    def _start_progress_timer(self) -> None:
        self._cancel_progress_timer()
        route = self._exchange.route
        if not route.is_idempotent:
            return
        self._progress_timer = self._context.loop.call_later(
            self._progress_timeout_ms, self._progress_timed_out
        )

    @property
    def _progress_timeout_ms(self) -> int:
        route = self._exchange.route
        if route.kind is not configuration_lib.RouteKind.STREAM:
            return PLAIN_PROGRESS_TIMEOUT_MS
        bounds = silence.stream_bounds(
            target_latency_ms=route.target_latency_ms,
            max_event_gap_ms=route.max_event_gap_ms,
        )
        return bounds.silent_ms + STREAM_MARGIN_MS

    def _cancel_progress_timer(self) -> None:
        if self._progress_timer is not None:
            self._progress_timer.cancel()
            self._progress_timer = None

    def _progress_timed_out(self) -> None:
        """Asks another peer if the request may run once more."""
        loop = self._context.loop
        if loop.now_ms() - loop.resumed_at_ms < self._progress_timeout_ms:
            self._start_progress_timer()
            return
        self._possible_runs += 1
        if not self._try_acquire_rerun():
            self._possible_runs -= 1
            return
        self.cancel()
        self._avoid_peer()
        self._record_failure("no progress within the time-out")
        self.may_have_run = True
        self._delivery.discard_partial_event()
        self.send_next()

    def give_up(
        self,
        kind: error_responses.ErrorKind,
        *,
        not_run: error_responses.ErrorKind,
        detail: str,
    ) -> None:
        """Ends the request now, at its deadline or that of the instance.

        Args:
            kind: Kind of the error if it may have run.
            not_run: Kind of the error if it has not.
            detail: Why it is given up.
        """
        self.cancel()
        if self.may_have_run:
            self._exchange.fail(kind, detail)
        else:
            self._exchange.reject_unexecuted(not_run, detail)

    def cancel(self) -> None:
        """Closes the connection to the peer, which cancels the request."""
        self._cancel_progress_timer()
        attempt = self._attempt
        if attempt is not None and not attempt.is_ended:
            self.may_have_run = self.may_have_run or attempt.is_sent
            attempt.cancel()
            self._context.forwarding_peers.record_end(self._peer)

    def release(self) -> None:
        """Lets go of the response of a request that has ended."""
        self._body.clear()

    def __repr__(self) -> str:
        return f"PeerForwarder(attempts={self.attempts})"
