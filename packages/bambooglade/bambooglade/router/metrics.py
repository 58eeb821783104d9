"""Metrics of one instance, rendered for `GET /metrics`.

Labels contain only names of rows and kinds of failures, never keys, bodies or
other data that a caller or an operator sends.
"""

from __future__ import annotations

from collections.abc import Sequence
import enum
import threading
from typing import TypeAlias

import aioprometheus
from aioprometheus import collectors
import msgspec

Labels: TypeAlias = dict[str, str]

REQUESTS_TOTAL = "bambooglade_requests_total"
LATENCY_SECONDS = "bambooglade_request_seconds"
SPENT_TOKENS_TOTAL = "bambooglade_spent_tokens_total"
PLATFORM_CALLS_TOTAL = "bambooglade_platform_calls_total"
HELD_TOKENS = "bambooglade_held_tokens"
UNUSED_TOKENS = "bambooglade_unused_tokens"
INSTANCES = "bambooglade_instances"
HANDED_OVER_REQUESTS_TOTAL = "bambooglade_handed_over_requests_total"
RETRIES_TOTAL = "bambooglade_retries_total"
UNREACHABLE_SERVICES = "bambooglade_unreachable_services"
MALFORMED_TARGETS = "bambooglade_malformed_targets"
EVACUATED_ZONES = "bambooglade_evacuated_zones"
EXCLUDED_TARGETS = "bambooglade_excluded_targets"
EVACUATED_ZONE_REQUESTS = "bambooglade_requests_in_evacuated_zones"
BRITTLE_SERVICES = "bambooglade_brittle_services"
COLD_TARGETS = "bambooglade_cold_targets"
SILENT_TARGETS = "bambooglade_silent_targets"
WAITING_REQUESTS = "bambooglade_requests_waiting_for_room"
HELD_BYTES = "bambooglade_held_bytes"
ACCEPTED_CONNECTIONS = "bambooglade_accepted_connections"
GIVEN_UP_CLIENTS_TOTAL = "bambooglade_given_up_clients_total"
PREDICTION_ERROR = "bambooglade_prediction_error_ratio"
PREDICTIONS_OFF = "bambooglade_predictions_off_ratio"
QUARANTINES = "bambooglade_quarantined_prompts"
LINK_WAIT_MS = "bambooglade_link_wait_ms"
OUT_OF_ROTATION = "bambooglade_out_of_rotation"
SHARDS_SERVED = "bambooglade_shards_served"

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    collectors.POS_INF,
)
_MS_PER_S = 1_000


class Outcome(enum.StrEnum):
    """Outcome of a request, from the point of view of its caller."""

    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RequestEnd(msgspec.Struct, frozen=True, kw_only=True):
    """A request that has ended, as it is counted in the metrics.

    Attributes:
        service: Name of the service, taken from a row and never from the
            request, so that callers cannot create labels.
        request_kind: Kind of request.
        outcome: Outcome for the caller.
        cause: Kind of the failure; empty for a finished request.
        target_id: The target that responded last; empty for none.
        availability_zone: Zone of that target, or else of the instance.
        latency_ms: Time from the first byte of the request to the end of the
            response.
        spent_tokens: Tokens billed.
    """

    service: str
    request_kind: str
    outcome: Outcome
    availability_zone: str
    latency_ms: int
    cause: str = ""
    target_id: str = ""
    spent_tokens: int = 0


