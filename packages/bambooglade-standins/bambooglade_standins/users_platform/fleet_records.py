"""Records of what engines received and what callers got, for the fleet soak.

All times are those of the monotonic clock, which the processes share.
"""

from __future__ import annotations

from collections.abc import Iterator
import enum
import pathlib

import msgspec


class Step(enum.Enum):
    """Step of a request at an engine.

    ABANDONED: the caller closed the connection. EXPIRED: the engine broke off
    at the deadline. BROKEN: the engine broke its response off before. CRASHED:
    the request made the engine crash.
    """

    ARRIVED = "arrived"
    STARTED = "started"
    DECLINED = "declined"
    FINISHED = "finished"
    ABANDONED = "abandoned"
    EXPIRED = "expired"
    BROKEN = "broken"
    CRASHED = "crashed"


class EngineRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a request at an engine.

    Attributes:
        at_ms: Time of the step.
        step: What happened.
        engine: Id of the engine.
        service: Its service.
        version: Version of its software.
        zone: Its availability zone.
        host: IP address that it came from.
        attempt: Id of the request.
        target: Path of the request.
        after_event: Event after which the stream goes on; 0 for the start.
        sent_events: Number of events that this run has sent.
        deadline_ms: Time that the request states to be left; None for none.
        pause_ms: Time for which a declining engine wants no requests.
        status: Status with which the engine declined; 0 if it did not.
    """

    at_ms: int
    step: Step
    engine: str
    service: str
    version: str = ""
    zone: str = ""
    host: str = ""
    attempt: str
    target: str = ""
    after_event: int = 0
    sent_events: int = 0
    deadline_ms: int | None = None
    pause_ms: int = 0
    status: int = 0


class End(enum.Enum):
    """How a request ended for its caller.

    CLOSED: the gateway closed the connection before the response was complete.
    ABANDONED: the caller gave up, after its deadline or a long pause. DROPPED:
    the caller's connection broke, and the caller may resume. UNSENT: the
    connection did not open.
    """

    COMPLETE = "complete"
    CLOSED = "closed"
    ABANDONED = "abandoned"
    DROPPED = "dropped"
    UNSENT = "unsent"


class CallerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller and what it got.

    Attributes:
        attempt: Id of the request.
        subject: What it asks for; tries of the same request share it.
        kind: Name of its kind.
        gateway: Name of the gateway that it was sent to.
        sent_at_ms: Time at which it was sent.
        ended_at_ms: Time at which it ended.
        end: How it ended.
        deadline_ms: Time that the caller would wait.
        events: Number of events of the whole stream; 0 for a plain request.
        idle_ms: Idle time of the kept connection; None for a new one.
        after_event: Event after which the caller resumes; 0 for none.
        resumes: Id of the request that began the stream; empty for none.
        status: Status of the response; None if there was none.
        body: Body that was received.
        is_fatal: Whether engines crash on it.
    """

    attempt: str
    subject: str
    kind: str
    gateway: str
    sent_at_ms: int
    ended_at_ms: int
    end: End
    deadline_ms: int
    events: int = 0
    idle_ms: int | None = None
    after_event: int = 0
    resumes: str = ""
    status: int | None = None
    body: str = ""
    is_fatal: bool = False


