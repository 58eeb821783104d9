"""Sends one request to targets until one returns a complete response.

A request that is not idempotent is sent again only if it certainly did not run:
no byte of it was sent, or the target reported that it did not execute it.
"""

from __future__ import annotations

from collections.abc import Collection

from bambooglade.discovery import targets as targets_lib
from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import connection_pool
from bambooglade.gateway import context as context_lib
from bambooglade.gateway import delivery as delivery_lib
from bambooglade.gateway import error_responses
from bambooglade.gateway import event_stream
from bambooglade.gateway import metadata as metadata_lib
from bambooglade.gateway import stream_origins
from bambooglade.gateway import target_selector as target_selector_lib
from bambooglade.http1 import messages
from bambooglade.targets import crash_suspicions
from bambooglade.targets import silence

MIN_REMAINING_MS = 30
"""Remaining time below which a request is not sent.

The network round trip alone would use it up.
"""

SILENCE_RECHECK_MS = 100
"""Time after which a request whose target is silent looks for another again."""

DENIED_RECHECK_MS = 500
"""The same after the retry budget has denied a retry."""

MAX_OVERLAP_MS = 300
"""Longest time for which a stream is at two targets at once.

Both could be working on it.
"""

MAX_DISPATCHES = 4
"""Most targets that are tried for a request that none of them executed."""

MAX_UNREACHED = 2
"""Targets to which connections fail before a peer gets the request."""

SOUND_EVENTS = 3
"""Events of a response after which it is well under way."""

MAX_LOGGED_PARTS = 8
"""Most prompt parts that a log line names; callers choose their number."""

_SUCCESSES = range(200, 300)
_FIRST_SERVER_ERROR = 500


