"""Row types of the operators' table.

The key of a row is unique within its type. Checks that involve more than one
row are in `bambooglade.table.checks`.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

ANY = "*"
"""Wildcard that matches every team, service, request kind or method."""


class ServiceForm(enum.StrEnum):
    """Kind of the targets of a service."""

    MODEL = "model"
    PLAIN = "plain"


class RoutingState(enum.StrEnum):
    """Whether a target, or the targets of a zone, may get new requests."""

    ACTIVE = "active"
    EXCLUDED = "excluded"


class RowBase(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """Base class of all row types."""

    @property
    def row_key(self) -> str:
        """Key of the row, unique within the table."""
        raise NotImplementedError


class TeamRow(RowBase, frozen=True, kw_only=True, tag="team"):
    """A team, with the hash of its API key and its share of the capacity.

    Attributes:
        team_id: Name of the team.
        key_hash: Argon2 hash of the secret half of the team's API key.
        previous_key_hash: Hash of the key before the last rotation, if valid.
        weight: Weight in weighted fair queueing.
        cutoff_reserve_share: Share of the free budget, from 0 to 1, that is
            granted to the availability zones in advance, for use while they
            are cut off by a network partition.
        enabled: Whether requests of the team are accepted.
    """

    team_id: str
    key_hash: str
    previous_key_hash: str | None = None
    weight: float = 1.0
    cutoff_reserve_share: float = 0.75
    enabled: bool = True

    @property
    def row_key(self) -> str:
        """Key of the form `team/<team id>`."""
        return f"team/{self.team_id}"


class ServiceRow(RowBase, frozen=True, kw_only=True, tag="service"):
    """A service that requests are routed to.

    Attributes:
        service: Name of the service; for models also the model name.
        form: Whether its targets are model engines or plain services.
        checks_fencing: Whether its targets reject orders with an outdated
            fencing token.
    """

    service: str
    form: ServiceForm
    checks_fencing: bool = False

    @property
    def row_key(self) -> str:
        """Key of the form `service/<service>`."""
        return f"service/{self.service}"


class KindRow(RowBase, frozen=True, kw_only=True, tag="kind"):
    """A kind of request of one service.

    Attributes:
        service: Name of the service.
        request_kind: Name of the kind, for instance `status` or `deduct`.
        path_prefix: Path prefix of the requests, for a plain service.
        method: HTTP method of the requests, or `*` for any.
        repeatable: Whether requests of this kind are idempotent.
        cost_tokens: Fixed cost of a request; None for a model, which is billed
            by usage.
        priority: Priority; requests with a higher one are served first.
        max_concurrency: Limit on the requests in flight per instance.
    """

    service: str
    request_kind: str
    path_prefix: str = "/"
    method: str = ANY
    repeatable: bool = True
    cost_tokens: int | None = None
    priority: int = 0
    max_concurrency: int = 32

    @property
    def row_key(self) -> str:
        """Key of the form `kind/<service>/<kind>`."""
        return f"kind/{self.service}/{self.request_kind}"


class LimitRow(RowBase, frozen=True, kw_only=True, tag="limit"):
    """A spend limit on the requests that match, which also is an account.

    Attributes:
        team_id: Team that it applies to, or `*`.
        service: Service that it applies to, or `*`.
        request_kind: Kind of request that it applies to, or `*`.
        spend_limit_tokens: Total number of tokens that the matching requests
            may spend; None for no limit.
    """

    team_id: str = ANY
    service: str = ANY
    request_kind: str = ANY
    spend_limit_tokens: int | None = None

    @property
    def row_key(self) -> str:
        """Key of the form `limit/<team>/<service>/<kind>`."""
        return f"limit/{self.team_id}/{self.service}/{self.request_kind}"


class TargetRow(RowBase, frozen=True, kw_only=True, tag="target"):
    """A target of a service.

    Attributes:
        target_id: Name of the target.
        service: Service that it belongs to.
        availability_zone: Availability zone in which it runs.
        url: Base URL, with an IP address.
        weight: Capacity weight if the weight store has none.
        state: Whether it may get new requests. Requests in flight are not
            affected.
    """

    target_id: str
    service: str
    availability_zone: str
    url: str
    weight: float = 1.0
    state: RoutingState = RoutingState.ACTIVE

    @property
    def row_key(self) -> str:
        """Key of the form `target/<target id>`."""
        return f"target/{self.target_id}"


class ZoneRow(RowBase, frozen=True, kw_only=True, tag="zone"):
    """An availability zone; a zone without a row is active.

    Builds without this row type can't read a page of the table that has such
    a row, and keep the rows of the page that they know.

    Attributes:
        availability_zone: Name of the zone, as in the rows of its targets.
        state: Whether its targets may get new requests. Requests in flight
            are not affected.
    """

    availability_zone: str
    state: RoutingState = RoutingState.ACTIVE

    @property
    def row_key(self) -> str:
        """Key of the form `zone/<availability zone>`."""
        return f"zone/{self.availability_zone}"


class WarmUpRow(RowBase, frozen=True, kw_only=True, tag="warmup"):
    """A limit on the requests to targets that have just started.

    A service without a row has no limit. Builds without this row type can't
    read a page of the table that has such a row.

    Attributes:
        service: Service whose targets it applies to.
        max_requests_per_s: Requests per second that such a target may get from
            all instances together.
        duration_ms: Time after its start for which the limit applies.
    """

    service: str
    max_requests_per_s: float
    duration_ms: int

    @property
    def row_key(self) -> str:
        """Key of the form `warmup/<service>`."""
        return f"warmup/{self.service}"


class ObjectiveRow(RowBase, frozen=True, kw_only=True, tag="objective"):
    """A service-level objective.

    Attributes:
        service: Service that it applies to.
        request_kind: Kind of request that it applies to, or `*`.
        threshold_ms: Maximum latency of a good request.
        share: Target share of good requests, between 0 and 1.
        window_days: Length of the compliance window.
    """

    service: str
    request_kind: str = ANY
    threshold_ms: int = 1_000
    share: float = 0.95
    window_days: int = 28

    @property
    def row_key(self) -> str:
        """Key of the form `objective/<service>/<kind>`."""
        return f"objective/{self.service}/{self.request_kind}"


class OperatorRow(RowBase, frozen=True, kw_only=True, tag="operator"):
    """An operator's credential.

    Attributes:
        operator: Name of the operator.
        key_hash: Argon2 hash of the secret half of the operator's key.
        role: `viewer`, `editor` or `admin`.
    """

    operator: str
    key_hash: str
    role: str = "viewer"

    @property
    def row_key(self) -> str:
        """Key of the form `operator/<operator>`."""
        return f"operator/{self.operator}"


class OrderRow(RowBase, frozen=True, kw_only=True, tag="order"):
    """The desired state of a target.

    Attributes:
        target_id: Name of the target.
        model: Model to load.
        adapter: Adapter to load for the model; None for none.
        version: Version of the model.
        role: Role of the engine, for instance `mixed` or `prefill`.
    """

    target_id: str
    model: str
    adapter: str | None = None
    version: str = "1"
    role: str = "mixed"

    @property
    def row_key(self) -> str:
        """Key of the form `order/<target id>`."""
        return f"order/{self.target_id}"


Row: TypeAlias = (
    TeamRow
    | ServiceRow
    | KindRow
    | LimitRow
    | TargetRow
    | ZoneRow
    | WarmUpRow
    | ObjectiveRow
    | OperatorRow
    | OrderRow
)
