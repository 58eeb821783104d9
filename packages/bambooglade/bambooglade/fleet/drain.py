"""Graceful shutdown of an instance, in steps and within a time limit.

The steps run one after the other. Each step may use the time that is not
reserved for later steps. A step that does not finish in time is abandoned and
reported in its `StepEnded`, so that the shutdown always ends within the limit.

See Also:
    docs/design/fleet.md: the order of the steps, and why.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import enum

import msgspec

from bambooglade.core import effects


class Stage(enum.StrEnum):
    """Steps of a graceful shutdown."""

    NOT_READY = "not_ready"
    HAND_OVER = "hand_over"
    FINISH_STREAMS = "finish_streams"
    SETTLE = "settle"
    RETURN_RIGHTS = "return_rights"
    LEAVE = "leave"


def _no_effects(now_ms: int) -> Iterator[effects.Effects]:
    del now_ms
    return iter(())


def _no_remaining_work() -> int:
    return 0


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a graceful shutdown.

    Attributes:
        stage: Identifies the step.
        reserved_ms: Time that earlier steps must leave for this step.
        min_ms: Minimum duration, for instance the time that a load balancer
            needs to notice that this instance is not ready.
        max_ms: Maximum duration; None if it is limited only by the time that
            is reserved for later steps.
        begin: Called once with the time when the step starts; yields effects.
        remaining: Returns the amount of remaining work; 0 ends the step.
    """

    stage: Stage
    reserved_ms: int
    min_ms: int = 0
    max_ms: int | None = None
    begin: Callable[[int], Iterator[effects.Effects]] = _no_effects
    remaining: Callable[[], int] = _no_remaining_work


class StepEnded(effects.Effect, frozen=True, kw_only=True):
    """A step ended.

    Attributes:
        stage: The step.
        took_ms: Its duration.
        remaining: Amount of work that was left; not 0 if the step timed out.
    """

    stage: Stage
    took_ms: int
    remaining: int


class DrainEnded(effects.Effect, frozen=True, kw_only=True):
    """The graceful shutdown ended; the process may exit."""

    took_ms: int


class Drain:
    """State machine of a graceful shutdown.

    Args:
        steps: The steps, in the order in which they run.
        bound_ms: Time limit of the entire shutdown.

    Raises:
        ValueError: The time limit is less than the sum of the reserved times.

    Examples:
        >>> streams = [1]
        >>> drain = Drain(bound_ms=100, steps=[Step(reserved_ms=10,
        ...     stage=Stage.FINISH_STREAMS, remaining=lambda: len(streams))])
        >>> list(drain.begin(now_ms=0)), drain.is_ready
        ([], False)
        >>> streams.clear()
        >>> next(drain.tick(now_ms=50)).stage
        <Stage.FINISH_STREAMS: 'finish_streams'>
        >>> list(drain.tick(now_ms=50))
        [DrainEnded(took_ms=50)]
        >>> drain.is_ended
        True
    """

    __slots__ = (
        "_bound_ms",
        "_pending_steps",
        "_started_at_ms",
        "_step_started_at_ms",
        "_steps",
        "is_ended",
    )

    def __init__(self, *, steps: Sequence[Step], bound_ms: int) -> None:
        reserved_ms = sum(step.reserved_ms for step in steps)
        if bound_ms < reserved_ms:
            raise ValueError(
                f"the time limit of a graceful shutdown is {bound_ms} ms; "
                f"raise it to the {reserved_ms} ms that its steps reserve"
            )
        self._steps = tuple(steps)
        self._bound_ms = bound_ms
        self._pending_steps = list(steps)
        self._started_at_ms: int | None = None
        self._step_started_at_ms: int | None = None
        self.is_ended = False

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this instance."""
        return self._started_at_ms is None

    @property
    def stage(self) -> Stage | None:
        """The step in progress; None before and after the shutdown."""
        in_progress = self._started_at_ms is not None and self._pending_steps
        return self._pending_steps[0].stage if in_progress else None

    def begin(self, now_ms: int) -> Iterator[effects.Effects]:
        """Starts the shutdown; later calls have no effect."""
        if self._started_at_ms is None:
            self._started_at_ms = now_ms
            yield from self.tick(now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Advances through the steps that have finished."""
        if self._started_at_ms is None or self.is_ended:
            return
        while self._pending_steps:
            if self._step_started_at_ms is None:
                self._step_started_at_ms = now_ms
                yield from self._pending_steps[0].begin(now_ms)
            if not self._is_step_finished(now_ms):
                return
            yield self._end_step(now_ms)
        self.is_ended = True
        yield DrainEnded(took_ms=now_ms - self._started_at_ms)

    def _is_step_finished(self, now_ms: int) -> bool:
        step = self._pending_steps[0]
        if now_ms >= self._step_deadline_ms():
            return True
        elapsed_ms = now_ms - self._step_started_at_ms
        if step.max_ms is not None and elapsed_ms >= step.max_ms:
            return True
        return elapsed_ms >= step.min_ms and not step.remaining()

    def _step_deadline_ms(self) -> int:
        reserved_ms = sum(step.reserved_ms for step in self._pending_steps[1:])
        return self._started_at_ms + self._bound_ms - reserved_ms

    def _end_step(self, now_ms: int) -> StepEnded:
        step = self._pending_steps.pop(0)
        took_ms = now_ms - self._step_started_at_ms
        self._step_started_at_ms = None
        return StepEnded(
            stage=step.stage, took_ms=took_ms, remaining=step.remaining()
        )

    def __repr__(self) -> str:
        return f"Drain(stage={self.stage}, is_ended={self.is_ended})"