class Metrics:
    """Counters, latencies and gauges of an instance; thread-safe.

    Examples:
        >>> metrics = Metrics()
        >>> metrics.record_request_end(RequestEnd(service="till-api",
        ...     request_kind="deduct", outcome=Outcome.FINISHED,
        ...     availability_zone="scot-a", latency_ms=12))
        >>> b"bambooglade_requests_total" in metrics.render().body
        True

    See Also:
        bambooglade_ctl.burn: computes burn rates from these metrics.
    """

    __slots__ = ("_by_name", "_lock", "_registry")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = aioprometheus.Registry()
        self._by_name = {
            collector.name: collector
            for collector in _collectors(self._registry)
        }

    def record_request_end(self, end: RequestEnd) -> None:
        """Counts a request and its latency."""
        request = {"service": end.service, "kind": end.request_kind}
        origin = {"target": end.target_id, "zone": end.availability_zone}
        end_labels = {"outcome": end.outcome.value, "cause": end.cause}
        latency = {**request, **origin, "outcome": end.outcome.value}
        with self._lock:
            self._by_name[REQUESTS_TOTAL].inc(
                {**request, **origin, **end_labels}
            )
            self._by_name[LATENCY_SECONDS].observe(
                latency, end.latency_ms / _MS_PER_S
            )
            self._by_name[SPENT_TOKENS_TOTAL].add(request, end.spent_tokens)

    def record_handed_over_request(
        self, *, service: str, request_kind: str, spent_tokens: int
    ) -> None:
        """Counts a request of a peer, and the tokens that it used here."""
        request = {"service": service, "kind": request_kind}
        with self._lock:
            self._by_name[HANDED_OVER_REQUESTS_TOTAL].inc(request)
            self._by_name[SPENT_TOKENS_TOTAL].add(request, spent_tokens)

    def record_retry(self, *, service: str, is_allowed: bool) -> None:
        """Counts a request that was to be sent once more."""
        outcome = "allowed" if is_allowed else "denied"
        with self._lock:
            self._by_name[RETRIES_TOTAL].inc(
                {"service": service, "outcome": outcome}
            )

    def record_given_up_clients(self, count: int, *, reason: str) -> None:
        """Counts clients that were given up or refused for lack of room."""
        with self._lock:
            self._by_name[GIVEN_UP_CLIENTS_TOTAL].add({"reason": reason}, count)

    def record_platform_call(self, *, call: str, outcome: str) -> None:
        """Counts a call to a service of the platform.

        Args:
            call: Kind of call, such as `read`, `write` or `watch`.
            outcome: `answered` or `lost`.
        """
        labels = {"call": call, "outcome": outcome}
        with self._lock:
            self._by_name[PLATFORM_CALLS_TOTAL].inc(labels)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge.

        Args:
            name: A metric name defined in this module, such as `HELD_TOKENS`.
            value: The new value, in the unit given by the suffix of the name.
        """
        with self._lock:
            self._by_name[name].set({}, value)

    def render(self, accepts: Sequence[str] = ()) -> RenderedMetrics:
        """Renders all metrics in the Prometheus exposition format.

        Args:
            accepts: Values of the request's Accept headers.
        """
        with self._lock:
            body, headers = aioprometheus.render(self._registry, list(accepts))
        return RenderedMetrics(body=body, content_type=headers["Content-Type"])

    def __repr__(self) -> str:
        return f"Metrics(collectors={len(self._by_name)})"


class RenderedMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """Body and content type of a response to `GET /metrics`."""

    body: bytes
    content_type: str


def _collectors(
    registry: aioprometheus.Registry,
) -> tuple[collectors.Collector, ...]:
    counters = {
        REQUESTS_TOTAL: "Requests that ended.",
        SPENT_TOKENS_TOTAL: "Tokens that were billed.",
        PLATFORM_CALLS_TOTAL: "Calls to the platform's services.",
        HANDED_OVER_REQUESTS_TOTAL: "Requests that were served for a peer.",
        GIVEN_UP_CLIENTS_TOTAL: "Clients that were given up for lack of room.",
        RETRIES_TOTAL: "Retries that the retry budget allowed or denied.",
    }
    gauges = {
        HELD_TOKENS: "Rights of lost instances, held at this primary.",
        UNUSED_TOKENS: "Rights at this primary that nothing uses.",
        INSTANCES: "Instances that this one believes to be alive.",
        QUARANTINES: "Prompt parts that are kept from all targets.",
        LINK_WAIT_MS: "Time for which a byte waits for the link, in ms.",
        OUT_OF_ROTATION: "Whether overload keeps this instance unready.",
        UNREACHABLE_SERVICES: "Services of which no target is reached.",
        MALFORMED_TARGETS: "Entries of targets that can't be decoded.",
        EVACUATED_ZONES: "Zones whose targets get no requests.",
        EXCLUDED_TARGETS: "Targets whose own rows exclude them.",
        EVACUATED_ZONE_REQUESTS: "Requests that still run in such zones.",
        BRITTLE_SERVICES: "Services whose targets bear few rejections.",
        COLD_TARGETS: "Targets that get few requests since they are cold.",
        SILENT_TARGETS: "Targets that sent nothing since they were given up.",
        PREDICTION_ERROR: "Usual error of predicted first events.",
        PREDICTIONS_OFF: "Share of them that is off by more than half.",
        WAITING_REQUESTS: "Requests that wait for room at such a target.",
        HELD_BYTES: "Memory that messages take which are received or sent.",
        ACCEPTED_CONNECTIONS: "Open connections that clients opened.",
        SHARDS_SERVED: "Shards that this instance is primary of.",
    }
    latency = aioprometheus.Histogram(
        LATENCY_SECONDS,
        "Time from a request to its whole answer, in seconds.",
        registry=registry,
        buckets=LATENCY_BUCKETS_S,
    )
    return (
        latency,
        *(
            aioprometheus.Counter(name, doc, registry=registry)
            for name, doc in counters.items()
        ),
        *(
            aioprometheus.Gauge(name, doc, registry=registry)
            for name, doc in gauges.items()
        ),
    )
