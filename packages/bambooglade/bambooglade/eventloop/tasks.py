"""Tasks: generators that wait for futures of the event loop."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Generator
from concurrent import futures
from typing import Any
from typing import TypeAlias

from absl import logging

from bambooglade.eventloop import loop as loop_lib

RESTART_PAUSE_MS = 500
"""Pause before a task that failed is started anew, so that faults which come
back at once cost little."""

Task: TypeAlias = Generator[futures.Future, Any, Any]


def spawn(task: Task) -> futures.Future:
    """Runs a task up to its first wait, and on as its futures complete.

    What a task raises is logged, since nobody may be waiting for it.

    Returns:
        A future with what the task returns, or with what it raised.

    Examples:
        >>> first = futures.Future()
        >>> def add_one():
        ...     value = yield first
        ...     return value + 1
        >>> done = spawn(add_one())
        >>> first.set_result(1)
        >>> done.result()
        2
    """
    done: futures.Future = futures.Future()
    _advance(task, done, None)
    return done


def keep_running(
    loop: loop_lib.EventLoop, new_task: Callable[[], Task]
) -> None:
    """Runs a task that is never to end by a fault; starts it anew after one.

    Args:
        loop: Delays the new start.
        new_task: Makes the task; it is not started again once it returns.
    """

    def ended(done: futures.Future) -> None:
        if done.exception() is not None:
            loop.call_later(RESTART_PAUSE_MS, keep_running, loop, new_task)

    spawn(new_task()).add_done_callback(ended)


def sleep(loop: loop_lib.EventLoop, delay_ms: float) -> futures.Future:
    """Returns a future that completes after a delay in milliseconds."""
    future: futures.Future = futures.Future()
    loop.call_later(delay_ms, complete, future, None)
    return future


def with_timeout(
    loop: loop_lib.EventLoop, future: futures.Future, bound_ms: float
) -> futures.Future:
    """Returns a future that completes with another one, or with the bound."""
    either = sleep(loop, bound_ms)
    future.add_done_callback(lambda _: complete(either, None))
    return either


def complete(future: futures.Future, value: object) -> bool:
    """Sets the result, unless the future is done; returns whether it did."""
    if future.done():
        return False
    future.set_result(value)
    return True


def _advance(
    task: Task, done: futures.Future, waited_for: futures.Future | None
) -> None:
    """Runs a task up to its next wait, with what the last one ended in."""
    try:
        failure = waited_for.exception() if waited_for is not None else None
        if failure is not None:
            next_wait = task.throw(failure)
        else:
            next_wait = task.send(waited_for.result() if waited_for else None)
    except StopIteration as stopped:
        complete(done, stopped.value)
    except Exception as error:  # noqa: BLE001 - a fault of any kind is told
        logging.exception("event=task_failed task=%s", task.__qualname__)
        done.set_exception(error)
    else:
        next_wait.add_done_callback(lambda future: _advance(task, done, future))
