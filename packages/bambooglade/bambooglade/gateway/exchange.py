"""One request of a caller and its response.

An exchange begins once the request has been received completely.
"""

from __future__ import annotations

from collections.abc import Collection
from concurrent import futures
import random

from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import context as context_lib
from bambooglade.gateway import delivery as delivery_lib
from bambooglade.gateway import dispatching
from bambooglade.gateway import error_responses
from bambooglade.gateway import handover as handover_lib
from bambooglade.gateway import metadata as metadata_lib
from bambooglade.gateway import peer_forwarder
from bambooglade.gateway import stream_origins
from bambooglade.http1 import messages
from bambooglade.rights import manager as manager_lib
from bambooglade.router import metrics as metrics_lib
from bambooglade.scheduling import link_budget
from bambooglade.targets import crash_suspicions
from bambooglade.targets import request_identity

DEFAULT_DEADLINE_MS = 60_000
"""Deadline of a request whose caller states none.

The timeout of the route applies as well.
"""


MAX_HANDED_OVER = 256
"""Most requests of peers at a time; bounds the memory that they take."""


class Exchange:
    """Authenticates, reserves, dispatches and settles one request.

    Args:
        context: State that all requests share.
        request: The complete request.
        responder: The connection of the caller, or of a peer.
        handover: What the peer states that hands the request over; None for a
            request of a caller.
    """

    __slots__ = (
        "_context",
        "_delivery",
        "_dispatcher",
        "_handover",
        "_has_reservation",
        "_identity",
        "_is_counted",
        "_is_trial",
        "_origin",
        "_service",
        "_spent_before_handover",
        "_team",
        "_timer",
        "deadline_at_ms",
        "is_ended",
        "metadata",
        "request",
        "route",
    )

    def __init__(
        self,
        context: context_lib.GatewayContext,
        request: messages.Request,
        responder: delivery_lib.Responder,
        handover: handover_lib.Handover | None = None,
    ) -> None:
        self._context = context
        self.request = request
        self.metadata = context.codec.decode_request(request)
        self._delivery = delivery_lib.Delivery(responder)
        self._handover = handover
        self._spent_before_handover: int | None = None
        self._dispatcher: (
            dispatching.Dispatcher | peer_forwarder.PeerForwarder | None
        ) = None
        self._team: configuration_lib.Team | None = None
        self._service: configuration_lib.Service | None = None
        self._origin: stream_origins.StreamOrigin | None = None
        self._has_reservation = False
        self._identity = ""
        self._is_counted = False
        self._is_trial = False
        self._timer = None
        self.route: configuration_lib.Route | None = None
        self.deadline_at_ms = 0
        self.is_ended = False

    def start(self) -> None:
        """Rejects the request, or reserves its tokens and dispatches it."""
        if self._handover is not None:
            self._context.handed_over_count += 1
        configuration = self._context.view.configuration
        missing = None
        if configuration is None:
            missing = "a configuration"
        elif not self._context.view.evacuations.is_known:
            # A peer of the previous build tells a configuration, but not which
            # targets may get no requests.
            missing = "the evacuated zones"
        if missing is not None:
            self._reject(
                error_responses.ErrorResponse(
                    error_responses.ErrorKind.NOT_READY,
                    f"this instance has not received {missing} yet",
                    retry_after_ms=error_responses.RETRY_NOT_READY_MS,
                )
            )
            return
        error = None
        if self._handover is not None:
            error = self._handover_error(configuration)
        error = error or self._authenticate_and_route(configuration)
        if error is not None:
            self._reject(error)
            return
        now_ms = self._context.loop.now_ms()
        error = self._unavailable_response(now_ms)
        if error is not None:
            self._reject(error)
            return
        self.deadline_at_ms = self.request.received_at_ms + min(
            self.metadata.deadline_ms or DEFAULT_DEADLINE_MS,
            self.route.timeout_ms,
        )
        self._timer = self._context.loop.call_later(
            self.deadline_at_ms - now_ms, self._deadline_expired
        )
        if self._handover is None and self._is_cut_off:
            self.hand_over()
        elif self._handover is not None and self._handover.origin is not None:
            self._handle_origin(self._handover.origin)
        elif self._is_resumption:
            self._find_origin()
        else:
            self._reserve()

    @property
    def _is_cut_off(self) -> bool:
        return self._context.prober.is_cut_off(self._service.name)

    @property
    def sender_name(self) -> str | None:
        """Name of the peer that handed the request over; None if none did."""
        return self._handover.sender if self._handover is not None else None

    @property
    def can_hand_over(self) -> bool:
        """Whether a peer may serve the request, and the link has room."""
        context = self._context
        if self._handover is not None or context.prober.is_link_full():
            return False
        peer = context.forwarding_peers.choose(
            self._service.name, tried=(), now_ms=context.loop.now_ms()
        )
        return peer is not None

    def hand_over(
        self,
        *,
        possible_runs: int = 0,
        origin: stream_origins.StreamOrigin | None = None,
        among: Collection[str] | None = None,
    ) -> None:
        """Lets a peer serve the request, since no target takes it from here.

        Args:
            possible_runs: Number of targets at which it may have run.
            origin: Where its stream began; None if it has not begun.
            among: Names of the peers that may serve it; None for all.
        """
        if self._handover is not None:
            detail = "this instance reaches no target of the service any more"
            if possible_runs > self._handover.possible_runs:
                self.fail(error_responses.ErrorKind.BROKEN, detail)
            else:
                self.reject_unexecuted(
                    error_responses.ErrorKind.TARGETS_UNREACHABLE, detail
                )
            return
        self._count_for_retries()
        spent = self.spent_tokens
        self._settle()
        self._spent_before_handover = spent
        if self._dispatcher is not None:
            self._dispatcher.release()
        self._dispatcher = peer_forwarder.PeerForwarder(
            self._context,
            self,
            service=self._service,
            delivery=self._delivery,
            possible_runs=possible_runs,
            is_input_billed=spent > 0,
            origin=origin,
            among=among,
        )
        self._dispatcher.send_next()

    def _handover_error(
        self, configuration: configuration_lib.Configuration
    ) -> error_responses.ErrorResponse | None:
        """Returns an error if this instance can't serve a peer's request."""
        handover, context = self._handover, self._context
        if not context.peers.has_incarnation(
            handover.sender, handover.incarnation
        ):
            kind = error_responses.ErrorKind.PEER_UNKNOWN
            detail = f"instance {handover.sender!r} is not known here"
        elif configuration.version < handover.configuration_version:
            kind = error_responses.ErrorKind.CONFIGURATION_BEHIND
            detail = (
                f"configuration version {configuration.version} is older than"
                f" {handover.configuration_version}"
            )
        elif context.handed_over_count > MAX_HANDED_OVER:
            kind = error_responses.ErrorKind.CONGESTED
            detail = f"{MAX_HANDED_OVER} requests of peers are being served"
        else:
            return None
        return self._other_instance_response(kind, detail)

    def _other_instance_response(
        self, kind: error_responses.ErrorKind, detail: str
    ) -> error_responses.ErrorResponse:
        return error_responses.ErrorResponse(
            kind,
            detail,
            retry_after_ms=self._jittered_ms(
                error_responses.RETRY_OTHER_INSTANCE_MS
            ),
        )

    def _unavailable_response(
        self, now_ms: int
    ) -> error_responses.ErrorResponse | None:
        """Returns an error if another instance should serve the request."""
        if self._context.is_rejecting_requests:
            kind, detail = (
                error_responses.ErrorKind.NOT_READY,
                "this instance is shutting down",
            )
        elif self._context.congestion.is_congested(now_ms):
            kind = error_responses.ErrorKind.CONGESTED
            detail = (
                "connections to targets open slowly on this instance;"
                " other instances are free"
            )
        elif not self._has_link_room(now_ms):
            kind = error_responses.ErrorKind.CONGESTED
            detail = (
                f"the link of this instance is busy for"
                f" {self._context.loop.link.wait_ms(now_ms)} ms; other"
                " instances are free"
            )
        elif self._handover is not None and self._is_cut_off:
            kind = error_responses.ErrorKind.TARGETS_UNREACHABLE
            detail = "this instance reaches no target of the service either"
        else:
            return None
        return self._other_instance_response(kind, detail)

    def _has_link_room(self, now_ms: int) -> bool:
        """Returns whether the own link would send the request soon enough."""
        urgency = self._context.view.configuration.urgency(
            self._service.name, self.route
        )
        return self._context.loop.link.may_admit(
            max_wait_ms=link_budget.max_wait_ms(
                rank=urgency.rank, target_latency_ms=urgency.target_latency_ms
            ),
            now_ms=now_ms,
            body_bytes=len(self.request.body),
        )

    def _authenticate_and_route(
        self, configuration: configuration_lib.Configuration
    ) -> error_responses.ErrorResponse | None:
        request = self.request
        self.route = configuration.find_route(request.host, request.path)
        if self.route is None:
            return error_responses.ErrorResponse(
                error_responses.ErrorKind.NO_ROUTE,
                f"configuration version {configuration.version} has no route"
                " for this host and path",
            )
        self._team = configuration.team_by_key.get(self.metadata.key)
        is_key_needed = configuration.requires_keys and not self.route.is_public
        if is_key_needed and self._team is None:
            return error_responses.ErrorResponse(
                error_responses.ErrorKind.UNKNOWN_KEY,
                f"configuration version {configuration.version} has no team"
                " with this key",
            )
        self._service = configuration.service(
            _pick_service(self.route, self._context.random_source)
        )
        return None

    @property
    def identity(self) -> str:
        """What this request has in common with its repetitions."""
        if not self._identity:
            self._identity = request_identity.identify(
                caller=self._team.name if self._team else "",
                method=self.request.method,
                target=self.request.host + self.request.target,
                body=self.request.body,
            )
        return self._identity

    @property
    def suspects(self) -> tuple[str, ...]:
        """What a target may crash on: the request, or a part of its prompt."""
        prompt = self._prompt
        parts = prompt.shared_part_ids if prompt is not None else ()
        return (self.identity, *parts)

    def find_quarantine(self) -> crash_suspicions.Quarantine | None:
        """Returns the quarantine of this request; None if it may be sent."""
        if not self._context.quarantine.suspicions.quarantines:
            return None
        return self._context.quarantine.find(self.suspects)

    @property
    def _is_resumption(self) -> bool:
        """Whether the caller resumes a stream that an earlier request began."""
        return (
            self.route.kind is configuration_lib.RouteKind.STREAM
            and self.metadata.last_event_id is not None
        )

    def _find_origin(self) -> None:
        stream_id = self.metadata.stream_id
        if stream_id is None and self._handover is not None:
            # The stream began in this request, at a peer that is gone.
            stream_id = self.metadata.attempt_id
        self._context.origins.resolve(
            self.metadata.attempt_id,
            stream_id=stream_id,
            host=self.request.host,
            path=self.request.path,
        ).add_done_callback(lambda done: self._handle_origin(done.result()))

    def _handle_origin(
        self, origin: stream_origins.StreamOrigin | None
    ) -> None:
        """Continues with a resumed stream where it began, or rejects it."""
        if self.is_ended:
            return
        # The configuration may have changed since.
        error = self._authenticate_and_route(self._context.view.configuration)
        if error is not None:
            self._reject(error)
            return
        if origin is None:
            self.reject_unexecuted(
                error_responses.ErrorKind.STREAM_ORIGIN_UNKNOWN,
                "no instance that responds knows where the stream began, and"
                " the targets of the route differ in their software version, or"
                " nobody that reaches the store confirms that they don't",
            )
        elif origin.service not in self.route.service_names:
            self.reject_unexecuted(
                error_responses.ErrorKind.NO_TARGET,
                f"the stream began at service {origin.service!r}, to which the"
                f" route {self.route.name!r} no longer leads",
            )
        else:
            self._origin = origin
            self._service = self._context.view.configuration.service(
                origin.service
            )
            self._reserve()

    @property
    def _prompt(self) -> metadata_lib.Prompt | None:
        return self.metadata.prompt if self.route.has_prompt else None

    def _reserve(self) -> None:
        team, prompt = self._team, self._prompt
        quarantine = self.find_quarantine()
        if quarantine is not None:
            self._is_trial = self._context.quarantine.acquire_trial(quarantine)
            if not self._is_trial:
                self.reject_quarantined(quarantine)
                return
        if team is None or prompt is None or team.prepaid_tokens is None:
            self._dispatch()
            return
        outcome = self._context.rights.reserve(
            team.name, self.metadata.attempt_id, prompt.max_total_tokens
        )
        if isinstance(outcome, futures.Future):
            outcome.add_done_callback(
                lambda done: self._handle_reservation(done.result())
            )
        else:
            self._handle_reservation(outcome)

    def _handle_reservation(
        self, outcome: manager_lib.ReservationOutcome
    ) -> None:
        if outcome is manager_lib.ReservationOutcome.RESERVED:
            self._has_reservation = True
        if self.is_ended:
            self._settle()
            return
        if outcome is manager_lib.ReservationOutcome.RESERVED:
            self._dispatch()
            return
        available = self._context.rights.available_tokens(self._team.name)
        bound = self._prompt.max_total_tokens
        detail = (
            f"the request needs up to {bound} tokens; {available} are available"
            " on this instance"
        )
        if outcome is manager_lib.ReservationOutcome.EXHAUSTED:
            self._reject(
                error_responses.ErrorResponse(
                    error_responses.ErrorKind.BUDGET_EXHAUSTED, detail
                )
            )
        else:
            self._reject(
                error_responses.ErrorResponse(
                    error_responses.ErrorKind.RIGHTS_UNREACHABLE,
                    detail,
                    retry_after_ms=self._jittered_ms(
                        error_responses.RETRY_STORE_OUTAGE_MS
                    ),
                )
            )

    def _count_for_retries(self) -> None:
        """Counts a request of a caller once in the fleet's retry budget."""
        if self._handover is None and not self._is_counted:
            self._is_counted = True
            self._context.retry_budget(self._service.name).record_request(
                now_ms=self._context.loop.now_ms()
            )

    def _dispatch(self) -> None:
        self._count_for_retries()
        possible_runs, max_runs = 0, self.route.max_attempts
        if self._handover is not None:
            # The sender can't know of a second run if no response arrives.
            possible_runs = self._handover.possible_runs
            max_runs = min(max_runs, possible_runs + 1)
        self._dispatcher = dispatching.Dispatcher(
            self._context,
            self,
            service=self._service,
            team=self._team,
            prompt=self._prompt,
            delivery=self._delivery,
            origin=self._origin,
            is_trial=self._is_trial,
            possible_runs=possible_runs,
            max_runs=max_runs,
        )
        self._dispatcher.send_next()

    def _deadline_expired(self) -> None:
        self.give_up(
            error_responses.ErrorKind.TIMED_OUT,
            not_run=error_responses.ErrorKind.OUT_OF_TIME,
            detail="there was no complete response before the deadline",
        )

    def give_up(
        self,
        kind: error_responses.ErrorKind,
        *,
        not_run: error_responses.ErrorKind,
        detail: str,
    ) -> None:
        """Ends the request now, with what is known of it.

        Args:
            kind: Kind of the error if it may have run.
            not_run: Kind of the error if it has not.
            detail: Why it is given up.
        """
        if self.is_ended:
            return
        if self._dispatcher is not None:
            self._dispatcher.give_up(kind, not_run=not_run, detail=detail)
        else:
            self.reject_unexecuted(not_run, detail)

    def cancel(self, *, cause: str) -> None:
        """Cancels the request after its connection was closed.

        Args:
            cause: Why it was closed.
        """
        if self.is_ended:
            return
        if self._dispatcher is not None:
            self._dispatcher.cancel()
        self._end("cancelled", metrics_lib.Outcome.UNKNOWN, cause, 0)

    def reject_unexecuted(
        self,
        kind: error_responses.ErrorKind,
        detail: str,
        *,
        retry_after_ms: int = error_responses.RETRY_AFTER_FAULT_MS,
    ) -> None:
        """Rejects a request that did not run, with the time to retry it.

        Args:
            kind: Kind of the error.
            detail: What was found.
            retry_after_ms: Mean retry time; it is spread over the callers.
        """
        self._reject(
            error_responses.ErrorResponse(
                kind, detail, retry_after_ms=self._jittered_ms(retry_after_ms)
            )
        )

    def reject_quarantined(
        self, quarantine: crash_suspicions.Quarantine
    ) -> None:
        """Rejects a request that did not run, and may not."""
        kinds = error_responses.ErrorKind
        self._reject(
            error_responses.ErrorResponse(
                kinds.REQUEST_QUARANTINED
                if quarantine.is_of_request
                else kinds.PROMPT_QUARANTINED,
                describe_quarantine(
                    quarantine, now_ms=self._context.loop.now_ms()
                ),
                retry_after_ms=self._context.quarantine.retry_after_ms(
                    quarantine
                ),
            )
        )

    def fail_quarantined(self, quarantine: crash_suspicions.Quarantine) -> None:
        """Ends a request that may have run, and may not again."""
        self.fail(
            error_responses.ErrorKind.BROKEN,
            describe_quarantine(quarantine, now_ms=self._context.loop.now_ms()),
        )

    def fail(self, kind: error_responses.ErrorKind, detail: str) -> None:
        """Ends, without a complete response, a request that may have run."""
        if self.is_ended:
            return
        if self._delivery.is_started:
            self._delivery.abort()
            self._end("aborted", metrics_lib.Outcome.UNKNOWN, detail, 0)
            return
        error = error_responses.ErrorResponse(kind, detail)
        self._delivery.send_error(error)
        self._end(
            kind.name.lower(),
            metrics_lib.Outcome.UNKNOWN,
            detail,
            error.status,
        )

    def finish(self, status: int) -> None:
        """Ends a request whose complete response was delivered."""
        self._end("finished", metrics_lib.Outcome.FINISHED, "", status)

    def finish_unserved(self, status: int, *, is_not_run: bool) -> None:
        """Ends a request that got an error response of a peer itself.

        Args:
            status: Status of the response.
            is_not_run: Whether it states that the request did not run.
        """
        outcome = (
            metrics_lib.Outcome.REFUSED
            if is_not_run
            else metrics_lib.Outcome.UNKNOWN
        )
        self._end("ended_by_peer", outcome, "", status)

    def _reject(self, error: error_responses.ErrorResponse) -> None:
        if self._delivery.is_started:
            self.fail(error.kind, error.detail)
            return
        if self.is_ended:
            return
        declined: messages.HeaderFields = []
        if (
            self._handover is not None
            and error.kind in error_responses.DECLINED_KINDS
        ):
            kind = error.kind.name.lower().encode()
            declined.append((handover_lib.DECLINED_FIELD, kind))
        self._delivery.send_error(error, extra_fields=declined)
        self._end(
            error.kind.name.lower(),
            metrics_lib.Outcome.REFUSED,
            error.detail,
            error.status,
        )

    def _jittered_ms(self, mean_ms: int) -> int:
        """Returns a random time around the mean, which spreads retries."""
        return round(mean_ms * (0.5 + self._context.random_source.random()))

    def _settle(self) -> None:
        if self._has_reservation:
            self._has_reservation = False
            self._context.rights.settle(
                self._team.name, self.metadata.attempt_id, self.spent_tokens
            )

    @property
    def spent_tokens(self) -> int:
        """Number of tokens that the request has or may have used so far.

        What it uses at a peer is settled there.
        """
        if self._spent_before_handover is not None:
            return self._spent_before_handover
        dispatcher = self._dispatcher
        if dispatcher is None or not dispatcher.may_have_run:
            return 0
        engine = self._service.engine
        per_event = engine.tokens_per_event if engine is not None else 1
        delivered = self._delivery.event_count * per_event
        prompt = self._prompt
        if prompt is None or (
            self._handover is not None and self._handover.is_input_billed
        ):
            return delivered
        return prompt.input_tokens + delivered

    def _end(
        self, how: str, outcome: metrics_lib.Outcome, cause: str, status: int
    ) -> None:
        self.is_ended = True
        if self._timer is not None:
            self._timer.cancel()
        spent = self.spent_tokens
        self._settle()
        context, now_ms = self._context, self._context.loop.now_ms()
        dispatcher = self._dispatcher
        if self._handover is not None:
            context.handed_over_count -= 1
        configuration = context.view.configuration
        took_ms = now_ms - self.request.received_at_ms
        context.log.event(
            "request_ended",
            request=self.metadata.attempt_id,
            how=how,
            status=status or None,
            cause=cause or None,
            route=self.route.name if self.route else None,
            team=self._team.name if self._team else None,
            target=dispatcher.target_id if dispatcher else None,
            peer=dispatcher.peer_name if dispatcher else None,
            handed_over_by=self.sender_name,
            attempts=dispatcher.attempts if dispatcher else 0,
            took_ms=took_ms,
            first_event_ms=self._delivery.time_to_first_event_ms(self.request),
            events=self._delivery.event_count or None,
            framing=dispatcher.response_framing if dispatcher else None,
            partial_event_bytes=self._delivery.partial_event_bytes or None,
            spent_tokens=spent or None,
            version=configuration.version if configuration else None,
        )
        self._dispatcher = None
        if dispatcher is not None:
            dispatcher.release()
        if self._handover is not None:
            # The instance of the caller counts the request and its latency.
            context.metrics.record_handed_over_request(
                service=self._service.name if self._service else "",
                request_kind=self.route.kind.value if self.route else "",
                spent_tokens=spent,
            )
            return
        context.metrics.record_request_end(
            metrics_lib.RequestEnd(
                service=self._service.name if self._service else "",
                request_kind=self.route.kind.value if self.route else "",
                outcome=outcome,
                cause="" if outcome is metrics_lib.Outcome.FINISHED else how,
                target_id=dispatcher.target_id if dispatcher else "",
                availability_zone=context.settings.availability_zone,
                latency_ms=took_ms,
                spent_tokens=spent,
            )
        )

    def __repr__(self) -> str:
        return f"Exchange({self.metadata.attempt_id!r}, ended={self.is_ended})"


def describe_quarantine(
    quarantine: crash_suspicions.Quarantine, *, now_ms: int
) -> str:
    """Returns what is quarantined and why, for callers and the log."""
    age_ms = max(0, now_ms - quarantine.last_crash_ms)
    return (
        f"targets crashed {quarantine.crash_count} times, last {age_ms} ms ago,"
        f" on {','.join(sorted(quarantine.suspects))}"
    )


def _pick_service(
    route: configuration_lib.Route, random_source: random.Random
) -> str:
    weights = [service.weight for service in route.services]
    if len(weights) == 1 or not any(weights):
        return route.services[0].service
    picked = random_source.choices(route.services, weights)[0]
    return picked.service
