"""Codec of the users' HTTP header fields.

The names of the fields are used in this package only. They are in lower case
where fields are looked up.

See Also:
    bambooglade.gateway.codec: the interface that this module implements.
"""

from __future__ import annotations

from collections.abc import Iterator
import re

from bambooglade.gateway import metadata
from bambooglade.http1 import messages

_ATTEMPT_ID = b"x-bambooglade-attempt-id"
_DEADLINE = b"x-bambooglade-deadline-ms"
_USAGE = b"x-bambooglade-token-usage"
_PREFIX = b"x-bambooglade-prefix-hash"
_MODEL = b"x-bambooglade-model"
_LENGTH_HINT = b"x-bambooglade-length-hint"
_LAST_EVENT_ID = b"last-event-id"
# Names the caller's request that received the first event of a stream.
_RESUMES = b"resumes"
_AUTHORIZATION = b"authorization"
_KEY_SCHEME = b"token"

# Marks bytes that an engine itself produced. Despite its name, the value is not
# a secret.
_SIGNATURE = b"x-bambooglade-engine-signature"
_NOT_EXECUTED = b"x-bambooglade-not-executed"
_LOAD = b"x-bambooglade-engine-load"
# The fourth figure of the load of a machine on which work takes its usual time.
_NORMAL_SPEED = 100
# Requests per second that the engine takes from all instances together.
_REQUEST_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
# Rejections in a second above which an engine falls over.
_BRITTLE = b"server-brittle"
_COUNT = re.compile(rb"0{0,40}[1-9][0-9]{0,8}")
_WHOLE_NUMBER = re.compile(rb"0{0,40}[0-9]{1,15}")
_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,40}(\.[0-9]{1,9})?")

_FLEET_FIELDS = frozenset(
    (
        _AUTHORIZATION,
        _DEADLINE,
        _LAST_EVENT_ID,
        b"content-length",
        b"expect",
        b"kv-fetch",
        b"kv-from",
        b"x-bambooglade-tenant",
        b"x-bambooglade-expected-instance",
        b"x-bambooglade-expected-version",
        b"x-bambooglade-request-priority",
        b"x-bambooglade-kv-backup",
        b"x-bambooglade-kv-retention",
        b"x-bambooglade-pin-ms",
    )
)
"""Request fields that only the fleet sets; those of callers are dropped."""

_REPLACED_FOR_PEERS = frozenset(
    (_DEADLINE, _LAST_EVENT_ID, b"content-length", b"expect")
)
"""Request fields that are replaced or dropped in a request to a peer."""

_ALWAYS_FORWARDED = frozenset(
    (b"host", _ATTEMPT_ID, _USAGE, _PREFIX, _MODEL, _LENGTH_HINT)
)
"""Fields that are forwarded even if the client lists them in `Connection`."""

_MISDIRECTED = 421
_UNAVAILABLE = 503


def decode_request(request: messages.Request) -> metadata.RequestMetadata:
    """Returns the metadata of a caller's request."""
    return metadata.RequestMetadata(
        attempt_id=request.get(_ATTEMPT_ID).decode("latin-1"),
        deadline_ms=request.integer(_DEADLINE),
        key=_api_key(request.get(_AUTHORIZATION)),
        prompt=_prompt(request),
        last_event_id=request.get(_LAST_EVENT_ID) or None,
        stream_id=request.get(_RESUMES).decode("latin-1") or None,
    )


def _api_key(authorization: bytes) -> bytes | None:
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == _KEY_SCHEME else None


def _prompt(request: messages.Request) -> metadata.Prompt | None:
    counts = request.get(_USAGE).split(b",")
    if len(counts) != 2 or not all(map(_is_whole_number, counts)):
        return None
    parts = []
    for entry in request.get(_PREFIX).split(b","):
        part_id, _, tokens = entry.strip().partition(b":")
        if _is_whole_number(tokens):
            parts.append(
                metadata.PromptPart(part_id.decode("latin-1"), int(tokens))
            )
    return metadata.Prompt(
        input_tokens=int(counts[0]),
        max_output_tokens=int(counts[1]),
        parts=tuple(parts),
    )