class RouteState(msgspec.Struct, frozen=True, kw_only=True):
    """What one version of the configuration says of a route.

    Attributes:
        services: Services that its requests may run at.
        timeout_ms: Longest time of a request.
        max_attempts: Number of engines at which a request may run.
        is_repeatable: Whether a request may run more than once.
    """

    services: tuple[str, ...]
    timeout_ms: int
    max_attempts: int
    is_repeatable: bool


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration.

    Attributes:
        at_ms: Time at which the store accepted it.
        how: What it changes.
        idle_timeout_ms: Time that callers may keep a connection idle.
        route_by_kind: Routes by the kind of their requests.
        prepaid_tokens: Tokens that the team may use in all.
        cold_start_s: Seconds for which an engine is cold after its start.
        cold_per_s: Requests per second that it tolerates while cold; 0 for any.
    """

    at_ms: int
    how: str
    idle_timeout_ms: int
    route_by_kind: dict[str, RouteState]
    prepaid_tokens: int = 10**9
    cold_start_s: int = 0
    cold_per_s: float = 0.0


class ColdTime(msgspec.Struct, frozen=True, kw_only=True):
    """A time in which an engine is cold.

    Attributes:
        engine: Id of the engine.
        began_at_ms: Time at which the store has accepted its registration.
        ended_at_ms: Time at which it is warm.
        is_start: Whether it has just started, and was not known before.
    """

    engine: str
    began_at_ms: int
    ended_at_ms: int
    is_start: bool


class Behaviour(msgspec.Struct, frozen=True, kw_only=True):
    """How an engine treats requests that arrive from now on.

    Attributes:
        failed_share: Share of requests that run and get status 500.
        lost_share: Share of requests that run and whose response is lost.
        truncated_share: Share of requests whose response breaks off midway.
        slowdown: Factor by which responses take longer.
        is_full: Whether all requests are declined.
        pause_s: Pause that is requested then; 0 for none.
        broken_share: Share of requests whose connection is reset at once,
            before they run.
        endless: Name of the bytes that are sent without end instead of a
            response, see `endless_bytes`; empty for none.
        reset_hosts: IP addresses whose connections are reset once.
    """

    failed_share: float = 0.0
    lost_share: float = 0.0
    truncated_share: float = 0.0
    slowdown: float = 1.0
    is_full: bool = False
    pause_s: float = 0.0
    broken_share: float = 0.0
    endless: str = ""
    reset_hosts: tuple[str, ...] = ()


class Trouble(msgspec.Struct, frozen=True, kw_only=True):
    """A time in which something was disturbed, or planned work was done.

    Attributes:
        began_at_ms: Time of its begin.
        ended_at_ms: Time of its end.
        names: Names of the engines or gateways that have it.
    """

    began_at_ms: int
    ended_at_ms: int
    names: tuple[str, ...] = ()


class EnginesPaused(Trouble, frozen=True, kw_only=True):
    """Engines are stopped by a signal, and continued."""


class EnginesKilled(Trouble, frozen=True, kw_only=True):
    """Engines crash, and start again under new ids."""


class ServicesEnded(EnginesKilled, frozen=True, kw_only=True):
    """All engines of one or more services crash at the same time.

    Attributes:
        keeps_ids: Whether they start again under their ids, as other runs.
    """

    keeps_ids: bool


class EnginesMisbehave(Trouble, frozen=True, kw_only=True):
    """Engines fail, lose responses, are slow or full.

    Attributes:
        behaviour: What they do.
    """

    behaviour: Behaviour


class EnginesLeave(Trouble, frozen=True, kw_only=True):
    """Planned: engines say that they leave, exit, and others come."""


class GatewaysStopped(Trouble, frozen=True, kw_only=True):
    """Planned: gateways are told to stop, and start again."""


class GatewaysKilled(Trouble, frozen=True, kw_only=True):
    """Gateways are killed, and start again."""


class GatewaysFrozen(Trouble, frozen=True, kw_only=True):
    """Gateways are stopped by a signal, and continued."""


class GatewaysReloaded(Trouble, frozen=True, kw_only=True):
    """Planned: the settings files of gateways change, and they are told so."""


class ConnectionsReset(Trouble, frozen=True, kw_only=True):
    """The connections of gateways to engines are reset."""


class EnginesCold(Trouble, frozen=True, kw_only=True):
    """Running engines register that they are cold again."""


class ZonesEvacuated(Trouble, frozen=True, kw_only=True):
    """Operators evacuate availability zones, whose names are given."""


class StoreDisturbed(Trouble, frozen=True, kw_only=True):
    """The store does not serve as usual.

    Attributes:
        fault: Name of its fault.
    """

    fault: str


class CallersPress(Trouble, frozen=True, kw_only=True):
    """Callers send more requests, and may repeat them at once.

    Attributes:
        factor: Factor of the rate.
        is_impatient: Whether they come back sooner than they are told.
    """

    factor: float
    is_impatient: bool


class CallersSendFatal(Trouble, frozen=True, kw_only=True):
    """Callers send requests on which engines crash.

    Attributes:
        is_repeated: Whether it is one request that comes again; else requests
            have a part of their prompts in common.
    """

    is_repeated: bool


PLANNED = (EnginesLeave, GatewaysStopped, GatewaysReloaded)
"""Troubles that are planned work."""

OF_GATEWAYS = (
    GatewaysStopped,
    GatewaysKilled,
    GatewaysFrozen,
    ConnectionsReset,
)
"""Troubles of gateways."""

OF_ENGINES = (EnginesPaused, EnginesKilled, EnginesMisbehave, EnginesLeave)
"""Troubles of engines."""


def read(path: pathlib.Path, kind: type) -> Iterator:
    """Yields the records of a file; the last line may be incomplete."""
    if not path.exists():
        return
    for line in path.read_bytes().split(b"\n")[:-1]:
        yield msgspec.json.decode(line, type=kind)
