"""Tests of the messages between instances over real sockets."""

from __future__ import annotations

import threading

import pytest
from werkzeug import serving
from werkzeug import wrappers

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import messages
from bambooglade.transport import codec as codecs
from bambooglade.transport import peer_queue
from bambooglade.transport import peers
from bambooglade.transport import sealing
from bambooglade.transport import signing

KEY = b"k" * 32
WAIT_S = 5


def _message(number):
    return messages.PingRequest(
        sequence=number, subject=identifiers.InstanceId("i9")
    )


class _Node:
    """An instance that records received messages, and sends fixed replies."""

    def __init__(self, name, *, key=KEY, replies=()):
        self.received = []
        self.refused = []
        self.arrived = threading.Semaphore(0)
        self.url_by_peer = {}
        self._replies = replies
        clock = clocks.Clock()
        sealer = sealing.Sealer(
            instance_id=identifiers.InstanceId(name),
            signer=signing.Signer(key),
            clock=clock,
            codec=codecs.Codec(),
        )
        self.peers = peers.Peers(
            sealer=sealer,
            clock=clock,
            url_of=self.url_by_peer.get,
            receive=self._receive,
            on_refused=self.refused.append,
            threads=2,
        )
        self.server = serving.make_server(
            "127.0.0.1", 0, self._application, threaded=True
        )
        self.url = f"http://127.0.0.1:{self.server.port}"
        self._thread = threading.Thread(target=self.server.serve_forever)
        self._thread.start()

    @wrappers.Request.application
    def _application(self, request):
        sealed = sealing.SignedEnvelope(
            body=request.get_data(),
            signature=request.headers.get(sealing.SIGNATURE_HEADER, ""),
        )
        handled = self.peers.receive(sealed)
        if handled.is_err():
            return wrappers.Response(status=401)
        sealed = handled.unwrap()
        headers = {sealing.SIGNATURE_HEADER: sealed.signature}
        return wrappers.Response(sealed.body, headers=headers)

    def _receive(self, sender, batch):
        self.received.extend((sender, message) for message in batch)
        for _ in batch:
            self.arrived.release()
        return self._replies if sender == "i1" else ()

    def close(self):
        self.server.shutdown()
        self._thread.join()
        self.server.server_close()
        self.peers.close()


@pytest.fixture(name="start")
def _start():
    nodes = []

    def start(*args, **kwargs):
        nodes.append(_Node(*args, **kwargs))
        return nodes[-1]

    yield start
    for node in nodes:
        node.close()


def _await(node, count):
    for _ in range(count):
        assert node.arrived.acquire(timeout=WAIT_S)


def test_messages_arrive_in_order_and_the_response_has_messages(start):
    first = start("i1")
    second = start("i2", replies=(_message(99),))
    first.url_by_peer["i2"] = second.url
    for number in range(50):
        first.peers.send("i2", _message(number))
    _await(second, 50)
    _await(first, 1)
    assert second.received == [("i1", _message(n)) for n in range(50)]
    assert first.received[0] == ("i2", _message(99))


def test_messages_signed_with_another_key_are_dropped(start):
    intruder = start("i1", key=b"x" * 32)
    node = start("i2")
    intruder.url_by_peer["i2"] = node.url
    intruder.peers.send("i2", _message(1))
    intruder.peers.close()
    assert node.received == []


def test_unreachable_peer_does_not_delay_other_peers(start):
    first = start("i1")
    second = start("i2")
    first.url_by_peer["gone"] = "http://127.0.0.1:9"
    first.url_by_peer["i2"] = second.url
    for number in range(20):
        first.peers.send("gone", _message(number))
        first.peers.send("i2", _message(number))
    _await(second, 20)
    assert [message for _, message in second.received] == [
        _message(number) for number in range(20)
    ]
    assert set(first.refused) == {"gone"}


def test_error_while_handling_a_response_does_not_stop_sending(start):
    first = start("i1")
    second = start("i2", replies=(_message("not a number"),))
    first.url_by_peer["i2"] = second.url
    first.peers._handle_response = _raise_once(first.peers._handle_response)
    first.peers.send("i2", _message(1))
    _await(second, 1)
    for _ in range(100):
        first.peers.send("i2", _message(2))
        if second.arrived.acquire(timeout=0.1):
            break
    assert second.received[-1] == ("i1", _message(2))


def _raise_once(function):
    errors = [ValueError("deliberate")]

    def call(*args):
        if errors:
            raise errors.pop()
        return function(*args)

    return call


def test_queue_is_bounded_and_drops_the_oldest():
    queues = peer_queue.PeerQueues()
    for number in range(peer_queue.MAX_QUEUED + 10):
        queues.put("i2", _message(number), now_ms=0)
    assert queues.dropped == 10
    assert queues.pop_batch("i2")[0] == _message(10)


def test_failures_drop_messages_for_exponentially_growing_pauses():
    queues = peer_queue.PeerQueues()
    now_ms = 0
    pauses_ms = []
    for _ in range(6):
        assert queues.put("i2", effects.Message(), now_ms=now_ms)
        queues.pop_batch("i2")
        queues.record_outcome("i2", delivered=False, now_ms=now_ms)
        assert queues.pop_batch("i2") == []
        failed_at_ms = now_ms
        while not queues.put("i2", effects.Message(), now_ms=now_ms):
            now_ms += 100
        queues.pop_batch("i2")
        queues.pop_batch("i2")
        pauses_ms.append(now_ms - failed_at_ms)
    assert pauses_ms == [200, 400, 800, 1_000, 1_000, 1_000]
