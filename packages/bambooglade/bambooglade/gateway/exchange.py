"""One request, from its last byte to the end of its response."""

from __future__ import annotations

from concurrent import futures
import random

from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import context as context_lib
from bambooglade.gateway import delivery as delivery_lib
from bambooglade.gateway import dispatching
from bambooglade.gateway import error_responses
from bambooglade.gateway import facts as facts_lib
from bambooglade.http1 import messages
from bambooglade.rights import manager as manager_lib
from bambooglade.router import metrics as metrics_lib

NO_DEADLINE_MS = 60_000
"""Time of a request whose route and caller name none."""


class Exchange:
    """Authenticates, reserves, dispatches and settles one request.

    Args:
        context: What requests share.
        request: The whole request.
        responder: The caller's connection.
    """

    __slots__ = (
        "_context",
        "_delivery",
        "_dispatcher",
        "_is_reserved",
        "_service",
        "_team",
        "_timer",
        "deadline_at_ms",
        "facts",
        "is_over",
        "request",
        "route",
    )

    def __init__(
        self,
        context: context_lib.GatewayContext,
        request: messages.Request,
        responder: delivery_lib.Responder,
    ) -> None:
        self._context = context
        self.request = request
        self.facts = context.codec.request_facts(request)
        self._delivery = delivery_lib.Delivery(responder)
        self._dispatcher: dispatching.Dispatcher | None = None
        self._team: configuration_lib.Team | None = None
        self._service: configuration_lib.Service | None = None
        self._is_reserved = False
        self._timer = None
        self.route: configuration_lib.Route | None = None
        self.deadline_at_ms = 0
        self.is_over = False

    def start(self) -> None:
        """Decides what becomes of the request."""
        configuration = self._context.view.configuration
        if configuration is None:
            self._refuse(
                error_responses.ErrorResponse(
                    error_responses.ErrorKind.NOT_READY,
                    "no configuration is known yet",
                    retry_after_ms=error_responses.RETRY_LATER_MS,
                )
            )
            return
        refusal = self._identify(configuration)
        if refusal is not None:
            self._refuse(refusal)
            return
        now_ms = self._context.loop.now_ms()
        refusal = self._elsewhere(now_ms)
        if refusal is not None:
            self._refuse(refusal)
            return
        self.deadline_at_ms = self.request.received_at_ms + min(
            self.facts.deadline_ms or NO_DEADLINE_MS, self.route.timeout_ms
        )
        self._timer = self._context.loop.call_later(
            self.deadline_at_ms - now_ms, self._timed_out
        )
        self._reserve()

    def _elsewhere(self, now_ms: int) -> error_responses.ErrorResponse | None:
        """Returns a refusal if another instance should take the request."""
        if self._context.is_refusing:
            kind, detail = (
                error_responses.ErrorKind.NOT_READY,
                "this instance stops",
            )
        elif self._context.congestion.is_congested(now_ms):
            kind = error_responses.ErrorKind.CONGESTED
            detail = "connecting takes long here; others are free"
        else:
            return None
        return error_responses.ErrorResponse(
            kind,
            detail,
            retry_after_ms=self._spread(error_responses.RETRY_ELSEWHERE_MS),
        )

    def _identify(
        self, configuration: configuration_lib.Configuration
    ) -> error_responses.ErrorResponse | None:
        request = self.request
        self.route = configuration.find_route(request.host, request.path)
        if self.route is None:
            return error_responses.ErrorResponse(
                error_responses.ErrorKind.NO_ROUTE,
                f"version {configuration.version} has no such route",
            )
        self._team = configuration.team_by_key.get(self.facts.key)
        is_key_needed = configuration.requires_keys and not self.route.is_public
        if is_key_needed and self._team is None:
            return error_responses.ErrorResponse(
                error_responses.ErrorKind.UNKNOWN_KEY,
                f"version {configuration.version} has no such key",
            )
        name = _pick_service(self.route, self._context.random_source)
        self._service = configuration.service_by_name.get(name)
        if self._service is None:
            self._service = configuration_lib.Service(
                name=name, max_connections=1
            )
        return None

    @property
    def _prompt(self) -> facts_lib.Prompt | None:
        return self.facts.prompt if self.route.has_prompt else None

    def _reserve(self) -> None:
        team, prompt = self._team, self._prompt
        if team is None or prompt is None or team.prepaid_tokens is None:
            self._dispatch()
            return
        outcome = self._context.rights.reserve(
            team.name, self.facts.attempt_id, prompt.bound_tokens
        )
        if isinstance(outcome, futures.Future):
            outcome.add_done_callback(
                lambda done: self._reserved(done.result())
            )
        else:
            self._reserved(outcome)

    def _reserved(self, outcome: manager_lib.ReservationOutcome) -> None:
        if outcome is manager_lib.ReservationOutcome.RESERVED:
            self._is_reserved = True
        if self.is_over:
            self._settle()
            return
        if outcome is manager_lib.ReservationOutcome.RESERVED:
            self._dispatch()
            return
        available = self._context.rights.available_tokens(self._team.name)
        bound = self._prompt.bound_tokens
        detail = f"{bound} tokens are needed, {available} are available here"
        if outcome is manager_lib.ReservationOutcome.EXHAUSTED:
            self._refuse(
                error_responses.ErrorResponse(
                    error_responses.ErrorKind.BUDGET_EXHAUSTED, detail
                )
            )
        else:
            self._refuse(
                error_responses.ErrorResponse(
                    error_responses.ErrorKind.RIGHTS_UNREACHABLE,
                    detail,
                    retry_after_ms=self._spread(
                        error_responses.RETRY_AFTER_OUTAGE_MS
                    ),
                )
            )

    def _dispatch(self) -> None:
        self._dispatcher = dispatching.Dispatcher(
            self._context,
            self,
            service=self._service,
            team=self._team,
            prompt=self._prompt,
            delivery=self._delivery,
        )
        self._dispatcher.send_next()

    def _timed_out(self) -> None:
        if self._dispatcher is not None:
            self._dispatcher.timed_out()
            return
        self._refuse(
            error_responses.ErrorResponse(
                error_responses.ErrorKind.OUT_OF_TIME,
                "its rights came too late",
            )
        )

    def cancel(self) -> None:
        """Gives the request up because its caller is gone."""
        if self.is_over:
            return
        if self._dispatcher is not None:
            self._dispatcher.cancel()
        self._end("cancelled", metrics_lib.Outcome.UNKNOWN, "caller_gone", 0)

    def refuse_unsent(
        self, kind: error_responses.ErrorKind, detail: str
    ) -> None:
        """Refuses a request that has not run, and says when to come back."""
        retry_after_ms = self._spread(error_responses.RETRY_SOON_MS)
        self._refuse(
            error_responses.ErrorResponse(
                kind, detail, retry_after_ms=retry_after_ms
            )
        )

    def fail(self, kind: error_responses.ErrorKind, detail: str) -> None:
        """Ends a request that may have run without a whole response."""
        if self.is_over:
            return
        if self._delivery.is_started:
            self._delivery.abort()
            self._end("aborted", metrics_lib.Outcome.UNKNOWN, detail, 0)
            return
        refusal = error_responses.ErrorResponse(kind, detail)
        self._delivery.refuse(refusal)
        self._end(
            kind.name.lower(),
            metrics_lib.Outcome.UNKNOWN,
            detail,
            refusal.status,
        )

    def finish(self, status: int) -> None:
        """Ends a request whose response was delivered whole."""
        self._end("finished", metrics_lib.Outcome.FINISHED, "", status)

    def _refuse(self, refusal: error_responses.ErrorResponse) -> None:
        if self.is_over:
            return
        self._delivery.refuse(refusal)
        self._end(
            refusal.kind.name.lower(),
            metrics_lib.Outcome.REFUSED,
            refusal.detail,
            refusal.status,
        )

    def _spread(self, mean_ms: int) -> int:
        """Spreads returns, so that callers don't come back all at once."""
        return round(mean_ms * (0.5 + self._context.random_source.random()))

    def _settle(self) -> None:
        if self._is_reserved:
            self._is_reserved = False
            self._context.rights.settle(
                self._team.name, self.facts.attempt_id, self.spent_tokens
            )

    @property
    def spent_tokens(self) -> int:
        """Tokens that the request has used so far, or may have used."""
        dispatcher = self._dispatcher
        if dispatcher is None or not dispatcher.may_have_run:
            return 0
        engine = self._service.engine
        per_event = engine.tokens_per_event if engine is not None else 1
        delivered = self._delivery.events * per_event
        prompt = self._prompt
        return (prompt.input_tokens if prompt else 0) + delivered

    def _end(
        self, how: str, outcome: metrics_lib.Outcome, cause: str, status: int
    ) -> None:
        self.is_over = True
        if self._timer is not None:
            self._timer.cancel()
        spent = self.spent_tokens
        self._settle()
        context, now_ms = self._context, self._context.loop.now_ms()
        dispatcher = self._dispatcher
        configuration = context.view.configuration
        took_ms = now_ms - self.request.received_at_ms
        context.log.event(
            "request_ended",
            request=self.facts.attempt_id,
            how=how,
            status=status or None,
            cause=cause or None,
            route=self.route.name if self.route else None,
            team=self._team.name if self._team else None,
            target=dispatcher.target_id if dispatcher else None,
            attempts=dispatcher.attempts if dispatcher else 0,
            took_ms=took_ms,
            first_event_ms=self._delivery.first_event_ms(self.request),
            events=self._delivery.events or None,
            spent_tokens=spent or None,
            version=configuration.version if configuration else None,
        )
        context.metrics.request_ended(
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
        return f"Exchange({self.facts.attempt_id!r}, over={self.is_over})"


def _pick_service(
    route: configuration_lib.Route, random_source: random.Random
) -> str:
    weights = [service.weight for service in route.services]
    if len(weights) == 1 or not any(weights):
        return route.services[0].service
    picked = random_source.choices(route.services, weights)[0]
    return picked.service