class Dispatcher:
    """Sends one request to a target, watches its progress and retries it.

    Args:
        context: State that all requests share.
        exchange: The exchange of the request; it is notified of the end.
        service: The service that executes the request.
        team: The caller's team; None for a public route.
        prompt: Declared size of the prompt; None for a plain service, which is
            one without model engines.
        delivery: Sends the response to the caller.
        origin: Where the stream began that the caller resumes; None for other
            requests.
        is_trial: Whether the request tries a quarantined prompt; such a request
            reaches only one target.
        possible_runs: Number of targets at which the request may have run
            before this instance got it.
        max_runs: Number of targets at which it may run in all; None for the
            number that its route allows.

    Attributes:
        attempts: Number of targets that the request was dispatched to.
        may_have_run: Whether a target may have executed the request.
        target_id: Id of the last target; empty before the first.
    """

    __slots__ = (
        "_attempt",
        "_body",
        "_choice",
        "_context",
        "_delivery",
        "_events_before_attempt",
        "_exchange",
        "_is_first_byte_recorded",
        "_is_progress_recorded",
        "_is_trial",
        "_is_waiting",
        "_max_runs",
        "_metadata",
        "_origin",
        "_possible_runs",
        "_progress_timer",
        "_progressed_at_ms",
        "_prompt",
        "_rejection_bytes",
        "_reserve",
        "_reserve_timer",
        "_sent_at_ms",
        "_service",
        "_target_run",
        "_team",
        "_tried_target_ids",
        "_unreached_count",
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
        team: configuration_lib.Team | None,
        prompt: metadata_lib.Prompt | None,
        delivery: delivery_lib.Delivery,
        origin: stream_origins.StreamOrigin | None = None,
        is_trial: bool = False,
        possible_runs: int = 0,
        max_runs: int | None = None,
    ) -> None:
        self._context = context
        self._exchange = exchange
        self._service = service
        self._team = team
        self._prompt = prompt
        self._delivery = delivery
        self._origin = origin
        self._is_trial = is_trial
        self._is_waiting = False
        self._attempt: connection_pool.Attempt | None = None
        self._choice: target_selector_lib.TargetChoice | None = None
        self._metadata: metadata_lib.ResponseMetadata | None = None
        self._progress_timer = None
        self._progressed_at_ms = 0
        self._reserve: _SilentAttempt | None = None
        self._reserve_timer = None
        self._body = delivery_lib.new_body(context.loop)
        self._rejection_bytes = 0
        self._tried_target_ids: set[str] = set()
        self._unreached_count = 0
        self._events_before_attempt = 0
        self._sent_at_ms = 0
        self._is_first_byte_recorded = False
        self._is_progress_recorded = False
        self._target_run: crash_suspicions.TargetRun | None = None
        self._possible_runs = possible_runs
        self._max_runs = max_runs or exchange.route.max_attempts
        self.attempts = 0
        self.may_have_run = False
        self.target_id = ""

    @property
    def _route(self) -> configuration_lib.Route:
        return self._exchange.route

    @property
    def peer_name(self) -> None:
        """Always None, since the request is sent to targets."""
        return None

    @property
    def response_framing(self) -> str | None:
        """How the last response marks its end; None before its head."""
        attempt = self._attempt
        if attempt is None or attempt.head is None:
            return None
        return attempt.head.framing.name.lower()

    def send_next(self) -> None:
        """Sends the request to the best target that was not tried yet."""
        context = self._context
        now_ms = context.loop.now_ms()
        context.unanswered.discard(self)
        quarantine = self._find_quarantine()
        if quarantine is not None:
            self._end_quarantined(quarantine)
            return
        remaining_ms = self._exchange.deadline_at_ms - now_ms
        if remaining_ms < MIN_REMAINING_MS:
            self._end_without_response(
                error_responses.ErrorKind.OUT_OF_TIME,
                "too little time is left until the deadline",
            )
            return
        if self._is_cut_off:
            self._hand_over()
            return
        choice = self._choose_target(now_ms)
        if choice.is_room_awaited and self._await_room(remaining_ms):
            return
        if choice.retry_after_ms is not None and not self.may_have_run:
            if not self._try_hand_over_to_cold_senders():
                self._reject_held_off(choice)
            return
        if choice.target is None:
            self._end_without_response(
                error_responses.ErrorKind.NO_TARGET,
                self._missing_target_detail(choice.reason),
            )
            return
        if self._is_reached_better_by_peers(choice.target, now_ms=now_ms):
            self._hand_over()
            return
        self._begin_attempt(choice, remaining_ms, now_ms=now_ms)

    def _choose_target(self, now_ms: int) -> target_selector_lib.TargetChoice:
        """Chooses a target that was not tried yet.

        Once the request has failed at one, it goes to a target that is silent,
        or was when it was last tried, only if no other one is left.
        """
        selector = self._context.target_selector
        ready, tried = self._ready_targets(), self._tried_target_ids

        def choose(excluded: set[str]) -> target_selector_lib.TargetChoice:
            return selector.choose(
                ready,
                prompt=self._prompt,
                excluded=excluded,
                now_ms=now_ms,
                target_latency_ms=self._route.target_latency_ms,
            )

        silent_ids = {
            target.target_id
            for target in ready
            if tried
            and (
                self._is_silent(target, now_ms)
                or selector.has_left_unanswered(target.target_id, now_ms=now_ms)
            )
        }
        choice = choose(tried | silent_ids)
        return choose(tried) if silent_ids and choice.target is None else choice

    def _is_silent(
        self, target: targets_lib.RegisteredTarget, now_ms: int
    ) -> bool:
        """Returns whether a target leaves requests without any sign."""
        silent_ms = self._context.target_selector.silent_ms(
            target.target_id, now_ms=now_ms
        )
        return silence.is_silent_too(silent_ms, self._silence_bounds.hung_ms)

    @property
    def _silence_bounds(self) -> silence.SilenceBounds:
        if self._prompt is None:
            return silence.PLAIN_BOUNDS
        return silence.stream_bounds(
            target_latency_ms=self._route.target_latency_ms,
            max_event_gap_ms=self._route.max_event_gap_ms,
        )

    def _try_hand_over_to_cold_senders(self) -> bool:
        """Hands a request over to an instance that may send to cold targets.

        Returns:
            Whether it was; not if this instance is one of the senders itself,
            whose share is used up.
        """
        senders = self._context.limits.cold_senders(self._ready_targets())
        if not senders or not self._exchange.can_hand_over:
            return False
        self._hand_over(among=senders)
        return True

    def _reject_held_off(
        self, choice: target_selector_lib.TargetChoice
    ) -> None:
        """Rejects a request that no target may get now."""
        if choice.is_room_awaited:
            kind = error_responses.ErrorKind.NO_ROOM
            detail = "no brittle target is known to have room"
        else:
            kind = error_responses.ErrorKind.TARGETS_LIMITED
            detail = (
                "all targets are at the request limits that they state, are at"
                " the rate that they tolerate after their start, or have asked"
                " for a pause"
            )
        self._exchange.reject_unexecuted(
            kind,
            f"{detail} ({choice.reason})",
            retry_after_ms=choice.retry_after_ms,
        )

    def _await_room(self, remaining_ms: int) -> bool:
        """Lets the request wait for room at a target, here or at a peer.

        A peer gets it if this instance may send nothing to any busy target.

        Returns:
            Whether it waits or was handed over.
        """
        context = self._context
        ready = self._ready_targets()
        permits = context.brittle.permits(ready)
        if not permits and self._exchange.can_hand_over:
            self._hand_over(among=context.brittle.permit_holders(ready))
            return True
        self._is_waiting = context.room_queue.try_add(
            self,
            self._service.name,
            permits=permits,
            remaining_ms=remaining_ms - MIN_REMAINING_MS,
        )
        context.log.event(
            "room_awaited",
            request=self._exchange.metadata.attempt_id,
            service=self._service.name,
            permits=permits,
            waiting=context.room_queue.waiting_count,
            is_waiting=self._is_waiting,
        )
        return self._is_waiting

    def can_send(self) -> bool:
        """Returns whether a target may have room for the waiting request."""
        return self._has_untried_target()

    def resume(self) -> None:
        """Sends the request, which waits no more."""
        self._is_waiting = False
        self.send_next()

    def stop_waiting(self) -> None:
        """Ends a request for which no target had room in time."""
        self._is_waiting = False
        self._end_without_response(
            error_responses.ErrorKind.NO_ROOM,
            "no brittle target had room within the time that the request may"
            " wait",
        )

    def _hand_over(self, among: Collection[str] | None = None) -> None:
        self._drop_reserve()
        self._exchange.hand_over(
            possible_runs=self._possible_runs, origin=self._origin, among=among
        )

    def _is_reached_better_by_peers(
        self, target: targets_lib.RegisteredTarget, *, now_ms: int
    ) -> bool:
        """Returns whether the path of a peer to a target is probably better.

        That is the case if all targets that are left are not reached from here,
        or connections to several have just failed.
        """
        is_unreached = (
            self._unreached_count >= MAX_UNREACHED
            or self._context.target_selector.is_unreached(
                target.target_id, now_ms=now_ms
            )
        )
        return is_unreached and self._exchange.can_hand_over

    @property
    def _is_cut_off(self) -> bool:
        """Whether the links of this instance are at fault, not the targets."""
        return self._context.prober.is_cut_off(self._service.name)

    def _begin_attempt(
        self,
        choice: target_selector_lib.TargetChoice,
        remaining_ms: int,
        *,
        now_ms: int,
    ) -> None:
        """Sends the request to the chosen target."""
        context = self._context
        self._choice = choice
        self.target_id = choice.target.target_id
        self._tried_target_ids.add(self.target_id)
        self.attempts += 1
        self._sent_at_ms = now_ms
        self._events_before_attempt = self._delivery.event_count
        self._is_first_byte_recorded = False
        self._is_progress_recorded = False
        if self._reserve is None:
            self._body.clear()
        self._rejection_bytes = 0
        self._body = delivery_lib.new_body(context.loop, self._discard_response)
        self._metadata = None
        context.target_selector.record_dispatch(
            self.target_id,
            self._exchange.metadata.attempt_id,
            choice=choice,
            prompt=self._prompt,
            now_ms=now_ms,
        )
        context.limits.record_dispatch(choice.target)
        self._log_dispatch(choice, remaining_ms)
        context.unanswered.add(self)
        self._target_run = context.quarantine.suspicions.target_run(
            self.target_id, choice.target.started_at_ms
        )
        self._attempt = self._send(choice, remaining_ms)
        self._start_progress_timer()

    def _log_dispatch(
        self, choice: target_selector_lib.TargetChoice, remaining_ms: int
    ) -> None:
        self._context.log.event(
            "request_dispatched",
            request=self._exchange.metadata.attempt_id,
            target=self.target_id,
            service=self._service.name,
            software_version=choice.target.software_version or None,
            resumes=self._exchange.metadata.stream_id,
            after_event=self._resumption_point(),
            attempt=self.attempts,
            handed_over_by=self._exchange.sender_name,
            remaining_ms=remaining_ms,
            predicted_ms=round(choice.predicted_ms),
            reason=choice.reason,
            prompt_parts=self._logged_parts(),
            identity=self._exchange.identity,
            targets_revision=self._context.view.targets_revision,
        )

    def _find_quarantine(self) -> crash_suspicions.Quarantine | None:
        if self._is_trial and not self.may_have_run:
            return None
        return self._exchange.find_quarantine()

    def _end_quarantined(self, quarantine: crash_suspicions.Quarantine) -> None:
        if self.may_have_run:
            self._exchange.fail_quarantined(quarantine)
        else:
            self._exchange.reject_quarantined(quarantine)

    def handle_quarantine_change(self) -> None:
        """Cancels a request that is queued at a target it may crash."""
        if self._attempt is None or self._attempt.head is not None:
            return
        quarantine = self._find_quarantine()
        if quarantine is not None:
            self.cancel()
            self._end_quarantined(quarantine)

    def _ready_targets(self) -> list[targets_lib.RegisteredTarget]:
        """Returns the targets at which the request may run.

        Those in zones of other regions than the route allows, or of unknown
        ones, are left out. A stream that has begun goes on only at its software
        version.
        """
        ready = self._context.view.ready_targets(self._service.name)
        regions = self._route.allowed_regions
        if regions:
            region_of = self._context.settings.region_by_zone.get
            ready = [
                target
                for target in ready
                if region_of(target.availability_zone) in regions
            ]
        if self._origin is None:
            return ready
        version = self._origin.software_version
        return [t for t in ready if t.software_version == version]

    def _missing_target_detail(self, reason: str) -> str:
        if self._context.view.has_evacuated_targets(self._service.name):
            reason = f"{reason}; targets in evacuated zones get no requests"
        if self._route.allowed_regions:
            reason = f"{reason}; the route allows targets of some regions only"
        if self._origin is None:
            return reason
        return (
            f"the stream began at version {self._origin.software_version!r}"
            f" of the software, which no target that is left has ({reason})"
        )

    def _send(
        self, choice: target_selector_lib.TargetChoice, remaining_ms: int
    ) -> connection_pool.Attempt:
        context, request = self._context, self._exchange.request
        attempt_id = self._exchange.metadata.attempt_id
        dispatch = metadata_lib.DispatchMetadata(
            target_id=choice.target.target_id,
            remaining_ms=remaining_ms,
            team=self._team.name if self._team else None,
            priority=self._effective_priority(),
            last_event_id=self._resumption_point(),
        )
        return context.pool.send(
            choice.target,
            messages.encode_request(
                method=request.method,
                target=request.target,
                fields=context.codec.forwarded_fields(request, dispatch),
                body=request.body,
                has_body=bool(request.body) or request.method != b"GET",
            ),
            self,
            is_bodiless=request.method == b"HEAD",
            is_idempotent=self._route.is_idempotent,
            request_id=attempt_id,
            match=context.codec.match_response,
        )

    def _resumption_point(self) -> bytes | None:
        """Returns the id of the last event that the caller has, if any."""
        return (
            self._delivery.last_event_id
            or self._exchange.metadata.last_event_id
        )

    def _effective_priority(self) -> int | None:
        if self._prompt is None:
            return None
        rank = self._route.priority
        if self._team is not None and self._team.priority is not None:
            rank = self._team.priority
        return max(0, min(9, rank))

    def head_received(self, head: messages.ResponseHead) -> None:
        """Starts to stream the response if it is a verified stream."""
        self._context.unanswered.discard(self)
        self._metadata = self._context.codec.decode_response(head)
        self._context.target_selector.record_reached(self._choice.target)
        self._record_response()
        now_ms = self._context.loop.now_ms()
        self._context.limits.record(
            self._choice.target,
            self._metadata.max_requests_per_s,
            request_id=self._exchange.metadata.attempt_id,
        )
        if self._context.pauses.record(
            self.target_id,
            self._choice.target.started_at_ms,
            self._metadata.pause_s,
            now_ms=now_ms,
        ):
            self._context.log.event(
                "target_paused",
                request=self._exchange.metadata.attempt_id,
                target=self.target_id,
                pause_s=self._metadata.pause_s,
            )
        if not self._metadata.is_misdirected:
            self._context.brittle.record_response(
                self._choice.target,
                self._metadata,
                request_id=self._exchange.metadata.attempt_id,
            )
        if self._metadata.is_leaving and not self._metadata.is_misdirected:
            self._context.leaving.record(
                self._choice.target,
                request_id=self._exchange.metadata.attempt_id,
            )
        if self._metadata.load is not None:
            self._context.target_selector.record_load(
                self.target_id, self._metadata.load, now_ms=now_ms
            )
        if self._is_rejected:
            self._await_end_of_rejection()
            return
        if self._prompt is None:
            # What takes a target how long is learned from successes only: an
            # error comes sooner than the work would.
            if self._is_verified_success(head):
                self._record_first_byte(now_ms)
            self._start_progress_timer()
        if self._is_stream(head):
            self._drop_reserve()
            self._delivery.start_stream(head)

    def _await_end_of_rejection(self) -> None:
        """Reads the body of a rejection, but not for long.

        Its head says all that there is to say.
        """
        self._cancel_progress_timer()
        self._progress_timer = self._context.loop.call_later(
            delivery_lib.REJECTION_BODY_MS, self._end_rejection
        )

    def _end_rejection(self) -> None:
        self._attempt.cancel()
        self.attempt_ended(
            connection_pool.AttemptOutcome.COMPLETE, "the body goes on"
        )

    def _is_stream(self, head: messages.ResponseHead) -> bool:
        return (
            self._route.kind is configuration_lib.RouteKind.STREAM
            and self._is_verified_success(head)
            and self._delivery.can_stream(head)
        )

    def _is_verified_success(self, head: messages.ResponseHead) -> bool:
        return (
            head.status in _SUCCESSES
            and self._metadata.is_signed
            and not self._metadata.has_content_encoding
        )

    def _record_response(self) -> None:
        """Records that the target has sent a part of a response."""
        self._context.prober.record_response(self._choice.target)
        self._context.target_selector.record_response(
            self.target_id,
            self._exchange.metadata.attempt_id,
            now_ms=self._context.loop.now_ms(),
        )

    def _record_first_byte(self, now_ms: int) -> None:
        if self._is_first_byte_recorded:
            return
        self._is_first_byte_recorded = True
        self._context.target_selector.record_first_byte(
            self.target_id,
            self._exchange.metadata.attempt_id,
            took_ms=now_ms - self._sent_at_ms,
            predicted_ms=self._choice.predicted_ms,
            now_ms=now_ms,
        )

    def body_received(self, data: bytes) -> None:
        """Sends complete events to the caller, or buffers the data."""
        if self._is_rejected:
            self._rejection_bytes += len(data)
            if self._rejection_bytes > delivery_lib.MAX_REJECTION_BODY_BYTES:
                self._end_rejection()
            return
        if not self._is_stream(self._attempt.head):
            if not self._body.append(data):
                self._abort_attempt("the response exceeds the buffer limit")
            else:
                self._record_response()
                self._start_progress_timer()
            return
        self.may_have_run = True
        try:
            has_event = self._delivery.send_events(data)
        except event_stream.EventTooLargeError as error:
            self._abort_attempt(str(error))
            return
        if has_event and not self._attempt.is_ended:
            self._record_response()
            self._record_progress()
            self._record_first_byte(self._context.loop.now_ms())
            self._start_progress_timer()
            if self._origin is None:
                self._record_origin()

    def _record_progress(self) -> None:
        """Records once that the response to a prompt is well under way."""
        if self._prompt is not None and (
            self._attempt_event_count >= SOUND_EVENTS
            and not self._is_progress_recorded
        ):
            self._is_progress_recorded = True
            self._context.quarantine.record_progress(
                self._exchange.metadata.attempt_id, self._prompt.shared_part_ids
            )

    def _record_suspected_crash(self) -> None:
        """Suspects the request if the target may have crashed on it.

        The target had the request, and its connection was lost. The parts of
        the prompt are suspected as well if the response had begun: before,
        the request may have been waiting.
        """
        attempt = self._attempt
        if not attempt.is_connection_lost or not attempt.is_sent:
            return
        suspects = [self._exchange.identity]
        has_begun = (
            attempt.head is not None and attempt.head.status in _SUCCESSES
        )
        if self._prompt is not None and has_begun:
            suspects += self._prompt.shared_part_ids
        self._context.quarantine.record_crash(
            self._target_run,
            self._exchange.metadata.attempt_id,
            suspects,
            sent_at_ms=self._sent_at_ms,
            event_count=self._attempt_event_count,
        )

    def _record_origin(self) -> None:
        self._origin = stream_origins.StreamOrigin(
            service=self._service.name,
            software_version=self._choice.target.software_version,
        )
        if self._route.is_resumable:
            self._context.origins.record(
                self._exchange.metadata.attempt_id,
                self._origin,
                services=self._route.service_names,
            )

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
        """Delivers the response, retries the request, or ends it."""
        self._context.unanswered.discard(self)
        self._cancel_progress_timer()
        self._context.target_selector.record_end(
            self.target_id, self._exchange.metadata.attempt_id
        )
        self._log_ignored_responses()
        self._end_attempt(outcome, reason)
        self._context.room_queue.wake(self._service.name)

    def _log_ignored_responses(self) -> None:
        attempt = self._attempt
        if attempt.ignored_count:
            self._context.log.event(
                "responses_ignored",
                request=self._exchange.metadata.attempt_id,
                target=self.target_id,
                count=attempt.ignored_count,
                reused_after_ms=attempt.idle_ms,
            )

    def _end_attempt(
        self, outcome: connection_pool.AttemptOutcome, reason: str
    ) -> None:
        if self._is_rejected:
            # Its head came, so that the end of its body says nothing.
            outcome = connection_pool.AttemptOutcome.COMPLETE
        if self._reserve is not None:
            self._return_to_silent_target(outcome, reason)
        elif outcome is connection_pool.AttemptOutcome.COMPLETE:
            self._handle_complete_response(self._attempt.head)
        elif outcome is connection_pool.AttemptOutcome.NOT_SENT:
            self._unreached_count += 1
            self._context.prober.record_failure(
                self._choice.target, is_refused=self._attempt.is_refused
            )
            self._record_failure(reason)
            self._retry_unexecuted(reason, reached_target=False)
        else:
            self.may_have_run = True
            self._possible_runs += 1
            self._handle_broken_response(reason)

    @property
    def _is_rejected(self) -> bool:
        """Whether the target has said that it did not run the request."""
        return self._metadata is not None and self._metadata.is_not_executed

    def _handle_broken_response(self, reason: str) -> None:
        self._record_failure(reason)
        self._record_suspected_crash()
        self._delivery.discard_partial_event()
        self._retry_broken(reason)

    def _handle_complete_response(self, head: messages.ResponseHead) -> None:
        metadata = self._metadata
        if metadata.is_not_executed:
            self._context.target_selector.record_rejection(
                self.target_id, now_ms=self._context.loop.now_ms()
            )
            self._handle_misdirection()
            self._retry_unexecuted(
                f"the target declined the request with status {head.status}"
            )
            return
        self.may_have_run = True
        self._possible_runs += 1
        if self._is_verified_success(head):
            fault = self._find_fault(head)
            if fault:
                self._handle_broken_response(fault)
                return
            self._context.target_selector.record_success(
                self.target_id, now_ms=self._context.loop.now_ms()
            )
            self._context.room_queue.record_work(
                self._service.name,
                self._context.loop.now_ms() - self._sent_at_ms,
            )
            self._deliver_success(head)
        elif head.status in _SUCCESSES:
            self._record_failure("success response is unsigned or encoded")
            self._retry_broken(
                "the target's response is unsigned or has a content encoding"
            )
        else:
            self._handle_error_status(head)

    def _handle_misdirection(self) -> None:
        """Forgets a target at whose address another one has responded."""
        if self._metadata.is_misdirected:
            self._context.view.remove_target(
                self.target_id, reason="misdirected"
            )
            self._context.pool.close_address(self._choice.target.address)

    def _find_fault(self, head: messages.ResponseHead) -> str:
        """Returns why a success can't be delivered; empty if it can."""
        if self._is_stream(head):
            return self._delivery.find_truncation(head.framing)
        if self._delivery.is_started:
            return (
                f"the target responded with status {head.status} and content"
                f" type {head.get(b'content-type').decode('latin-1')!r}, which"
                " does not continue the stream"
            )
        return ""

    def _deliver_success(self, head: messages.ResponseHead) -> None:
        self._context.quarantine.record_success(self._exchange.suspects)
        if self._is_stream(head):
            self._delivery.end_stream()
        else:
            self._delivery.respond(head, self._body.join())
        self._exchange.finish(head.status)

    def _handle_error_status(self, head: messages.ResponseHead) -> None:
        """Retries after an error status of the target, or delivers it."""
        self._context.quarantine.record_success([self._exchange.identity])
        is_server_error = head.status >= _FIRST_SERVER_ERROR
        if is_server_error:
            self._record_failure(f"status {head.status}")
        if is_server_error and self._try_acquire_rerun():
            self.send_next()
        elif self._delivery.is_started:
            self._exchange.fail(
                error_responses.ErrorKind.BROKEN,
                f"a target responded with status {head.status} after the stream"
                " had begun",
            )
        else:
            self._delivery.respond(head, self._body.join())
            self._exchange.finish(head.status)

    def _record_failure(
        self, reason: str, *, is_of_target: bool = True
    ) -> None:
        """Logs the failure of an attempt.

        Args:
            reason: What was found.
            is_of_target: Whether it counts against the target. A target that
                was silent as a whole needs not be avoided once it goes on.
        """
        now_ms = self._context.loop.now_ms()
        if is_of_target and not self._is_cut_off:
            self._context.target_selector.record_failure(
                self.target_id, now_ms=now_ms
            )
        self._context.log.event(
            "attempt_failed",
            request=self._exchange.metadata.attempt_id,
            target=self.target_id,
            attempt=self.attempts,
            reason=reason,
            after_ms=now_ms - self._sent_at_ms,
            may_have_run=self.may_have_run,
            framing=self.response_framing,
            attempt_events=self._attempt_event_count,
            partial_event_bytes=self._delivery.partial_event_bytes or None,
            prompt_parts=self._logged_parts(),
            identity=self._exchange.identity,
            reached_target=self._attempt.is_sent,
            reused_after_ms=self._attempt.idle_ms,
            unreachable_targets=self._context.target_selector.unreachable_count(
                self._context.view.ready_targets(self._service.name),
                now_ms=now_ms,
            ),
            is_connection_lost=self._attempt.is_connection_lost,
            avoided_ms=self._context.target_selector.expected_silence_ms(
                self.target_id, now_ms=now_ms
            )
            or None,
        )

    @property
    def _attempt_event_count(self) -> int:
        """Number of complete events that the current attempt delivered."""
        return self._delivery.event_count - self._events_before_attempt

    def _logged_parts(self) -> str | None:
        if self._prompt is None:
            return None
        return ",".join(self._prompt.shared_part_ids[:MAX_LOGGED_PARTS])

    def _retry_unexecuted(
        self, reason: str, *, reached_target: bool = True
    ) -> None:
        """Retries a request that certainly did not run.

        A request that did not reach its target added no load to any target, so
        its retry does not draw on the retry budget.
        """
        is_allowed = self.attempts < MAX_DISPATCHES or self._is_cut_off
        if is_allowed and (not reached_target or self._try_acquire_retry()):
            self.send_next()
        else:
            self._end_without_response(
                error_responses.ErrorKind.OVERLOADED, reason
            )

    def _retry_broken(self, reason: str) -> None:
        if self._try_acquire_rerun():
            self.send_next()
        else:
            self._exchange.fail(error_responses.ErrorKind.BROKEN, reason)

    def _try_acquire_rerun(self) -> bool:
        """Returns whether a request that may have run may run once more.

        If so, it draws a retry from the retry budget.
        """
        now_ms = self._context.loop.now_ms()
        return (
            self._route.is_idempotent
            and self._find_quarantine() is None
            and self._possible_runs < self._max_runs
            and self._exchange.deadline_at_ms - now_ms >= MIN_REMAINING_MS
            and self._has_untried_target()
            and self._try_acquire_retry()
        )

    def _has_untried_target(self) -> bool:
        now_ms = self._context.loop.now_ms()
        return self._is_cut_off or any(
            target.target_id not in self._tried_target_ids
            and self._context.target_selector.may_send(target, now_ms=now_ms)
            for target in self._ready_targets()
        )

    def _try_acquire_retry(self) -> bool:
        return self._context.try_acquire_retry(
            self._service.name, request_id=self._exchange.metadata.attempt_id
        )

    def _end_without_response(
        self, kind: error_responses.ErrorKind, detail: str
    ) -> None:
        if self._reserve is not None:
            self._resume_reserve()
            return
        if self.may_have_run:
            self._exchange.fail(error_responses.ErrorKind.BROKEN, detail)
        else:
            self._exchange.reject_unexecuted(kind, detail)

    def _start_progress_timer(self) -> None:
        """Starts the timer within which the target has to make progress."""
        self._cancel_progress_timer()
        self._progressed_at_ms = self._context.loop.now_ms()
        self._progress_timer = self._context.loop.call_later(
            self._silence_bounds.hung_ms, self._progress_timed_out
        )

    def _cancel_progress_timer(self) -> None:
        if self._progress_timer is not None:
            self._progress_timer.cancel()
            self._progress_timer = None

    def _progress_timed_out(self) -> None:
        """Checks whether the target is reached, and may give it up."""
        self._context.prober.suspect(
            self._choice.target, silent_since_ms=self._progressed_at_ms
        )
        self._handle_silence()

    def _handle_silence(self) -> None:
        """Continues at another target if that is likely to respond.

        Otherwise the request stays where it is, and looks again a little later.
        """
        if not self._route.is_idempotent:
            return
        if (
            self._possible_runs + 1 >= self._max_runs
            or self.attempts >= MAX_DISPATCHES
        ):
            return
        now_ms = self._context.loop.now_ms()
        if not self._must_give_up(now_ms) or not self._has_other_target(now_ms):
            self._look_again_in(SILENCE_RECHECK_MS)
            return
        if not self._try_acquire_retry():
            self._look_again_in(DENIED_RECHECK_MS)
            return
        is_stopped = self._is_silent(self._choice.target, now_ms)
        if is_stopped and not self._is_cut_off:
            self._context.target_selector.record_silence(
                self.target_id, now_ms=now_ms
            )
        is_kept = self._prompt is not None and not self._is_cut_off
        if is_kept:
            self._cancel_progress_timer()
            self.may_have_run = True
        else:
            self.cancel()
        self._log_ignored_responses()
        self._possible_runs += 1
        self._record_failure(
            "no progress within the time-out", is_of_target=not is_stopped
        )
        if is_kept:
            self._reserve = _SilentAttempt(self)
            self._reserve_timer = self._context.loop.call_later(
                MAX_OVERLAP_MS, self._drop_reserve
            )
        else:
            self._delivery.discard_partial_event()
        self.send_next()
        if self._reserve is not None and not self._has_next_attempt:
            self._drop_reserve()

    @property
    def _has_next_attempt(self) -> bool:
        """Whether the request was sent on while a silent attempt is kept."""
        return self._attempt is not self._reserve.attempt

    def _drop_reserve(self) -> None:
        """Cancels the attempt at a silent target, if one is kept."""
        reserve = self._take_reserve()
        if reserve is not None:
            reserve.release()
            reserve.attempt.cancel()
            self._context.target_selector.record_end(
                reserve.target_id, self._exchange.metadata.attempt_id
            )
            self._delivery.discard_partial_event()

    def _take_reserve(self) -> _SilentAttempt | None:
        reserve, self._reserve = self._reserve, None
        if self._reserve_timer is not None:
            self._reserve_timer.cancel()
            self._reserve_timer = None
        return reserve

    def _return_to_silent_target(
        self, outcome: connection_pool.AttemptOutcome, reason: str
    ) -> None:
        """Stays at the silent target, since the next one did not take over."""
        outcomes = connection_pool.AttemptOutcome
        is_declined = (
            outcome is outcomes.COMPLETE and self._metadata.is_not_executed
        )
        if outcome is outcomes.NOT_SENT:
            self._context.prober.record_failure(self._choice.target)
        elif is_declined:
            self._handle_misdirection()
        else:
            self._possible_runs += 1
            self._record_suspected_crash()
        self._record_failure(
            reason or "the target did not continue the stream",
            is_of_target=not is_declined,
        )
        self._resume_reserve()

    def _resume_reserve(self) -> None:
        """Makes the attempt at the silent target the current one again."""
        reserve = self._take_reserve()
        self._body.clear()
        reserve.restore()
        self._possible_runs -= 1
        self._look_again_in(DENIED_RECHECK_MS)

    def resume_silent_attempt(self) -> None:
        """Goes on with the attempt that was silent, and cancels the next."""
        attempt = self._attempt
        if not attempt.is_ended:
            attempt.cancel()
            self._context.target_selector.record_end(
                self.target_id, self._exchange.metadata.attempt_id
            )
            self._possible_runs += attempt.is_sent
        self._cancel_progress_timer()
        self._resume_reserve()

    def forget_silent_attempt(self) -> None:
        """Forgets the attempt at a silent target, which has ended."""
        reserve = self._take_reserve()
        reserve.release()
        self._context.target_selector.record_end(
            reserve.target_id, self._exchange.metadata.attempt_id
        )
        self._delivery.discard_partial_event()

    def _look_again_in(self, delay_ms: int) -> None:
        self._progress_timer = self._context.loop.call_later(
            delay_ms, self._handle_silence
        )

    def _must_give_up(self, now_ms: int) -> bool:
        selector = self._context.target_selector
        return silence.should_give_up(
            self._silence_bounds,
            silent_ms=now_ms
            - max(self._progressed_at_ms, self._context.loop.resumed_at_ms),
            target_silent_ms=selector.silent_ms(self.target_id, now_ms=now_ms),
            has_begun=self._attempt_event_count > 0,
            is_unreached=(
                self._is_cut_off
                or selector.is_unreached(self.target_id, now_ms=now_ms)
            ),
        )

    def _has_other_target(self, now_ms: int) -> bool:
        """Returns whether a target is left that is not silent as well."""
        return self._is_cut_off or any(
            target.target_id not in self._tried_target_ids
            and self._context.target_selector.may_send(target, now_ms=now_ms)
            and not self._is_silent(target, now_ms)
            for target in self._ready_targets()
        )

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
        is_under_way = self._attempt is not None and not self._attempt.is_ended
        is_late = kind is error_responses.ErrorKind.TIMED_OUT
        if is_under_way and is_late:
            self._record_unanswered()
        self.cancel()
        if not self.may_have_run:
            self._exchange.reject_unexecuted(not_run, detail)
            return
        if is_under_way:
            self._record_failure(
                "deadline" if is_late else "given up", is_of_target=is_late
            )
        self._exchange.fail(kind, detail)

    def _record_unanswered(self) -> None:
        """Records that the target was silent until the deadline."""
        now_ms = self._context.loop.now_ms()
        if (
            self._is_silent(self._choice.target, now_ms)
            and not self._is_cut_off
        ):
            self._context.target_selector.record_unanswered(
                self.target_id, now_ms=now_ms
            )

    def cancel(self) -> None:
        """Cancels the attempt in flight, so that the target stops its work."""
        self._context.unanswered.discard(self)
        if self._is_waiting:
            self._is_waiting = False
            self._context.room_queue.discard(self._service.name, self)
        self._cancel_progress_timer()
        self._drop_reserve()
        attempt = self._attempt
        if attempt is not None and not attempt.is_ended:
            self.may_have_run |= attempt.is_sent and not self._is_rejected
            attempt.cancel()
            self._context.target_selector.record_end(
                self.target_id, self._exchange.metadata.attempt_id
            )

    def release(self) -> None:
        """Lets go of the response of a request that has ended."""
        self._body.clear()

    def __repr__(self) -> str:
        return f"Dispatcher(attempts={self.attempts})"


