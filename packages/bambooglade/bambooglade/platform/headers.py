"""Names of the users' header fields, in lower case unless they are sent.

Decoded into `RequestFacts` once; nothing outside of this folder uses them.
"""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.gateway import facts
from bambooglade.http1 import messages

_ATTEMPT_ID = b"x-bambooglade-attempt-id"
_DEADLINE = b"x-bambooglade-deadline-ms"
_USAGE = b"x-bambooglade-token-usage"
_PREFIX = b"x-bambooglade-prefix-hash"
_MODEL = b"x-bambooglade-model"
_LENGTH_HINT = b"x-bambooglade-length-hint"
_LAST_EVENT_ID = b"last-event-id"
_AUTHORIZATION = b"authorization"
_KEY_SCHEME = b"token"

# Proof that the bytes are an engine's own, in spite of the name no secret.
_SIGNATURE = b"x-bambooglade-engine-signature"
_NOT_EXECUTED = b"x-bambooglade-not-executed"
_LOAD = b"x-bambooglade-engine-load"

_OWN_FIELDS = frozenset(
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
"""Fields of requests that only the fleet sets."""

_ALWAYS_FORWARDED = frozenset(
    (b"host", _ATTEMPT_ID, _USAGE, _PREFIX, _MODEL, _LENGTH_HINT)
)
"""Fields that stay even if the client names them in `Connection`."""

_MISDIRECTED = 421


def request_facts(request: messages.Request) -> facts.RequestFacts:
    """Returns what the header of a request says to the fleet."""
    return facts.RequestFacts(
        attempt_id=request.get(_ATTEMPT_ID).decode("latin-1"),
        deadline_ms=request.integer(_DEADLINE),
        key=_key(request.get(_AUTHORIZATION)),
        prompt=_prompt(request),
        last_event_id=request.get(_LAST_EVENT_ID) or None,
    )


def _key(authorization: bytes) -> bytes | None:
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == _KEY_SCHEME else None


def _prompt(request: messages.Request) -> facts.Prompt | None:
    counts = request.get(_USAGE).split(b",")
    if len(counts) != 2 or not all(c.strip().isdigit() for c in counts):
        return None
    parts = []
    for entry in request.get(_PREFIX).split(b","):
        part_id, _, tokens = entry.strip().partition(b":")
        if tokens.isdigit():
            parts.append(facts.PromptPart(part_id.decode(), int(tokens)))
    return facts.Prompt(
        input_tokens=int(counts[0]),
        max_output_tokens=int(counts[1]),
        parts=tuple(parts),
    )


def forwarded_fields(
    request: messages.Request, dispatch: facts.Dispatch
) -> Iterator[tuple[bytes, bytes]]:
    """Yields the header fields of a request as a target gets them.

    Args:
        request: The caller's request.
        dispatch: What the fleet adds.
    """
    kept = {name for name, _ in messages.end_to_end(request.fields)}
    for name, value in request.fields:
        lower = name.lower()
        if lower in _OWN_FIELDS:
            continue
        if name in kept or lower in _ALWAYS_FORWARDED:
            yield name, value
    yield b"X-Bambooglade-Deadline-Ms", b"%d" % dispatch.remaining_ms
    yield b"X-Bambooglade-Expected-Instance", dispatch.target_id.encode()
    if dispatch.team is not None:
        yield b"X-Bambooglade-Tenant", dispatch.team.encode()
    if dispatch.priority is not None:
        yield b"X-Bambooglade-Request-Priority", b"%d" % dispatch.priority
    if dispatch.last_event_id is not None:
        yield b"Last-Event-Id", dispatch.last_event_id


def response_facts(head: messages.ResponseHead) -> facts.ResponseFacts:
    """Returns what the header of an engine's response says to the fleet."""
    is_declined = head.has(_NOT_EXECUTED) or head.status == _MISDIRECTED
    return facts.ResponseFacts(
        was_not_run=is_declined,
        is_misdirected=head.status == _MISDIRECTED,
        is_signed=head.has(_SIGNATURE),
        is_encoded=head.has(b"content-encoding"),
        load=_load(head.get(_LOAD)),
        idle_timeout_ms=_idle_timeout_ms(head.get(b"keep-alive")),
    )


def answers_attempt(head: messages.Head, attempt_id: str) -> bool:
    """Returns whether a response belongs to a request.

    A response without an id is taken: engines that are full may leave it out.
    """
    echoed = head.get(_ATTEMPT_ID)
    return not echoed or echoed == attempt_id.encode("latin-1")


def _load(value: bytes) -> facts.ReportedLoad | None:
    counts = [count.strip() for count in value.split(b",")]
    if len(counts) != 3 or not all(count.isdigit() for count in counts):
        return None
    running, waiting, slots = map(int, counts)
    return facts.ReportedLoad(running=running, waiting=waiting, slots=slots)


def _idle_timeout_ms(value: bytes) -> int | None:
    for parameter in value.split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return int(seconds) * 1_000
    return None
