"""Tests of signatures, key rotation and the replay protection."""

from __future__ import annotations

from concurrent import futures
import contextlib
import threading

import msgspec
import pytest

from bambooglade.core import clock as clocks
from bambooglade.core import identifiers
from bambooglade.fleet import messages
from bambooglade.transport import codec as codecs
from bambooglade.transport import sealing
from bambooglade.transport import signing

OLD = b"o" * 32
NEW = b"n" * 32
OTHER = b"x" * 32
MESSAGE = messages.PingRequest(sequence=1, subject=identifiers.InstanceId("i9"))


def _sealer(name, clock, *, key=NEW, also_accepted=None, aliases=()):
    return sealing.Sealer(
        instance_id=identifiers.InstanceId(name),
        signer=signing.Signer(key, also_accepted=also_accepted),
        clock=clock,
        codec=codecs.Codec(),
        aliases=aliases,
    )


def _kind_of(opened):
    return "ok" if opened.is_ok() else opened.unwrap_err().kind


@pytest.fixture(name="clock")
def _clock():
    return clocks.ManualClock(now_ms=1_000_000)


@pytest.mark.parametrize(
    ("sent_with", "accepted", "also_accepted", "kind"),
    [
        (NEW, NEW, None, "ok"),
        (OLD, NEW, OLD, "ok"),
        (NEW, OLD, NEW, "ok"),
        (OLD, NEW, None, "forged"),
        (OTHER, NEW, OLD, "forged"),
    ],
)
def test_both_keys_are_accepted_during_rotation(
    clock, sent_with, accepted, also_accepted, kind
):
    sealed = _sealer("i1", clock, key=sent_with).seal("i2", [MESSAGE])
    receiver = _sealer("i2", clock, key=accepted, also_accepted=also_accepted)
    assert _kind_of(receiver.open(sealed)) == kind


def test_verified_envelope_has_sender_and_messages(clock):
    sealed = _sealer("i1", clock).seal("i2", [MESSAGE])
    opened = _sealer("i2", clock).open(sealed).unwrap()
    assert opened == sealing.VerifiedEnvelope(sender="i1", messages=(MESSAGE,))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("sender", "i9"),
        ("recipient", "i3"),
        ("nonce", "other"),
        ("sent_at_ms", 1_000_001),
        ("messages", ()),
    ],
)
def test_modified_envelope_is_rejected(clock, name, value):
    codec = codecs.Codec()
    sealed = _sealer("i1", clock).seal("i2", [MESSAGE])
    envelope = codec.decode_envelope(sealed.body).unwrap()
    changed = msgspec.structs.replace(envelope, **{name: value})
    forged = msgspec.structs.replace(
        sealed, body=codec.encode_envelope(changed)
    )
    assert _kind_of(_sealer("i2", clock).open(forged)) == "forged"


@pytest.mark.parametrize("signature", ["", "0" * 64, "é", "ok"])
def test_wrong_signature_is_rejected(clock, signature):
    sealed = _sealer("i1", clock).seal("i2", [MESSAGE])
    forged = msgspec.structs.replace(sealed, signature=signature)
    assert _kind_of(_sealer("i2", clock).open(forged)) == "forged"


def test_replayed_envelope_is_rejected(clock):
    sealed = _sealer("i1", clock).seal("i2", [MESSAGE])
    receiver = _sealer("i2", clock)
    assert _kind_of(receiver.open(sealed)) == "ok"
    assert _kind_of(receiver.open(sealed)) == "replayed"
    clock.advance(delta_ms=signing.WINDOW_MS)
    assert _kind_of(receiver.open(sealed)) == "replayed"
    clock.advance(delta_ms=1)
    assert _kind_of(receiver.open(sealed)) == "stale"


def test_envelope_for_another_instance_is_rejected(clock):
    sealed = _sealer("i1", clock).seal("i2", [MESSAGE])
    assert _kind_of(_sealer("i3", clock).open(sealed)) == "misaddressed"


def test_alias_is_accepted_as_recipient(clock):
    sealed = _sealer("i1", clock).seal("url:http://10.0.0.1:1", [MESSAGE])
    receiver = _sealer("i2", clock, aliases=["url:http://10.0.0.1:1"])
    assert _kind_of(receiver.open(sealed)) == "ok"


@pytest.mark.parametrize("difference_ms", [-30_001, 30_001])
def test_envelope_outside_the_window_is_stale(clock, difference_ms):
    other = clocks.ManualClock(now_ms=1_000_000 + difference_ms)
    sealed = _sealer("i1", other).seal("i2", [MESSAGE])
    assert _kind_of(_sealer("i2", clock).open(sealed)) == "stale"


def test_full_window_rejects_evicted_nonces():
    window = signing.NonceWindow(capacity=3)
    for index in range(10):
        admitted = window.admit(
            "i1", str(index), sent_at_ms=1_000 + index, now_ms=1_100
        )
        assert admitted.is_ok()
    for index in range(10):
        admitted = window.admit(
            "i1", str(index), sent_at_ms=1_000 + index, now_ms=1_100
        )
        assert admitted.is_err()


def test_concurrent_replays_are_admitted_once():
    window = signing.NonceWindow()
    both_checked = threading.Barrier(2, timeout=0.2)

    class _SlowSet(set):
        def __contains__(self, pair):
            found = super().__contains__(pair)
            with contextlib.suppress(threading.BrokenBarrierError):
                both_checked.wait()
            return found

    window._seen = _SlowSet()
    with futures.ThreadPoolExecutor(2) as executor:
        admitted = [
            executor.submit(
                window.admit, "i1", "n", sent_at_ms=1_000, now_ms=1_000
            )
            for _ in range(2)
        ]
    assert sorted(each.result().is_ok() for each in admitted) == [False, True]


@pytest.mark.parametrize("body", [b"", b"{}", b"[1]", b"\xff", b'{"a":1}'])
def test_signed_body_without_an_envelope_is_malformed(clock, body):
    signature = signing.Signer(NEW).sign(body)
    sealed = sealing.SignedEnvelope(body=body, signature=signature)
    assert _kind_of(_sealer("i2", clock).open(sealed)) == "malformed_envelope"


def test_messages_of_a_newer_version_are_skipped(clock):
    codec = codecs.Codec()
    envelope = codecs.Envelope(
        sender="i1",
        recipient="i2",
        sent_at_ms=clock.now_ms(),
        nonce="n",
        messages=(
            msgspec.Raw(b'{"type":"FromTheFuture","x":1}'),
            codec.encode(MESSAGE),
        ),
    )
    body = codec.encode_envelope(envelope)
    sealed = sealing.SignedEnvelope(
        body=body, signature=signing.Signer(NEW).sign(body)
    )
    opened = _sealer("i2", clock).open(sealed).unwrap()
    assert opened.messages == (MESSAGE,)


def test_short_key_is_rejected_without_showing_it():
    with pytest.raises(ValueError, match="32 or more") as error:
        signing.Signer(b"hunter2")
    assert "hunter2" not in str(error.value)
