"""A planned stop, step by step and within a bound.

The steps run one after the other. Each may take what the later ones leave of
the bound; one that does not end in time is reported and left behind, so that
the stop ends within its bound in any case.

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
    """Steps of a planned stop, in their order."""

    NOT_READY = "not_ready"
    HAND_OVER = "hand_over"
    FINISH_STREAMS = "finish_streams"
    SETTLE = "settle"
    RETURN_RIGHTS = "return_rights"
    LEAVE = "leave"


def _nothing(now_ms: int) -> Iterator[effects.Effects]:
    del now_ms
    return iter(())


def _none_left() -> int:
    return 0


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One step.

    Attributes:
        stage: Which one.
        reserved_ms: Time that is kept for it, whatever the others take.
        min_ms: It lasts at least this long, for instance until the balancer
            noticed that this instance is not ready.
        max_ms: It lasts at most this long, so that it leaves time to the
            later steps; None for all that they don't reserve.
        begin: Starts it; yields effects.
        remaining: Returns how much is left to do; 0 ends the step.
    """

    stage: Stage
    reserved_ms: int
    min_ms: int = 0
    max_ms: int | None = None
    begin: Callable[[int], Iterator[effects.Effects]] = _nothing
    remaining: Callable[[], int] = _none_left


class StepEnded(effects.Effect, frozen=True, kw_only=True):
    """A step ended; `left` is not 0 when its time was up."""

    stage: Stage
    took_ms: int
    left: int


class DrainEnded(effects.Effect, frozen=True, kw_only=True):
    """The planned stop is over; the process may exit."""

    took_ms: int


class Drain:
    """State machine of a planned stop.

    Args:
        steps: The steps in their order.
        bound_ms: How long the stop may take in all.

    Raises:
        ValueError: The bound is less than what the steps reserve.

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
        "_began_at_ms",
        "_bound_ms",
        "_step_began_at_ms",
        "_steps",
        "_waiting",
        "is_ended",
    )

    def __init__(self, *, steps: Sequence[Step], bound_ms: int) -> None:
        reserved_ms = sum(step.reserved_ms for step in steps)
        if bound_ms < reserved_ms:
            raise ValueError(
                f"the bound of a planned stop is {bound_ms} ms; raise it to "
                f"the {reserved_ms} ms that its steps need"
            )
        self._steps = tuple(steps)
        self._bound_ms = bound_ms
        self._waiting = list(steps)
        self._began_at_ms: int | None = None
        self._step_began_at_ms: int | None = None
        self.is_ended = False

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send requests here."""
        return self._began_at_ms is None

    @property
    def stage(self) -> Stage | None:
        """The step in progress; None before the stop and after its end."""
        in_progress = self._began_at_ms is not None and self._waiting
        return self._waiting[0].stage if in_progress else None

    def begin(self, now_ms: int) -> Iterator[effects.Effects]:
        """Starts the planned stop; once it is started nothing changes."""
        if self._began_at_ms is None:
            self._began_at_ms = now_ms
            yield from self.tick(now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Goes on to the next steps as far as they are done."""
        if self._began_at_ms is None or self.is_ended:
            return
        while self._waiting:
            if self._step_began_at_ms is None:
                self._step_began_at_ms = now_ms
                yield from self._waiting[0].begin(now_ms)
            if not self._is_over(now_ms):
                return
            yield self._end_step(now_ms)
        self.is_ended = True
        yield DrainEnded(took_ms=now_ms - self._began_at_ms)

    def _is_over(self, now_ms: int) -> bool:
        step = self._waiting[0]
        if now_ms >= self._step_deadline_ms():
            return True
        lasted_ms = now_ms - self._step_began_at_ms
        if step.max_ms is not None and lasted_ms >= step.max_ms:
            return True
        return lasted_ms >= step.min_ms and not step.remaining()

    def _step_deadline_ms(self) -> int:
        later_ms = sum(step.reserved_ms for step in self._waiting[1:])
        return self._began_at_ms + self._bound_ms - later_ms

    def _end_step(self, now_ms: int) -> StepEnded:
        step = self._waiting.pop(0)
        took_ms = now_ms - self._step_began_at_ms
        self._step_began_at_ms = None
        return StepEnded(
            stage=step.stage, took_ms=took_ms, left=step.remaining()
        )

    def __repr__(self) -> str:
        return f"Drain(stage={self.stage}, is_ended={self.is_ended})"
