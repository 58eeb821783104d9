"""Tests of queue, threads and watch against the service over HTTP."""

from __future__ import annotations

import queue as queues
import random
import threading

import pytest

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.store import call_budget
from bambooglade.store import document_client
from bambooglade.store import key_value
from bambooglade.store import prefix_watch
from bambooglade_standins import platform_server
from bambooglade_standins.key_value import server
from bambooglade_standins.key_value import store as stores

WAIT_S = 10


class _Running:
    def __init__(self):
        self.store = stores.MemoryStore()
        self.answers = queues.Queue()
        self._http = platform_server.make_server(
            server.KeyValueApplication(self.store), host="127.0.0.1", port=0
        )
        self._thread = threading.Thread(target=self._http.serve_forever)
        self._thread.start()
        self.adapter = key_value.HttpKeyValueStore(
            url=f"http://127.0.0.1:{self._http.port}"
        )
        clock = clocks.Clock()
        self.documents = document_client.DocumentClient(
            store=self.adapter,
            budget=call_budget.CallBudget(
                random_source=random.Random(1), now_ms=clock.now_ms()
            ),
            clock=clock,
            on_response=self.answers.put,
        )

    def close(self):
        self.adapter.close()
        self.documents.close()
        self._http.shutdown()
        self._thread.join()
        self._http.server_close()


@pytest.fixture(name="running")
def _running():
    running = _Running()
    yield running
    running.close()


def test_requests_are_answered_through_the_queue(running):
    write = effects.WriteDocument(key="a", expected_revision=0, value=b"1")
    running.documents.submit(write)
    applied = effects.WriteApplied(key="a", revision=1)
    assert running.answers.get(timeout=WAIT_S) == applied
    running.documents.submit(effects.ReadDocument(key="a"))
    read = effects.DocumentRead(key="a", revision=1, value=b"1")
    assert running.answers.get(timeout=WAIT_S) == read


def test_a_lost_answer_is_delivered_as_uncertain(running):
    running.store.answering = stores.Answering.LOSE_ANSWERS
    running.documents.submit(
        effects.WriteDocument(key="a", expected_revision=0, value=b"1")
    )
    uncertain = effects.WriteUncertain(key="a")
    assert running.answers.get(timeout=WAIT_S) == uncertain
    assert running.store.get("a").value == b"1"


def test_an_error_in_the_adapter_is_an_uncertain_write(running, monkeypatch):
    def fail(request):
        raise OSError("too many open files")

    monkeypatch.setattr(running.documents, "_store", _Failing(fail))
    write = effects.WriteDocument(key="a", expected_revision=0, value=b"1")
    running.documents.submit(write)
    uncertain = effects.WriteUncertain(key="a")
    assert running.answers.get(timeout=WAIT_S) == uncertain


class _Failing:
    def __init__(self, write):
        self.write = write


def test_a_watch_goes_on_after_an_error_of_its_reader(running):
    running.store.put("t/1", b"1")
    snapshots = queues.Queue()
    errors = [ValueError("deliberate")]

    def read(values):
        if errors:
            raise errors.pop()
        snapshots.put(values)

    watch = prefix_watch.PrefixWatch(
        store=running.adapter,
        client=running.documents,
        prefix="t/",
        on_snapshot=read,
        on_change=lambda change: None,
        random_source=random.Random(1),
    )
    watch.start()
    (value,) = snapshots.get(timeout=WAIT_S)
    assert value.value == b"1"
    running.adapter.close()
    watch.close()


def test_a_watch_delivers_present_values_changes_and_a_restore(running):
    snapshots, changes = queues.Queue(), queues.Queue()
    running.store.put("t/1", b"1")
    backup = running.store.snapshot()
    watch = prefix_watch.PrefixWatch(
        store=running.adapter,
        client=running.documents,
        prefix="t/",
        on_snapshot=snapshots.put,
        on_change=changes.put,
        random_source=random.Random(1),
    )
    watch.start()
    (value,) = snapshots.get(timeout=WAIT_S)
    assert value.value == b"1"
    write = effects.WriteDocument(key="t/1", expected_revision=1, value=b"2")
    assert running.adapter.write(write).revision == 2
    assert changes.get(timeout=WAIT_S).value == b"2"
    running.store.restore(backup)
    (value,) = snapshots.get(timeout=WAIT_S)
    assert (value.revision, value.value) == (1, b"1")
    running.adapter.close()
    watch.close()
