"""Tasks: generators that yield the futures that they wait for."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Generator
from concurrent import futures
from typing import Any
from typing import TypeAlias

from absl import logging

from bambooglade.eventloop import loop as loop_lib

RESTART_PAUSE_MS = 500
"""Pause before a failed task is restarted, which limits the load of a task that
fails again immediately."""

Task: TypeAlias = Generator[futures.Future, Any, Any]


def spawn(task: Task) -> futures.Future:
    """Starts a task, and resumes it whenever a future that it yields completes.

    An exception of the task is logged, since no caller may be waiting for it.

    Returns:
        A future with the return value or the exception of the task.

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
    """Runs a task, and restarts it whenever it raises an exception.

    Args:
        loop: The event loop for the pause before a restart.
        new_task: Creates the task. A task that returns is not restarted.
    """

    def restart_if_failed(done: futures.Future) -> None:
        if done.exception() is not None:
            loop.call_later(RESTART_PAUSE_MS, keep_running, loop, new_task)

    spawn(new_task()).add_done_callback(restart_if_failed)


def sleep(loop: loop_lib.EventLoop, delay_ms: float) -> futures.Future:
    """Returns a future that completes after a delay in milliseconds."""
    future: futures.Future = futures.Future()
    loop.call_later(delay_ms, complete, future, None)
    return future


def with_timeout(
    loop: loop_lib.EventLoop, future: futures.Future, timeout_ms: float
) -> futures.Future:
    """Returns a future that completes with `future`, or after `timeout_ms`.

    Its result is None in both cases.
    """
    either = sleep(loop, timeout_ms)
    future.add_done_callback(lambda _: complete(either, None))
    return either


def complete(future: futures.Future, value: object) -> bool:
    """Sets the result unless the future is done; returns whether it was set."""
    if future.done():
        return False
    future.set_result(value)
    return True


def _advance(
    task: Task, done: futures.Future, completed: futures.Future | None
) -> None:
    """Resumes a task with the result or the exception of a completed future."""
    try:
        failure = completed.exception() if completed is not None else None
        if failure is not None:
            next_future = task.throw(failure)
        else:
            next_future = task.send(completed.result() if completed else None)
    except StopIteration as stopped:
        complete(done, stopped.value)
    except Exception as error:  # noqa: BLE001 - errors of any kind are logged
        logging.exception("event=task_failed task=%s", task.__qualname__)
        done.set_exception(error)
    else:
        next_future.add_done_callback(
            lambda future: _advance(task, done, future)
        )
