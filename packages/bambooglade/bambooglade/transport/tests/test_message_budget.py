"""Tests of the budget of the bytes of requests, shared by threads."""

from __future__ import annotations

import threading
import time

from bambooglade.transport import message_budget

LIMIT_BYTES = 1_000


def open_share(budget, discarded=None):
    found = [] if discarded is None else discarded
    return budget.open(lambda: found.append(True))


def test_reader_waits_for_the_request_that_was_given_up_for_it():
    """Guards against two requests that take the same bytes for a while."""
    budget = message_budget.MessageBudget(LIMIT_BYTES)
    discarded, ended = [], threading.Event()
    long = open_share(budget, discarded)
    short = open_share(budget)
    assert long.grow(900)

    def read():
        assert short.grow(400)
        ended.set()

    reader = threading.Thread(target=read)
    reader.start()
    while not discarded:
        time.sleep(0.001)
    assert budget.unreleased_bytes == 900
    assert not ended.wait(0.1)
    long.release()
    assert ended.wait(message_budget.RELEASE_TIMEOUT_S / 2)
    reader.join()
    assert (budget.held_bytes, budget.unreleased_bytes) == (400, 0)


def test_reader_that_is_given_up_does_not_wait():
    """Guards against threads that wait for each other."""
    budget = message_budget.MessageBudget(LIMIT_BYTES)
    share = open_share(budget)
    began_s = time.monotonic()
    assert not share.grow(LIMIT_BYTES + 1)
    assert time.monotonic() - began_s < message_budget.RELEASE_TIMEOUT_S / 2
    assert not share.resize(1)
    assert not share.try_keep()
    share.release()
    share.close()
    assert (budget.held_bytes, budget.unreleased_bytes) == (0, 0)


def test_budget_is_empty_after_threads_have_used_it():
    """Guards against bytes that are counted twice, or never given back."""
    budget = message_budget.MessageBudget(LIMIT_BYTES)
    barrier = threading.Barrier(4)
    most_kept = []

    def use(number):
        barrier.wait()
        for turn in range(200):
            share = open_share(budget)
            while share.grow(50 + number):
                if share._share.held_bytes > 100 + turn % 400:
                    if share.try_keep():
                        most_kept.append(budget._budget.kept_bytes)
                        share.release()
                    break
            share.close()

    threads = [threading.Thread(target=use, args=(n,)) for n in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert (budget.held_bytes, budget.unreleased_bytes) == (0, 0)
    assert budget._budget.kept_bytes == 0
    assert most_kept
    assert max(most_kept) <= LIMIT_BYTES