class _SilentAttempt:
    """An attempt that is kept while the next target is asked.

    It is the current one again if its target sends anything, or if the next one
    does not take the request.

    Attributes:
        attempt: The attempt.
        target_id: Id of its target.
    """

    _KEPT_NAMES = (
        "target_id",
        "_attempt",
        "_body",
        "_choice",
        "_events_before_attempt",
        "_is_first_byte_recorded",
        "_is_progress_recorded",
        "_metadata",
        "_progressed_at_ms",
        "_sent_at_ms",
        "_target_run",
    )

    __slots__ = ("_dispatcher", "_kept_by_name", "attempt", "target_id")

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._kept_by_name = {
            name: getattr(dispatcher, name) for name in self._KEPT_NAMES
        }
        self.attempt: connection_pool.Attempt = self._kept_by_name["_attempt"]
        self.target_id: str = dispatcher.target_id
        self.attempt.set_handler(self)

    def release(self) -> None:
        """Lets go of the response, which is not used any more."""
        self._kept_by_name["_body"].clear()

    def restore(self) -> None:
        """Makes it the current attempt of its dispatcher again."""
        for name, value in self._kept_by_name.items():
            setattr(self._dispatcher, name, value)
        self.attempt.set_handler(self._dispatcher)

    def head_received(self, head: messages.ResponseHead) -> None:
        """Goes on with this attempt."""
        self._dispatcher.resume_silent_attempt()
        self._dispatcher.head_received(head)

    def body_received(self, data: bytes) -> None:
        """Goes on with this attempt."""
        self._dispatcher.resume_silent_attempt()
        self._dispatcher.body_received(data)

    def attempt_ended(
        self, outcome: connection_pool.AttemptOutcome, reason: str
    ) -> None:
        """Leaves the request to the next target."""
        del outcome, reason
        self._dispatcher.forget_silent_attempt()

    def __repr__(self) -> str:
        return f"_SilentAttempt(target_id={self.target_id!r})"
