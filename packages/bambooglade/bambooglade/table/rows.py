"""Rows of the operators' table.

Each kind of row is one message type; its key is unique within the kind. Checks
that need more than one row are in `bambooglade.table.checks`.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

ANY = "*"
"""Matches every team, service or kind of request."""


class ServiceForm(enum.StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class RowBase(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """Base of all rows; `row_key` names the row within the table."""

    @property
    def row_key(self) -> str:
        """Returns the key of the row, unique within the table."""
        raise NotImplementedError


class TeamRow(RowBase, frozen=True, kw_only=True, tag="team"):
    """A team, with the hash of its API key and its share of the capacity.

    Attributes:
        team_id: Name of the team.
        key_hash: Argon2 hash of the secret half of the team's API key.
        previous_key_hash: Hash of the key before the last rotation, if valid.
        weight: Share in weighted fair queueing; 1 for everybody by default.
        cutoff_reserve_share: Share of the free budget, from 0 to 1, that is
            granted to the zones in advance for a partition.
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
        """Returns `team/<team id>`."""
        return f"team/{self.team_id}"


class ServiceRow(RowBase, frozen=True, kw_only=True, tag="service"):
    """A service that requests are routed to.

    Attributes:
        service: Name of the service; for models also the model name.
        form: Model engines or plain services.
        checks_fencing: Whether its targets refuse orders with an old fencing
            number.
    """

    service: str
    form: ServiceForm
    checks_fencing: bool = False

    @property
    def row_key(self) -> str:
        """Returns `service/<service>`."""
        return f"service/{self.service}"


class KindRow(RowBase, frozen=True, kw_only=True, tag="kind"):
    """A kind of request of one service.

    Attributes:
        service: Name of the service.
        request_kind: Name of the kind, for instance `status` or `deduct`.
        path_prefix: Paths of a plain service that are of this kind.
        method: HTTP method that is of this kind, or `*`.
        repeatable: Whether running it twice does no harm.
        cost_tokens: Fixed cost of a call; None for a model, which is billed by
            its usage.
        priority: Higher goes first.
        max_concurrency: Calls of this kind in progress per instance.
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
        """Returns `kind/<service>/<kind>`."""
        return f"kind/{self.service}/{self.request_kind}"


class LimitRow(RowBase, frozen=True, kw_only=True, tag="limit"):
    """A spend limit for the requests that match; it is an account too.

    Attributes:
        team_id: Team that it applies to, or `*`.
        service: Service that it applies to, or `*`.
        request_kind: Kind of request that it applies to, or `*`.
        spend_limit_tokens: How much they may spend in all; None for no limit.
    """

    team_id: str = ANY
    service: str = ANY
    request_kind: str = ANY
    spend_limit_tokens: int | None = None

    @property
    def row_key(self) -> str:
        """Returns `limit/<team>/<service>/<kind>`."""
        return f"limit/{self.team_id}/{self.service}/{self.request_kind}"


class TargetRow(RowBase, frozen=True, kw_only=True, tag="target"):
    """A target of a service.

    Attributes:
        target_id: Name of the target.
        service: Service that it serves.
        availability_zone: Where it stands.
        url: Base URL, with an IP number.
        weight: Capacity weight when the weight store has none.
    """

    target_id: str
    service: str
    availability_zone: str
    url: str
    weight: float = 1.0

    @property
    def row_key(self) -> str:
        """Returns `target/<target id>`."""
        return f"target/{self.target_id}"


class ObjectiveRow(RowBase, frozen=True, kw_only=True, tag="objective"):
    """A service-level objective.

    Attributes:
        service: Service that it applies to.
        request_kind: Kind of request that it applies to, or `*`.
        threshold_ms: A good request is answered within this time.
        share: Share of good requests that is promised, between 0 and 1.
        window_days: Length of the window that the promise is made for.
    """

    service: str
    request_kind: str = ANY
    threshold_ms: int = 1_000
    share: float = 0.95
    window_days: int = 28

    @property
    def row_key(self) -> str:
        """Returns `objective/<service>/<kind>`."""
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
        """Returns `operator/<operator>`."""
        return f"operator/{self.operator}"


class OrderRow(RowBase, frozen=True, kw_only=True, tag="order"):
    """The state that a target is ordered into.

    Attributes:
        target_id: The target.
        model: Model to be loaded.
        adapter: Adapter to be loaded on it; None for none.
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
        """Returns `order/<target id>`."""
        return f"order/{self.target_id}"


Row: TypeAlias = (
    TeamRow
    | ServiceRow
    | KindRow
    | LimitRow
    | TargetRow
    | ObjectiveRow
    | OperatorRow
    | OrderRow
)
