"""Callers in a separate process, on kept connections, for the fleet soak.

Usage: python -m bambooglade_standins.users_platform.caller_process SETTINGS

Callers retry and resume as the protocol allows: after a failure at once, after
a refusal at the stated time, each time on a new connection to another gateway.
New connections go to the gateways that say that they are ready, as those of the
load balancer do; kept ones are used until the gateway closes them.

See Also:
    bambooglade_standins.users_platform.soak_fleet: runs these callers.
"""

from __future__ import annotations

import collections
import random
import sys

import msgspec

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.http1 import messages
from bambooglade.http1 import response_parser
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import engine_process
from bambooglade_standins.users_platform import fleet_records
from bambooglade_standins.users_platform import platform_harness as harness_lib

KEPT_SHARE = 0.8
"""Share of requests that take a kept connection, if there is one."""

IDLE_FRACTION = 0.8
"""Part of the idle time-out up to which a kept connection is used."""

APPLY_BOUND_MS = 2_000
"""Time for which an older version of the configuration may be in force."""

CONNECT_TIMEOUT_MS = 1_000
RETRY_DELAY_MS = 30
MAX_TRIES = 4
IMPATIENT_RETRY_DELAY_MS = 10
IMPATIENT_MAX_TRIES = 8
FATAL_SHARE = 0.08
"""Share of requests on which engines crash while such requests come."""

READINESS_PERIOD_MS = 1_000
MAX_MISSES = 2
"""Missed checks of the readiness after which a gateway gets no connections."""

MIN_READY_SHARE = 0.5
"""Share of ready gateways below which all get new connections."""

MAX_KEPT = 30
"""Most kept connections to a gateway."""

OLDEST_SHARE = 0.15
"""Share of kept connections that are those idle for longest; the others are the
latest, so that some become as old as they may."""

MIN_REMAINING_MS = 100
SHARED_PARTS = 8
SESSIONS = 96
"""Numbers of shared prompt parts and of sessions, for each kind."""

PROMISES = (408, 421, 429, 503)
END_OF_EVENT = b"\n\n"


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """Kind of requests.

    Attributes:
        name: Name of the kind, and the first part of its paths.
        weight: Its share of the requests.
        method: HTTP method.
        events: Least and most events of a stream; zeros for a plain request.
        pace_ms: Least and most time per event, or to a plain response.
        deadline_ms: Time that callers wait.
        max_gap_ms: Pause after which callers give a stream up.
        is_repeatable: Whether callers may try it again after any failure.
    """

    name: str
    weight: float
    method: str = "POST"
    events: tuple[int, int] = (0, 0)
    pace_ms: tuple[int, int]
    deadline_ms: int
    max_gap_ms: int = 0
    is_repeatable: bool = False


class CallerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process of callers.

    Attributes:
        name: Prefix of the ids of its requests.
        seed: Seed of the requests.
        address_by_gateway: Addresses of the gateways.
        readiness_by_gateway: Addresses of their readiness checks.
        rate_per_s: Mean number of new requests per second.
        kinds: Kinds of the requests.
        begins_at_ms: Time of the first request, on the monotonic clock.
        duration_ms: Time for which requests are sent.
        changes: Versions of the configuration, at their planned times.
        presses: Times at which more requests are sent.
        fatal: Times at which requests are sent on which engines crash.
        dropped_share: Share of streams that may be resumed whose connection
            breaks once.
        record_path: File to which what callers got is appended.
    """

    name: str
    seed: int
    address_by_gateway: dict[str, tuple[str, int]]
    readiness_by_gateway: dict[str, tuple[str, int]]
    rate_per_s: float
    kinds: list[Kind]
    begins_at_ms: int
    duration_ms: int
    changes: list[fleet_records.Change]
    presses: list[fleet_records.CallersPress]
    fatal: list[fleet_records.CallersSendFatal]
    dropped_share: float
    record_path: str


class _Task:
    """What a caller wants, over all its tries."""

    __slots__ = ("after_event", "drops_after", "due_ms", "events", "kind")
    __slots__ += ("has_fatal_part", "origin", "pace_ms", "subject", "tries")

    def __init__(
        self, kind: Kind, subject: str, *, events: int, pace_ms: int, due_ms
    ) -> None:
        self.kind = kind
        self.subject = subject
        self.events = events
        self.pace_ms = pace_ms
        self.due_ms = due_ms
        self.tries = 0
        self.drops_after = 0
        self.after_event = 0
        self.origin = ""
        self.has_fatal_part = False

    @property
    def is_fatal(self) -> bool:
        """Whether engines crash on it."""
        return self.has_fatal_part or self.subject.startswith(
            engine_process.FATAL_SUBJECT
        )

    @property
    def target(self) -> bytes:
        """Path of the request."""
        parts = (self.kind.name, self.subject, self.events, self.pace_ms)
        return ("/" + "/".join(map(str, parts))).encode()


class _Rotation:
    """Gateways that get new connections, by their readiness."""

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        readiness_by_gateway: dict[str, tuple[str, int]],
    ) -> None:
        self._loop = loop
        self._client = http_client.HttpClient(loop)
        self._address_by_gateway = readiness_by_gateway
        self._misses_by_gateway = dict.fromkeys(readiness_by_gateway, 0)

    @property
    def gateways(self) -> list[str]:
        """Names of the gateways that get new connections."""
        misses = self._misses_by_gateway
        ready = [name for name in misses if misses[name] < MAX_MISSES]
        return (
            ready if len(ready) >= MIN_READY_SHARE * len(misses) else [*misses]
        )

    def check(self) -> None:
        """Asks all gateways once a second whether they are ready."""
        for name, address in self._address_by_gateway.items():
            self._client.call(
                tuple(address),
                method="GET",
                target="/v1/readyz",
                timeout_ms=READINESS_PERIOD_MS,
            ).add_done_callback(
                lambda done, name=name: self._record(name, done.result())
            )
        self._loop.call_later(READINESS_PERIOD_MS, self.check)

    def _record(self, name: str, response: http_client.Response | None) -> None:
        is_ready = response is not None and response.status == 200
        self._misses_by_gateway[name] = (
            0 if is_ready else self._misses_by_gateway[name] + 1
        )


class _Callers:
    """Sends requests at random times, and follows each to its end."""

    def __init__(
        self, loop: loop_lib.EventLoop, settings: CallerSettings
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.random = random.Random(settings.seed)
        self._records = engine_process.RecordWriter(settings.record_path)
        self._kept_by_gateway: dict[str, list[_KeptConnection]] = (
            collections.defaultdict(list)
        )
        self._ids = iter(range(10**9))
        self._ends_at_ms = settings.begins_at_ms + settings.duration_ms
        self.active: set[_Try] = set()
        self._pending = 0
        self._rotation = _Rotation(loop, settings.readiness_by_gateway)

    @property
    def is_done(self) -> bool:
        """Whether all requests have ended."""
        return (
            engine_process.monotonic_ms() >= self._ends_at_ms
            and not self.active
            and not self._pending
        )

    def begin(self) -> None:
        """Schedules the first request."""
        delay_ms = self.settings.begins_at_ms - engine_process.monotonic_ms()
        self.loop.call_later(max(0, delay_ms), self._arrive)
        self.loop.call_later(max(0, delay_ms), self._rotation.check)

    def _presses(self) -> list[fleet_records.CallersPress]:
        now_ms = engine_process.monotonic_ms()
        return [
            press
            for press in self.settings.presses
            if press.began_at_ms <= now_ms < press.ended_at_ms
        ]

    def _fatal(self) -> fleet_records.CallersSendFatal | None:
        """Returns in what way a new request is fatal; None if it is not."""
        now_ms = engine_process.monotonic_ms()
        if self.random.random() >= FATAL_SHARE:
            return None
        for fatal in self.settings.fatal:
            if fatal.began_at_ms <= now_ms < fatal.ended_at_ms:
                return fatal
        return None

    @property
    def _is_impatient(self) -> bool:
        return any(press.is_impatient for press in self._presses())

    def _arrive(self) -> None:
        if engine_process.monotonic_ms() >= self._ends_at_ms:
            return
        kinds = self.settings.kinds
        (kind,) = self.random.choices(kinds, [k.weight for k in kinds])
        number = next(self._ids)
        fatal = self._fatal() if kind.events[1] else None
        is_repeated = fatal is not None and fatal.is_repeated
        task = _Task(
            kind,
            (
                engine_process.FATAL_SUBJECT
                if is_repeated
                else f"{self.settings.name}{number}"
            ),
            events=self.random.randint(*kind.events),
            pace_ms=self.random.randint(*kind.pace_ms),
            due_ms=engine_process.monotonic_ms() + kind.deadline_ms,
        )
        if is_repeated:
            task.events, task.pace_ms = kind.events[1], kind.pace_ms[0]
        task.has_fatal_part = fatal is not None and not is_repeated
        if (
            kind.events[1]
            and kind.is_repeatable
            and self.random.random() < self.settings.dropped_share
        ):
            task.drops_after = self.random.randint(1, task.events - 1)
        gateways = [*self.settings.address_by_gateway]
        self._send(task, self.random.choice(gateways))
        rate_per_s = self.settings.rate_per_s
        for press in self._presses():
            rate_per_s *= press.factor
        pause_s = self.random.expovariate(rate_per_s)
        self.loop.call_later(pause_s * 1_000, self._arrive)

    def _send(self, task: _Task, gateway: str) -> None:
        kept = None
        if not task.tries and self.random.random() < KEPT_SHARE:
            kept = self._take_kept(gateway)
        if kept is None and gateway not in self._rotation.gateways:
            gateway = self.random.choice(self._rotation.gateways)
        task.tries += 1
        attempt = f"{task.subject}.{task.tries}"
        if task.subject == engine_process.FATAL_SUBJECT:
            attempt += f".{self.settings.name}{next(self._ids)}"
        self.active.add(_Try(self, task, gateway, attempt, kept))

    def _idle_limit_ms(self, since_ms: int) -> int:
        """Returns the time that no version in force may cut short."""
        changes = self.settings.changes
        now_ms = engine_process.monotonic_ms()
        known = [c for c in changes if c.at_ms <= now_ms] or changes[:1]
        recent = [c for c in known if c.at_ms >= since_ms - 2 * APPLY_BOUND_MS]
        first = known.index(recent[0]) - 1 if recent else len(known) - 1
        limits = [c.idle_timeout_ms for c in known[max(0, first) :]]
        return round(IDLE_FRACTION * min(limits))

    def _take_kept(self, gateway: str) -> _KeptConnection | None:
        """Returns a kept connection, at times the one idle for longest."""
        now_ms = engine_process.monotonic_ms()
        kept = self._kept_by_gateway[gateway]
        for connection in list(kept):
            idle_ms = now_ms - connection.since_ms
            if idle_ms >= self._idle_limit_ms(connection.since_ms):
                connection.connection.close()
                kept.remove(connection)
        if not kept:
            return None
        return kept.pop(0 if self.random.random() < OLDEST_SHARE else -1)

    def keep(self, gateway: str, connection: connection_lib.Connection) -> None:
        """Keeps a connection for a later request."""
        kept = self._kept_by_gateway[gateway]
        if len(kept) >= MAX_KEPT:
            kept.pop(0).connection.close()
        kept.append(_KeptConnection(connection, kept))

    def ended(self, ended: _Try) -> None:
        """Records a try, and tries again if the protocol allows it."""
        self.active.discard(ended)
        self._records.write(ended.record())
        task = ended.task
        delay_ms = self._retry_delay_ms(ended)
        if delay_ms is None:
            return
        now_ms = engine_process.monotonic_ms()
        if task.due_ms - now_ms - delay_ms < MIN_REMAINING_MS:
            return
        if ended.received_events:
            task.after_event += ended.received_events
            task.origin = task.origin or ended.attempt
        others = [
            name
            for name in self.settings.address_by_gateway
            if name != ended.gateway
        ]
        self._pending += 1
        self.loop.call_later(
            delay_ms,
            self._retry,
            task,
            self.random.choice(others or [ended.gateway]),
        )

    def _retry(self, task: _Task, gateway: str) -> None:
        self._pending -= 1
        self._send(task, gateway)

    def _retry_delay_ms(self, ended: _Try) -> float | None:
        """Returns the time until the next try; None for no other try."""
        task = ended.task
        end = fleet_records.End
        is_impatient = self._is_impatient
        max_tries = IMPATIENT_MAX_TRIES if is_impatient else MAX_TRIES
        if task.tries >= max_tries or ended.end is end.ABANDONED:
            return None
        if ended.end is end.UNSENT:
            return RETRY_DELAY_MS
        if ended.status in PROMISES and is_impatient:
            return IMPATIENT_RETRY_DELAY_MS
        if ended.status in PROMISES:
            left_ms = task.due_ms - engine_process.monotonic_ms()
            return min(max(RETRY_DELAY_MS, ended.retry_after_ms), left_ms / 3)
        is_served = ended.end is end.COMPLETE and ended.status == 200
        if is_served or not task.kind.is_repeatable:
            return None
        return RETRY_DELAY_MS


class _KeptConnection:
    """An idle connection, which the gateway may close."""

    __slots__ = ("_kept", "connection", "since_ms")

    def __init__(
        self,
        connection: connection_lib.Connection,
        kept: list[_KeptConnection],
    ) -> None:
        self.connection = connection
        self.since_ms = engine_process.monotonic_ms()
        self._kept = kept
        connection.set_handler(self)

    def connected(self) -> None:
        """Never called: the connection is open."""

    def received(self, data: bytes) -> None:
        """Drops the connection: no request is under way."""
        del data
        self.connection.close()
        self.closed(is_clean=False)

    def closed(self, *, is_clean: bool) -> None:
        """Drops the connection."""
        del is_clean
        if self in self._kept:
            self._kept.remove(self)


class _Try:
    """One request, from its sending to its end."""

    def __init__(
        self,
        callers: _Callers,
        task: _Task,
        gateway: str,
        attempt: str,
        kept: _KeptConnection | None,
    ) -> None:
        self._callers = callers
        self.task = task
        self.gateway = gateway
        self.attempt = attempt
        self._parser = response_parser.ResponseParser()
        self._body = bytearray()
        self._sent_at_ms = engine_process.monotonic_ms()
        self._ended_at_ms = 0
        self._after_event = task.after_event
        self._origin = task.origin
        self.end: fleet_records.End | None = None
        self._is_open = kept is not None
        self._gap_timer = None
        self._idle_ms = None
        loop = callers.loop
        if kept is not None:
            self._idle_ms = self._sent_at_ms - kept.since_ms
            self._connection = kept.connection
            self._connection.set_handler(self)
            self._connection.send(self._request())
        else:
            address = callers.settings.address_by_gateway[gateway]
            self._connection = connection_lib.connect(
                loop, tuple(address), self
            )
            loop.call_later(CONNECT_TIMEOUT_MS, self._check_open)
        self._due_timer = loop.call_later(
            max(0, task.due_ms - self._sent_at_ms), self._give_up
        )
        self._watch_gap()

    def _request(self) -> bytes:
        task = self.task
        left_ms = max(1, task.due_ms - engine_process.monotonic_ms())
        fields = [
            (b"Host", harness_lib.HOST),
            (engine_lib.ATTEMPT_ID, self.attempt.encode()),
            (b"X-Bambooglade-Deadline-Ms", b"%d" % left_ms),
            (b"Authorization", b"Token " + harness_lib.KEY),
        ]
        if task.events:
            number = int(task.subject[1:]) if task.subject[1:].isdigit() else 0
            shared = f"{task.kind.name}{number % SHARED_PARTS}"
            session = f"{shared}-{number % SESSIONS}"
            prefix = f"{shared}:200,{session}:400"
            if task.has_fatal_part:
                prefix = (
                    f"{shared}:100,{engine_process.FATAL_PART}:100,"
                    f"{session}:400"
                )
            fields += [
                (b"X-Bambooglade-Model", b"m"),
                (
                    b"X-Bambooglade-Token-Usage",
                    b"600,%d" % (6 * task.events),
                ),
                (b"X-Bambooglade-Prefix-Hash", prefix.encode()),
            ]
        if self._after_event:
            fields += [
                (b"Last-Event-Id", b"%d" % self._after_event),
                (b"Resumes", self._origin.encode()),
            ]
        is_post = task.kind.method == "POST"
        return messages.encode_request(
            method=task.kind.method.encode(),
            target=task.target,
            fields=fields,
            body=task.subject.encode() if is_post else b"",
            has_body=is_post,
        )

    @property
    def status(self) -> int | None:
        """Status of the response; None if there was none."""
        return self._parser.head.status if self._parser.head else None

    @property
    def retry_after_ms(self) -> float:
        """Time after which a refused request may come back."""
        return 1_000 * float(self._parser.head.get(b"retry-after") or 0)

    @property
    def received_events(self) -> int:
        """Number of complete events of a stream."""
        if self.status != 200 or not self.task.events:
            return 0
        return self._body.count(END_OF_EVENT)

    def record(self) -> fleet_records.CallerRecord:
        """Returns what the caller got."""
        return fleet_records.CallerRecord(
            attempt=self.attempt,
            subject=self.task.subject,
            kind=self.task.kind.name,
            gateway=self.gateway,
            sent_at_ms=self._sent_at_ms,
            ended_at_ms=self._ended_at_ms,
            end=self.end,
            deadline_ms=self.task.due_ms - self._sent_at_ms,
            events=self.task.events,
            idle_ms=self._idle_ms,
            after_event=self._after_event,
            resumes=self._origin,
            status=self.status,
            body=self._body.decode("latin-1"),
            is_fatal=self.task.is_fatal,
        )

    def connected(self) -> None:
        """Sends the request."""
        self._is_open = True
        self._connection.send(self._request())

    def received(self, data: bytes) -> None:
        """Adds received bytes to the response."""
        self._body += self._parser.feed(data)
        self._watch_gap()
        self._check_end()
        drops_after = self.task.drops_after
        if self.end is None and 0 < drops_after <= self.received_events:
            self.task.drops_after = 0
            self._connection.reset()
            self._finish(fleet_records.End.DROPPED)

    def closed(self, *, is_clean: bool) -> None:
        """Ends the try, unless the response ends with its connection."""
        self._parser.ended(is_clean=is_clean)
        self._check_end()
        end = fleet_records.End
        self._finish(end.CLOSED if self._is_open else end.UNSENT)

    def _check_open(self) -> None:
        if not self._is_open and self.end is None:
            self._connection.close()
            self._finish(fleet_records.End.UNSENT)

    def _check_end(self) -> None:
        state = self._parser.state
        if state is response_parser.ResponseState.COMPLETE:
            is_reusable = (
                self._connection.is_open and self._parser.head.is_persistent
            )
            if is_reusable:
                self._callers.keep(self.gateway, self._connection)
            else:
                self._connection.close()
            self._finish(fleet_records.End.COMPLETE)
        elif state is response_parser.ResponseState.MALFORMED:
            self._connection.close()
            self._finish(fleet_records.End.CLOSED)

    def _watch_gap(self) -> None:
        if self._gap_timer is not None:
            self._gap_timer.cancel()
        if self.task.kind.max_gap_ms and self.end is None:
            self._gap_timer = self._callers.loop.call_later(
                self.task.kind.max_gap_ms, self._give_up
            )

    def _give_up(self) -> None:
        if self.end is None:
            self._connection.close()
            self._finish(fleet_records.End.ABANDONED)

    def _finish(self, end: fleet_records.End) -> None:
        if self.end is not None:
            return
        self.end = end
        self._ended_at_ms = engine_process.monotonic_ms()
        self._due_timer.cancel()
        if self._gap_timer is not None:
            self._gap_timer.cancel()
        self._callers.ended(self)


def main() -> int:
    """Runs the callers until all their requests have ended."""
    settings = msgspec.json.decode(sys.argv[1], type=CallerSettings)
    loop = loop_lib.EventLoop(clock_lib.Clock())
    callers = _Callers(loop, settings)
    callers.begin()
    while not callers.is_done:
        loop.run_once(max_wait_ms=50)
    return 0


if __name__ == "__main__":
    sys.exit(main())