def forwarded_fields(
    request: messages.Request, dispatch: metadata.DispatchMetadata
) -> Iterator[tuple[bytes, bytes]]:
    """Yields the header fields that are sent to a target.

    Args:
        request: The caller's request.
        dispatch: Metadata that the gateway adds.
    """
    kept = {name for name, _ in messages.end_to_end(request.fields)}
    for name, value in request.fields:
        lower = name.lower()
        if lower in _FLEET_FIELDS:
            continue
        if name in kept or lower in _ALWAYS_FORWARDED:
            yield name, value
    yield b"X-Bambooglade-Deadline-Ms", b"%d" % dispatch.remaining_ms
    # Despite its name, the field holds the id of the target, not of a gateway
    # instance.
    yield b"X-Bambooglade-Expected-Instance", dispatch.target_id.encode()
    if dispatch.team is not None:
        yield b"X-Bambooglade-Tenant", dispatch.team.encode()
    if dispatch.priority is not None:
        yield b"X-Bambooglade-Request-Priority", b"%d" % dispatch.priority
    if dispatch.last_event_id is not None:
        yield b"Last-Event-Id", dispatch.last_event_id


def peer_fields(
    request: messages.Request,
    *,
    remaining_ms: int,
    last_event_id: bytes | None,
) -> Iterator[tuple[bytes, bytes]]:
    """Yields the fields with which another instance gets a request.

    That instance treats them like those of a caller.

    Args:
        request: The caller's request.
        remaining_ms: Time until the deadline of the request.
        last_event_id: Id of the event after which the stream continues; None
            for a new stream.
    """
    kept = {name for name, _ in messages.end_to_end(request.fields)}
    for name, value in request.fields:
        lower = name.lower()
        if lower in _REPLACED_FOR_PEERS:
            continue
        if name in kept or lower in _ALWAYS_FORWARDED | {_AUTHORIZATION}:
            yield name, value
    yield b"X-Bambooglade-Deadline-Ms", b"%d" % remaining_ms
    if last_event_id is not None:
        yield b"Last-Event-Id", last_event_id


def decode_response(head: messages.ResponseHead) -> metadata.ResponseMetadata:
    """Returns the metadata of a target's response."""
    is_declined = head.has(_NOT_EXECUTED) or head.status == _MISDIRECTED
    return metadata.ResponseMetadata(
        is_not_executed=is_declined,
        is_misdirected=head.status == _MISDIRECTED,
        is_signed=head.has(_SIGNATURE),
        has_content_encoding=head.has(b"content-encoding"),
        load=_load(head.get(_LOAD)),
        idle_timeout_ms=_idle_timeout_ms(head.get(b"keep-alive")),
        max_requests_per_s=_decimal(head.get(_REQUEST_LIMIT)),
        pause_s=(
            _decimal(head.get(b"retry-after"))
            if head.status == _UNAVAILABLE
            else None
        ),
        is_leaving=b"1" in head.tokens(_LEAVING),
        max_rejections_per_s=_max_rejections_per_s(head),
    )


def match_response(
    head: messages.Head, attempt_id: str
) -> metadata.ResponseMatch:
    """Returns whether a response belongs to the request with this id."""
    echoed = head.get(_ATTEMPT_ID)
    if not echoed:
        return metadata.ResponseMatch.UNKNOWN
    if echoed == attempt_id.encode("latin-1"):
        return metadata.ResponseMatch.OWN
    return metadata.ResponseMatch.OTHER


def _load(value: bytes) -> metadata.ReportedLoad | None:
    """Returns the load of an engine; None if it can't be read.

    An unreadable speed does not make the other figures unusable.
    """
    figures = value.split(b",")
    counts, speed = figures[:3], b"".join(figures[3:])
    if len(figures) not in (3, 4) or not all(map(_is_whole_number, counts)):
        return None
    running, waiting, slots = map(int, counts)
    return metadata.ReportedLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=_slowdown(speed),
    )


def _slowdown(value: bytes) -> float | None:
    """Returns how long work takes, 1.0 being normal; None if unknown."""
    if not _is_whole_number(value) or not int(value):
        return None
    return int(value) / _NORMAL_SPEED


def _is_whole_number(value: bytes) -> bool:
    """Returns whether a value is a number that is not too long to count."""
    return _WHOLE_NUMBER.fullmatch(value.strip()) is not None


def _decimal(value: bytes) -> float | None:
    """Returns a number; None if there is none or it is not a decimal one."""
    text = value.strip()
    return float(text) if _DECIMAL_NUMBER.fullmatch(text) else None


def _max_rejections_per_s(head: messages.ResponseHead) -> int | None:
    """Returns a whole number; None for no field, 0 for one of another form."""
    values = head.tokens(_BRITTLE)
    if not values:
        return None
    is_count = len(values) == 1 and _COUNT.fullmatch(min(values))
    return int(min(values)) if is_count else 0


def _idle_timeout_ms(value: bytes) -> int | None:
    for parameter in value.split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and _is_whole_number(seconds):
            return int(seconds) * 1_000
    return None
