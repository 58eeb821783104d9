"""Sends one request to targets until one gives a whole response.

A request that may not be repeated is sent again only if it is certain that it
did not run: nothing was sent, or the target said so.
"""

from __future__ import annotations

from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import context as context_lib
from bambooglade.gateway import delivery as delivery_lib
from bambooglade.gateway import error_responses
from bambooglade.gateway import event_stream
from bambooglade.gateway import facts as facts_lib
from bambooglade.gateway import placement as placement_lib
from bambooglade.gateway import target_pool
from bambooglade.http1 import messages

MIN_REMAINING_MS = 30
"""Time below which sending a request makes no sense: the ways of a call."""

PLAIN_PATIENCE_MS = 300
"""Time after which a repeatable call is sent to another target."""

STREAM_PATIENCE_MS = 1_200
"""Time without an event after which a resumable stream goes on elsewhere."""

MAX_SENDS = 4
"""Targets that are tried for a request that none of them ran."""

MAX_BUFFERED_BYTES = 4_194_304
"""Longest response that is kept back until it is whole."""

_SUCCESSES = range(200, 300)
_FIRST_SERVER_ERROR = 500


class Dispatcher:
    """Sends, observes and repeats one request.

    Args:
        context: What requests share.
        exchange: The request, which is told how it ended.
        service: The service that runs it.
        team: The caller's team; None for a public route.
        prompt: Declared size; None for a plain service.
        delivery: Where the response goes.

    Attributes:
        attempts: Targets that the request was sent to.
        may_have_run: Whether a target may have run it.
        target_id: The last target; empty before the first.
    """

    __slots__ = (
        "_attempt",
        "_body",
        "_choice",
        "_context",
        "_delivery",
        "_exchange",
        "_facts",
        "_has_first_byte",
        "_patience",
        "_prompt",
        "_runs",
        "_sent_at_ms",
        "_service",
        "_team",
        "_tried",
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
        prompt: facts_lib.Prompt | None,
        delivery: delivery_lib.Delivery,
    ) -> None:
        self._context = context
        self._exchange = exchange
        self._service = service
        self._team = team
        self._prompt = prompt
        self._delivery = delivery
        self._attempt: target_pool.Attempt | None = None
        self._choice: placement_lib.Choice | None = None
        self._facts: facts_lib.ResponseFacts | None = None
        self._patience = None
        self._body: list[bytes] = []
        self._tried: set[str] = set()
        self._sent_at_ms = 0
        self._has_first_byte = False
        self._runs = 0
        self.attempts = 0
        self.may_have_run = False
        self.target_id = ""
        context.retries(service.name).note_request(now_ms=context.loop.now_ms())

    @property
    def _route(self) -> configuration_lib.Route:
        return self._exchange.route

    def send_next(self) -> None:
        """Sends the request to the best target that was not tried."""
        context = self._context
        now_ms = context.loop.now_ms()
        remaining_ms = self._exchange.deadline_at_ms - now_ms
        if remaining_ms < MIN_REMAINING_MS:
            self._give_up(
                error_responses.ErrorKind.OUT_OF_TIME, "too little time is left"
            )
            return
        ready = context.view.ready_targets(self._service.name)
        choice = context.placement.choose(
            ready,
            prompt=self._prompt,
            excluded=self._tried,
            now_ms=now_ms,
            target_latency_ms=self._route.target_latency_ms,
        )
        if choice.target is None:
            self._give_up(error_responses.ErrorKind.NO_TARGET, choice.reason)
            return
        self._choice = choice
        self.target_id = choice.target.target_id
        self._tried.add(self.target_id)
        self.attempts += 1
        self._sent_at_ms = now_ms
        self._has_first_byte = False
        self._body = []
        self._facts = None
        context.placement.started(
            self.target_id,
            self._exchange.facts.attempt_id,
            choice=choice,
            prompt=self._prompt,
            now_ms=now_ms,
        )
        context.log.event(
            "request_dispatched",
            request=self._exchange.facts.attempt_id,
            target=self.target_id,
            service=self._service.name,
            attempt=self.attempts,
            remaining_ms=remaining_ms,
            predicted_ms=round(choice.predicted_ms),
            reason=choice.reason,
            targets_revision=context.view.targets_revision,
        )
        self._attempt = self._send(choice, remaining_ms)
        self._arm_patience()

    def _send(
        self, choice: placement_lib.Choice, remaining_ms: int
    ) -> target_pool.Attempt:
        context, request = self._context, self._exchange.request
        attempt_id = self._exchange.facts.attempt_id
        dispatch = facts_lib.Dispatch(
            target_id=choice.target.target_id,
            remaining_ms=remaining_ms,
            team=self._team.name if self._team else None,
            priority=self._priority(),
            last_event_id=self._delivery.last_event_id
            or self._exchange.facts.last_event_id,
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
            is_repeatable=self._route.is_idempotent,
            is_expected=lambda head: context.codec.answers_attempt(
                head, attempt_id
            ),
        )

    def _priority(self) -> int | None:
        if self._prompt is None:
            return None
        rank = self._route.priority
        if self._team is not None and self._team.priority is not None:
            rank = self._team.priority
        return max(0, min(9, rank))

    def head_received(self, head: messages.ResponseHead) -> None:
        """Decides whether the response is delivered as it arrives."""
        self._facts = self._context.codec.response_facts(head)
        self._context.placement.reachable(self._choice.target)
        now_ms = self._context.loop.now_ms()
        if self._facts.load is not None:
            self._context.placement.reported(
                self.target_id, self._facts.load, now_ms=now_ms
            )
        if self._prompt is None:
            self._note_first_byte(now_ms)
            self._arm_patience()
        if self._is_stream(head):
            self._delivery.start_stream(head)

    def _is_stream(self, head: messages.ResponseHead) -> bool:
        return (
            self._route.kind is configuration_lib.RouteKind.STREAM
            and self._is_genuine_success(head)
        )

    def _is_genuine_success(self, head: messages.ResponseHead) -> bool:
        return (
            head.status in _SUCCESSES
            and self._facts.is_signed
            and not self._facts.is_encoded
        )

    def _note_first_byte(self, now_ms: int) -> None:
        if self._has_first_byte:
            return
        self._has_first_byte = True
        self._context.placement.first_byte(
            self.target_id,
            self._exchange.facts.attempt_id,
            took_ms=now_ms - self._sent_at_ms,
            predicted_ms=self._choice.predicted_ms,
            now_ms=now_ms,
        )

    def body_received(self, data: bytes) -> None:
        """Passes events on, or keeps the part until the response is whole."""
        if not self._is_stream(self._attempt.head):
            self._body.append(data)
            if sum(map(len, self._body)) > MAX_BUFFERED_BYTES:
                self._abandon("response too long")
            return
        self.may_have_run = True
        try:
            has_event = self._delivery.stream(data)
        except event_stream.EventTooLargeError as error:
            self._abandon(str(error))
            return
        if has_event:
            self._note_first_byte(self._context.loop.now_ms())
            self._arm_patience()

    def _abandon(self, reason: str) -> None:
        self._attempt.cancel()
        self.attempt_ended(target_pool.AttemptEnd.BROKEN, reason)

    def attempt_ended(self, end: target_pool.AttemptEnd, reason: str) -> None:
        """Delivers the response, sends the request again, or gives up."""
        self._disarm_patience()
        self._context.placement.ended(
            self.target_id, self._exchange.facts.attempt_id
        )
        if end is target_pool.AttemptEnd.COMPLETE:
            self._completed(self._attempt.head)
        elif end is target_pool.AttemptEnd.NOT_SENT:
            self._context.placement.unreachable(
                self._choice.target, now_ms=self._context.loop.now_ms()
            )
            self._note_failure(reason)
            self._send_again_unrun(reason, has_arrived=False)
        else:
            self.may_have_run = True
            self._runs += 1
            self._note_failure(reason)
            self._delivery.break_stream()
            self._send_again_broken(reason)

    def _completed(self, head: messages.ResponseHead) -> None:
        facts = self._facts
        if facts.was_not_run and not self._delivery.is_started:
            if facts.is_misdirected:
                self._context.view.remove_target(
                    self.target_id, reason="misdirected"
                )
                self._context.pool.forget(self._choice.target.address)
            self._send_again_unrun(f"declined with status {head.status}")
            return
        self.may_have_run = True
        self._runs += 1
        if self._is_genuine_success(head):
            self._context.placement.succeeded(self.target_id)
            self._deliver(head)
        elif head.status in _SUCCESSES:
            self._note_failure("unsigned success")
            self._send_again_broken("the target's response is not genuine")
        else:
            self._deliver_failure(head)

    def _deliver(self, head: messages.ResponseHead) -> None:
        if self._is_stream(head):
            self._delivery.end_stream()
        else:
            self._delivery.respond(head, b"".join(self._body))
        self._exchange.finish(head.status)

    def _deliver_failure(self, head: messages.ResponseHead) -> None:
        """Takes a failure that the target itself answered."""
        is_server_error = head.status >= _FIRST_SERVER_ERROR
        if is_server_error:
            self._note_failure(f"status {head.status}")
        if is_server_error and self._try_acquire_rerun():
            self.send_next()
        elif self._delivery.is_started:
            self._exchange.fail(
                error_responses.ErrorKind.BROKEN,
                f"status {head.status} in a stream",
            )
        else:
            self._delivery.respond(head, b"".join(self._body))
            self._exchange.finish(head.status)

    def _note_failure(self, reason: str) -> None:
        now_ms = self._context.loop.now_ms()
        self._context.placement.failed(self.target_id, now_ms=now_ms)
        self._context.log.event(
            "attempt_failed",
            request=self._exchange.facts.attempt_id,
            target=self.target_id,
            attempt=self.attempts,
            reason=reason,
            after_ms=now_ms - self._sent_at_ms,
            may_have_run=self.may_have_run,
        )

    def _send_again_unrun(
        self, reason: str, *, has_arrived: bool = True
    ) -> None:
        """Sends a request again that did not run.

        One that did not reach its target adds no load to any, and draws on no
        allowance.
        """
        is_allowed = self.attempts < MAX_SENDS
        if is_allowed and (not has_arrived or self._take_retry()):
            self.send_next()
        else:
            self._give_up(error_responses.ErrorKind.OVERLOADED, reason)

    def _send_again_broken(self, reason: str) -> None:
        if self._try_acquire_rerun():
            self.send_next()
        else:
            self._exchange.fail(error_responses.ErrorKind.BROKEN, reason)

    def _try_acquire_rerun(self) -> bool:
        now_ms = self._context.loop.now_ms()
        return (
            self._route.is_idempotent
            and self._runs < self._route.max_attempts
            and self._exchange.deadline_at_ms - now_ms >= MIN_REMAINING_MS
            and self._has_untried_target()
            and self._take_retry()
        )

    def _has_untried_target(self) -> bool:
        ready = self._context.view.ready_targets(self._service.name)
        return any(target.target_id not in self._tried for target in ready)

    def _take_retry(self) -> bool:
        return self._context.retries(self._service.name).take(
            now_ms=self._context.loop.now_ms()
        )

    def _give_up(self, kind: error_responses.ErrorKind, detail: str) -> None:
        if self.may_have_run:
            self._exchange.fail(error_responses.ErrorKind.BROKEN, detail)
        else:
            self._exchange.refuse_unsent(kind, detail)

    def _arm_patience(self) -> None:
        """Starts the time in which the target has to show progress."""
        self._disarm_patience()
        if not self._route.is_idempotent:
            return
        patience_ms = (
            PLAIN_PATIENCE_MS if self._prompt is None else STREAM_PATIENCE_MS
        )
        self._patience = self._context.loop.call_later(
            patience_ms, self._out_of_patience
        )

    def _disarm_patience(self) -> None:
        if self._patience is not None:
            self._patience.cancel()
            self._patience = None

    def _out_of_patience(self) -> None:
        """Goes on at another target, if one may still run the request."""
        if self._runs + 1 >= self._route.max_attempts:
            return
        if not self._has_untried_target() or not self._take_retry():
            return
        self.cancel()
        self._runs += 1
        self._note_failure("no progress")
        self._delivery.break_stream()
        self.send_next()

    def timed_out(self) -> None:
        """Ends the request at its deadline."""
        was_sent = self._attempt.is_sent or self.may_have_run
        self.cancel()
        if was_sent:
            self.may_have_run = True
            self._note_failure("deadline")
            self._exchange.fail(
                error_responses.ErrorKind.TIMED_OUT, "no whole response"
            )
        else:
            self._give_up(
                error_responses.ErrorKind.OUT_OF_TIME, "not sent in time"
            )

    def cancel(self) -> None:
        """Stops the target's work."""
        self._disarm_patience()
        attempt = self._attempt
        if attempt is not None and not attempt.is_over:
            self.may_have_run = self.may_have_run or attempt.is_sent
            attempt.cancel()
            self._context.placement.ended(
                self.target_id, self._exchange.facts.attempt_id
            )

    def __repr__(self) -> str:
        return f"Dispatcher(attempts={self.attempts})"
