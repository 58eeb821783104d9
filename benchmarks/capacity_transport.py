"""What a message between instances costs: sealing it, and the exchange."""

from __future__ import annotations

from collections.abc import Iterator
import threading
import time

from bambooglade.budgets import messages as budget_messages
from bambooglade.core import clock as clocks
from bambooglade.core import identifiers
from bambooglade.router import peer_api
from bambooglade.transport import codec as codecs
from bambooglade.transport import peers
from bambooglade.transport import sealing
from bambooglade.transport import server
from bambooglade.transport import signing

_REPEATS = 300
_TIMEOUT_S = 10
_US_PER_S = 1_000_000
_SENDER = identifiers.InstanceId("i1")
_RECEIVER = identifiers.InstanceId("i2")


def lines() -> Iterator[str]:
    """Yields processor time by messages in an envelope, and by exchange."""
    for count in (1, 10, 100):
        yield _codec_line(count)
    for count in (1, 10):
        yield _exchange_line(count)


def _sealer(
    name: identifiers.InstanceId, clock: clocks.Clock
) -> sealing.Sealer:
    return sealing.Sealer(
        instance_id=name,
        signer=signing.Signer(b"k" * 32),
        clock=clock,
        codec=codecs.Codec(),
    )


def _settle(number: int) -> budget_messages.Settle:
    return budget_messages.Settle(
        reservation_id=budget_messages.ReservationId(
            key=identifiers.new_request_key(), entry=_SENDER
        ),
        budget_id=identifiers.BudgetId(f"team/team-{number:06d}"),
        epoch=identifiers.Epoch(3),
        sequence=1,
        bound_tokens=1_000,
        spent_tokens=600,
    )


def _codec_line(count: int) -> str:
    clock = clocks.ManualClock(now_ms=1_800_000_000_000)
    sender, receiver = _sealer(_SENDER, clock), _sealer(_RECEIVER, clock)
    sent = [_settle(number) for number in range(count)]
    started_s = time.process_time()
    for _ in range(_REPEATS):
        sealed = sender.seal(_RECEIVER, sent)
        receiver.open(sealed).unwrap()
    cpu_us = (time.process_time() - started_s) / _REPEATS * _US_PER_S
    return (
        f"experiment=capacity part=codec messages={count} "
        f"bytes={len(sealed.body)} seal_and_open_us={cpu_us:.0f} "
        f"us_per_message={cpu_us / count:.1f}"
    )


def _exchange_line(count: int) -> str:
    """Counts both ends, which are threads of this process."""
    clock = clocks.Clock()
    arrived = threading.Semaphore(0)

    def receive(_, messages):
        """Counts the messages, and answers nothing."""
        for _ in messages:
            arrived.release()
        return []

    receiver = peers.Peers(
        sealer=_sealer(_RECEIVER, clock),
        clock=clock,
        url_of=lambda _: None,
        receive=receive,
    )
    http = server.HttpServer(
        peer_api.PeerApi(receiver), host="127.0.0.1", port=0
    )
    http.start()
    sender = peers.Peers(
        sealer=_sealer(_SENDER, clock),
        clock=clock,
        url_of=lambda _: http.url,
        receive=lambda *_: [],
    )
    started_s = time.process_time()
    for _ in range(_REPEATS):
        for number in range(count):
            sender.send(_RECEIVER, _settle(number))
        for _ in range(count):
            arrived.acquire(timeout=_TIMEOUT_S)
    cpu_us = (time.process_time() - started_s) / _REPEATS * _US_PER_S
    sender.close()
    receiver.close()
    http.kill()
    return (
        f"experiment=capacity part=exchange messages_in_a_burst={count} "
        f"cpu_us={cpu_us:.0f} us_per_message={cpu_us / count:.0f}"
    )
