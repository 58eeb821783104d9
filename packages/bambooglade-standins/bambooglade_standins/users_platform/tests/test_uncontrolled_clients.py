"""Tests that clients can't make a gateway process run out of memory.

Each test starts a gateway process of its own with a lowered memory limit and
attacks one of its addresses. It checks that the process lives, that its peak
memory and its open descriptors stay under the limits of its machine, and that
an ordinary request is answered while the attackers are still connected.

The tests hold a lock, since several of them at a time would measure a machine
that is short of memory and processor.
"""

from __future__ import annotations

import contextlib

import msgspec
import pytest

from bambooglade_standins.users_platform import gateway_process
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import uncontrolled_clients as clients

pytestmark = pytest.mark.isolated

KNOWN_RED = pytest.mark.xfail(reason="see KNOWN-RED.txt", strict=True)

START_BOUND_MS = 20_000
CALM_MS = 700
"""Time without progress of a crowd after which its attack is complete."""

ATTACK_BOUND_MS = 30_000
"""Most time for an attack, so that a process that still reads is checked."""

MAX_CALLS = 40
"""Calls of which one has to be answered; the others may be refused."""

LARGE_RESPONSE_BYTES = 1_000_000
CLIENT_TIMEOUT_MS = 120_000
"""Time-outs in the configuration that no attack reaches on a slow machine."""

ADDRESSES = ("callers", "peers", "forwarding", "readiness", "metrics")

RED: frozenset[tuple[str, bool, str]] = frozenset()
"""Address, whether clients have a key, and attack of known faults."""


def cases():
    """Yields all addresses and attacks; only callers have keys."""
    for address in ADDRESSES:
        for has_key in (True, False) if address == "callers" else (False,):
            for name in clients.ATTACK_BY_NAME:
                case = (address, has_key, name)
                key = "with key" if has_key else "without key"
                yield pytest.param(
                    *case,
                    id=f"{address}-{key}-{name}".replace(" ", "_"),
                    marks=[KNOWN_RED] if case in RED else [],
                )


def configuration() -> bytes:
    """Returns the configuration of the tests, with their limits of callers."""
    document = msgspec.json.decode(
        harness_lib.configuration(prepaid=None, timeout_ms=60_000)
    )
    document["limits"] = {
        "maxHeaderBytes": clients.MAX_HEADER_BYTES,
        "maxBodyBytes": clients.MAX_BODY_BYTES,
        "headerTimeoutMs": CLIENT_TIMEOUT_MS,
        "idleTimeoutMs": CLIENT_TIMEOUT_MS,
    }
    return msgspec.json.encode(document)


def respond(call) -> None:
    """Leaves slow requests without a response; some responses are large."""
    if call.request.path == b"/plain/large":
        call.respond(LARGE_RESPONSE_BYTES * b"y")
    elif call.request.path != b"/plain/slow":
        call.respond(b"ok")


@pytest.fixture
def harness():
    with clients.only_one():
        built = harness_lib.PlatformHarness()
        built.configure(configuration())
        built.add_engine("p1", "portal", default=respond, slots=64)
        yield built
        built.close()


@pytest.fixture
def gateway(harness):
    process = gateway_process.GatewayProcess(
        "edge-0", "a", harness._server.address
    )
    process.write_settings(
        [],
        is_first_start=True,
        limits={
            "memoryMb": clients.MEMORY_MB,
            "maxFds": clients.MAX_DESCRIPTORS,
        },
    )
    process.start()
    try:
        harness.run_until(
            lambda: (
                status_of(harness, process.addresses[1]) == 200
                and call(harness, process.addresses[0]) == 200
            ),
            max_wait_ms=START_BOUND_MS,
        )
        yield process
    finally:
        process.kill()


def call(harness, address) -> int | None:
    """Returns the status of an ordinary request of a caller."""
    return status_of(harness, address, key=harness_lib.KEY)


def status_of(harness, address, *, key=None) -> int | None:
    """Returns the status that an address gives to a small request."""
    caller = harness.start_call(
        "/plain/1", address=address, key=key, deadline_ms=2_000
    )
    with contextlib.suppress(AssertionError):
        harness.run_until(lambda: caller.is_finished, max_wait_ms=3_000)
    caller.close()
    if caller.status is None:
        harness.run_for(50)
    return caller.status


def new_request(address: str, has_key: bool, name: str) -> clients.Request:
    if address not in ("callers", "forwarding"):
        path = {"peers": "/v1/loans", "readiness": "/", "metrics": "/metrics"}
        return clients.Request(
            path[address].encode(), [(b"Host", harness_lib.HOST)]
        )
    kind = b"large" if name == "unread responses" else b"slow"
    fields = [
        (b"Host", harness_lib.HOST),
        (b"X-Bambooglade-Attempt-Id", b"attempt-of-a-crowd"),
        (b"X-Bambooglade-Deadline-Ms", b"60000"),
    ]
    if has_key:
        fields.append((b"Authorization", b"Token " + harness_lib.KEY))
    return clients.Request(b"/plain/" + kind, fields)


def attack(harness, process, crowd: clients.Crowd) -> int:
    """Runs until a crowd makes no more progress.

    Returns:
        Most descriptors that the process had open.
    """
    most_descriptors = 0
    now_ms = harness.loop.now_ms
    due_ms = now_ms() + ATTACK_BOUND_MS
    before, changed_at_ms = None, now_ms()
    while now_ms() < min(due_ms, changed_at_ms + CALM_MS):
        harness.run_for(50)
        most_descriptors = max(most_descriptors, process.open_descriptors)
        progress = (crowd.sent_bytes, crowd.unread_bytes)
        if progress != before:
            before, changed_at_ms = progress, now_ms()
    return most_descriptors


@pytest.mark.parametrize(("address", "has_key", "name"), [*cases()])
def test_process_survives_uncontrolled_clients(
    harness, gateway, address, has_key, name
):
    """Guards against memory or descriptors that grow with hostile clients."""
    address_by_name = {
        "callers": gateway.addresses[0],
        "readiness": gateway.addresses[1],
        "peers": gateway.addresses[2],
        "metrics": gateway.addresses[3],
        "forwarding": gateway.forwarding_address,
    }
    kind = clients.ATTACK_BY_NAME[name]
    crowd = clients.Crowd(
        harness.loop,
        address_by_name[address],
        kind,
        kind.payload(new_request(address, has_key, name)),
    )
    try:
        most_descriptors = attack(harness, gateway, crowd)
        is_answered = any(
            call(harness, gateway.addresses[0]) == 200 for _ in range(MAX_CALLS)
        )
        is_answered_here = any(
            status_of(harness, address_by_name[address]) is not None
            for _ in range(MAX_CALLS)
        )
    finally:
        crowd.close()
    peak_mb = gateway.peak_memory_kib * 1_024 / 1_000_000
    print(
        f"MEASURED {address} key={has_key} {name}: sent={crowd.sent_bytes}"
        f" peak={peak_mb:.1f} descriptors={most_descriptors}"
    )
    assert gateway.is_running, gateway.log_text()[-2_000:]
    assert peak_mb < clients.MEMORY_MB
    assert most_descriptors < clients.MAX_DESCRIPTORS
    assert is_answered, "no ordinary request of a caller was answered"
    assert is_answered_here, "no request at the attacked address was answered"
