"""Emulated engines that fall over if they have to reject too many requests."""

from __future__ import annotations

import collections

from bambooglade.eventloop import loop as loop_lib
from bambooglade_standins.users_platform import engine as engine_lib

LOAD = b"X-Bambooglade-Engine-Load"
BRITTLE = b"Server-Brittle"
REJECTIONS_WINDOW_MS = 1_000


class BrittleEngine:
    """Behaviour of an engine with a few slots, and little room to wait.

    Args:
        loop: The event loop.
        slots: Requests that are processed at once.
        room: Requests that may wait; tests change it.
        work_ms: Time that a request takes.
        down_ms: Time for which the engine is down after it has fallen over.

    Attributes:
        max_rejections_per_s: Rejections in a second above which it falls over,
            which all its responses state; None if it is not brittle.
        falls: Number of times that it has fallen over.
        rejections: Number of requests that it has rejected.
    """

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        *,
        slots: int = 4,
        room: int = 4,
        work_ms: int = 100,
        down_ms: int = 3_000,
    ) -> None:
        self._loop = loop
        self._slots = slots
        self._work_ms = work_ms
        self._down_ms = down_ms
        self._running: set[engine_lib.Call] = set()
        self._waiting: collections.deque[engine_lib.Call] = collections.deque()
        self._rejected_at_ms: collections.deque[int] = collections.deque()
        self._down_until_ms = 0
        self.room = room
        self.max_rejections_per_s: int | None = None
        self.falls = 0
        self.rejections = 0

    def __call__(self, call: engine_lib.Call) -> None:
        """Processes a call, lets it wait, or rejects it."""
        if self._loop.now_ms() < self._down_until_ms:
            call.reset()
        elif len(self._running) < self._slots:
            self._begin(call)
        elif len(self._waiting) < self.room:
            self._waiting.append(call)
        else:
            self._reject(call)

    def _fields(self) -> list[tuple[bytes, bytes]]:
        load = b"%d,%d,%d" % (
            len(self._running),
            len(self._waiting),
            self._slots,
        )
        fields = [(LOAD, load)]
        if self.max_rejections_per_s is not None:
            fields.append((BRITTLE, b"%d" % self.max_rejections_per_s))
        return fields

    def _begin(self, call: engine_lib.Call) -> None:
        self._running.add(call)
        self._loop.call_later(self._work_ms, self._end, call)

    def _end(self, call: engine_lib.Call) -> None:
        if call not in self._running:
            return
        self._running.discard(call)
        while self._waiting and len(self._running) < self._slots:
            waiting = self._waiting.popleft()
            if waiting.is_open:
                self._begin(waiting)
        if call.is_open:
            call.respond(b"done", extra=self._fields())

    def _reject(self, call: engine_lib.Call) -> None:
        now_ms = self._loop.now_ms()
        self.rejections += 1
        self._rejected_at_ms.append(now_ms)
        while now_ms - self._rejected_at_ms[0] >= REJECTIONS_WINDOW_MS:
            self._rejected_at_ms.popleft()
        call.respond(
            b"",
            503,
            extra=[(b"X-Bambooglade-Not-Executed", b"1"), *self._fields()],
        )
        if (
            self.max_rejections_per_s is not None
            and len(self._rejected_at_ms) > self.max_rejections_per_s
        ):
            self._fall(call.engine)

    def _fall(self, engine: engine_lib.Engine) -> None:
        self.falls += 1
        self._rejected_at_ms.clear()
        self._running.clear()
        self._waiting.clear()
        self._down_until_ms = self._loop.now_ms() + self._down_ms
        engine.reset_connections()

    def __repr__(self) -> str:
        return f"BrittleEngine(falls={self.falls})"
