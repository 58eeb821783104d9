"""Keeps long prompts away from the targets of short ones; without I/O.

A prompt that an engine processes for long delays all requests behind it. Each
instance sees a small part of the prompts and of the reports, and 360 of them
can't tell each other where each long prompt is. So they divide the targets of a
service without messages: all rank the targets equally, by hashing, and long
prompts go to the first ones, as many as their share of the work. Both groups
then have the same load, and only the order in which requests meet differs. The
target at the boundary belongs to both, for a fixed part of the prompt parts.
The division is a preference: a request leaves its group when another target is
predicted to be better by more than the delay that it causes there.

Within a group, requests with the same shared part go to the same few targets,
as many as the load of the part needs, so that it is cached there. Parts and
shares are counted from the own requests, which are a fair sample of all.
"""

from __future__ import annotations

from collections.abc import Sequence

from bambooglade.core import hashing

LONG_FRACTION = 0.25
"""Part of the tightest objective from which the work of a prompt is long.

Four such prompts on a target use up the objective of a short one.
"""

MIN_LONG_SHARE = 0.05
"""Share of the work below which long, or short, prompts get no targets.

Preferences of a few requests are not worth the caches that move.
"""

MIN_REQUESTS = 30
"""Requests of a service that are seen before its targets are divided."""

MAX_LOAD_OF_PART = 0.3
"""Most of the usual load of a target that one shared part may cause there.

Its requests go to more targets above that.
"""

ALTERNATIVES = 3
"""Targets that a shared part moves to, one after the other, if the first ones
are late.

All instances take them in the same order, so that few targets read the part.
"""

STICKY_SHARE = 0.5
"""Size of a shared part, relative to the rest, from which it is worth a wait.

With a smaller one, a second target is compared that may not have it.
"""

MEMORY = 400
"""Number of requests after which the weight of one has fallen to 1/e."""

REQUEST_TOKENS = 100
"""Tokens whose processing takes as long as the other work of a request.

Each generated token makes the steps between the chunks of prompts longer.
"""

OBJECTIVE_PERIOD_MS = 60_000
"""Time for which an objective counts at least after its last request."""

MAX_PARTS = 512
"""Most shared parts of which the load is kept per service."""

MAX_SERVICES = 1_000
"""Most services that are kept; the one that was first seen is evicted."""

_MASK = (1 << 64) - 1
_ODD = 0x9E3779B97F4A7C15


class Plan:
    """Where a prompt should go.

    Attributes:
        preferred_ids: Targets to prefer, by how likely they are to have the
            shared part cached.
        cached_count: Number of them, from the first, that should have it.
        first_count: Number of them, from the first, among which the best is
            used; the others are alternatives in their order.
        is_long: Whether the prompt delays short ones noticeably.
        long_ids: Targets that long prompts prefer; empty if the targets are not
            divided.
        long_work_ms: Usual work of a long prompt.
    """

    __slots__ = (
        "cached_count",
        "first_count",
        "is_long",
        "long_ids",
        "long_work_ms",
        "preferred_ids",
    )

    def __init__(
        self,
        preferred_ids: Sequence[str],
        *,
        cached_count: int = 0,
        first_count: int | None = None,
        is_long: bool = False,
        long_ids: frozenset[str] = frozenset(),
        long_work_ms: float = 0.0,
    ) -> None:
        self.preferred_ids = preferred_ids
        self.cached_count = cached_count
        self.first_count = (
            len(preferred_ids) if first_count is None else first_count
        )
        self.is_long = is_long
        self.long_ids = long_ids
        self.long_work_ms = long_work_ms

    def delay_caused_ms(self, target_id: str, work_ms: float) -> float:
        """Returns what the choice of a target costs other requests.

        Args:
            target_id: The target.
            work_ms: Time for which the prompt would occupy it.
        """
        if not self.long_ids or self.is_long == (target_id in self.long_ids):
            return work_ms
        return work_ms + (work_ms if self.is_long else self.long_work_ms / 2)

    def __repr__(self) -> str:
        return (
            f"Plan(is_long={self.is_long}, long_targets={len(self.long_ids)})"
        )


class Placement:
    """Divides the targets of services between long and short prompts.

    Examples:
        >>> placement = Placement()
        >>> ids = [f"e{n}" for n in range(10)]
        >>> for tokens, target_latency_ms in ((600, 250), (6_000, 2_000)) * 20:
        ...     placement.record("s", None, tokens=tokens, work_ms=tokens / 50,
        ...         target_latency_ms=target_latency_ms, now_ms=0)
        >>> plan = placement.plan("s", ids, part_id="p", work_ms=120.0,
        ...     target_latency_ms=2_000)
        >>> plan.is_long, 7 <= len(plan.long_ids) <= 9
        (True, True)
        >>> short = placement.plan("s", ids, part_id="q", work_ms=12.0,
        ...     target_latency_ms=250)
        >>> short.is_long
        False
    """

    __slots__ = ("_hash_by_target", "_mix_by_service")

    def __init__(self) -> None:
        self._mix_by_service: dict[str, _Mix] = {}
        self._hash_by_target: dict[str, int] = {}

    def _mix(self, service: str) -> _Mix:
        mix = self._mix_by_service.get(service)
        if mix is None:
            if len(self._mix_by_service) >= MAX_SERVICES:
                del self._mix_by_service[next(iter(self._mix_by_service))]
            mix = self._mix_by_service[service] = _Mix(service)
        return mix

    def record(
        self,
        service: str,
        part_id: str | None,
        *,
        tokens: float,
        work_ms: float,
        target_latency_ms: int,
        now_ms: int,
    ) -> None:
        """Records a dispatched prompt.

        Args:
            service: Its service.
            part_id: Its last shared part; None if it shares none.
            tokens: Tokens of it that have to be processed.
            work_ms: Time that this takes.
            target_latency_ms: Objective for the first event.
            now_ms: Current time.
        """
        self._mix(service).record(
            part_id,
            tokens=tokens + REQUEST_TOKENS,
            work_ms=work_ms,
            target_latency_ms=target_latency_ms,
            now_ms=now_ms,
        )

    def plan(
        self,
        service: str,
        target_ids: Sequence[str],
        *,
        part_id: str | None,
        work_ms: float,
        target_latency_ms: int,
        shared_work_ms: float = 0.0,
    ) -> Plan:
        """Returns where a prompt should go.

        Args:
            service: Its service.
            target_ids: All targets of the service that accept requests.
            part_id: Its last shared part; None if it shares none.
            work_ms: Time that it takes where the shared part is cached.
            target_latency_ms: Objective for its first event.
            shared_work_ms: Time that the shared parts take where they are not
                cached.
        """
        mix = self._mix(service)
        part = hashing.stable_hash(part_id) if part_id is not None else None
        is_long = mix.is_long(work_ms, target_latency_ms)
        ranked = mix.ranked(target_ids, self._target_hash)
        long_count = mix.long_share * len(ranked) if mix.is_divided else 0.0
        whole = int(long_count)
        long_ids = mix.first_ids(whole)
        members: Sequence[str] = ranked
        if long_count:
            boundary = ((part or 0) >> 32) / (1 << 32) < long_count - whole
            end = whole + (boundary if is_long else not boundary)
            members = ranked[:end] if is_long else ranked[whole + boundary :]
            members = members or ranked[whole : whole + 1]
        cached_count, count = 0, None
        if part is not None:
            cached_count = mix.spread(part_id, len(ranked))
            is_sticky = shared_work_ms >= STICKY_SHARE * work_ms
            count = cached_count if is_sticky else max(2, cached_count)
            members = self._best(members, part, count + ALTERNATIVES)
        return Plan(
            members,
            cached_count=cached_count,
            first_count=count,
            is_long=is_long,
            long_ids=long_ids if long_count else frozenset(),
            long_work_ms=mix.long_work_ms,
        )

    def _best(
        self, target_ids: Sequence[str], part: int, count: int
    ) -> list[str]:
        """Returns the first targets of a part by rendezvous hashing."""
        hash_of = self._target_hash
        ranked = sorted(
            (((part ^ hash_of(target_id)) * _ODD) & _MASK, target_id)
            for target_id in target_ids
        )
        return [target_id for _, target_id in ranked[:count]]

    def _target_hash(self, target_id: str) -> int:
        known = self._hash_by_target.get(target_id)
        if known is None:
            known = hashing.stable_hash(target_id)
            self._hash_by_target[target_id] = known
        return known

    def evict_missing(self, known: set[str]) -> None:
        """Evicts what is kept of targets that are gone."""
        for target_id in self._hash_by_target.keys() - known:
            del self._hash_by_target[target_id]

    def target_ids(self) -> set[str]:
        """Returns the targets of which anything is kept."""
        return set(self._hash_by_target)

    def describe(self, service: str) -> str:
        """Returns what is believed of a service as terms of a log line."""
        return self._mix(service).describe()

    def __repr__(self) -> str:
        return f"Placement(services={len(self._mix_by_service)})"


class _Mix:
    """What kinds of prompts a service gets, by the own requests."""

    __slots__ = (
        "_first",
        "_long_count",
        "_long_tokens",
        "_long_work_ms",
        "_objectives",
        "_objectives_since_ms",
        "_ranked",
        "_ranked_for",
        "_service_hash",
        "_tokens",
        "_tokens_by_part",
        "_unit",
        "request_count",
    )

    def __init__(self, service: str) -> None:
        self._service_hash = hashing.stable_hash(f"long/{service}")
        self.request_count = 0
        self._tokens = 0.0
        self._long_tokens = 0.0
        self._long_work_ms = 0.0
        self._long_count = 0.0
        # The weight of a request grows in place of all others losing weight.
        self._unit = 1.0
        self._tokens_by_part: dict[str, float] = {}
        self._objectives = [0, 0]
        self._objectives_since_ms = 0
        self._ranked: list[str] = []
        self._ranked_for: tuple[str, ...] = ()
        self._first: tuple[int, frozenset[str]] = (0, frozenset())

    @property
    def tightest_ms(self) -> int:
        """Tightest objective of the last minutes; 0 before the first."""
        return min((o for o in self._objectives if o), default=0)

    @property
    def long_share(self) -> float:
        """Share of long prompts in the work."""
        return self._long_tokens / self._tokens if self._tokens else 0.0

    @property
    def long_work_ms(self) -> float:
        """Usual work of a long prompt."""
        if not self._long_count:
            return 0.0
        return self._long_work_ms / self._long_count

    @property
    def is_divided(self) -> bool:
        """Whether long and short prompts have targets of their own."""
        share = self.long_share
        return (
            self.request_count >= MIN_REQUESTS
            and MIN_LONG_SHARE <= share <= 1.0 - MIN_LONG_SHARE
            and len(self._ranked) > 1
        )

    def is_long(self, work_ms: float, target_latency_ms: int) -> bool:
        """Returns whether a prompt delays those with the tightest objective.

        One with an objective nearly as tight has to be longer, since it is
        delayed itself among long ones.
        """
        tightest_ms = self.tightest_ms
        tightness = tightest_ms / max(1, tightest_ms, target_latency_ms)
        bound_ms = LONG_FRACTION * tightest_ms * (1.0 + 2.0 * tightness)
        return 0 < bound_ms < work_ms

    def record(
        self,
        part_id: str | None,
        *,
        tokens: float,
        work_ms: float,
        target_latency_ms: int,
        now_ms: int,
    ) -> None:
        """Records a prompt."""
        if now_ms - self._objectives_since_ms > OBJECTIVE_PERIOD_MS:
            self._objectives = [0, self._objectives[0]]
            self._objectives_since_ms = now_ms
        newest = self._objectives[0] or target_latency_ms
        self._objectives[0] = min(newest, target_latency_ms)
        self.request_count += 1
        self._unit *= 1.0 + 1.0 / MEMORY
        weighted = tokens * self._unit
        self._tokens += weighted
        if self.is_long(work_ms, target_latency_ms):
            self._long_tokens += weighted
            self._long_work_ms += work_ms * self._unit
            self._long_count += self._unit
        self._record_part(part_id, weighted)
        # Sums of the past shrink to their weight once the unit has grown.
        if self._unit > 10.0:
            self._rescale()

    def _record_part(self, part_id: str | None, weighted: float) -> None:
        if part_id is None:
            return
        known = self._tokens_by_part.get(part_id)
        # The first request of a part does not show that there will be more.
        self._tokens_by_part[part_id] = (
            0.0 if known is None else known + weighted
        )
        if len(self._tokens_by_part) > MAX_PARTS:
            half = sorted(self._tokens_by_part.items(), key=lambda i: -i[1])
            self._tokens_by_part = dict(half[: MAX_PARTS // 2])

    def _rescale(self) -> None:
        unit, self._unit = self._unit, 1.0
        self._tokens /= unit
        self._long_tokens /= unit
        self._long_work_ms /= unit
        self._long_count /= unit
        self._tokens_by_part = {
            part_id: tokens / unit
            for part_id, tokens in self._tokens_by_part.items()
            if tokens / unit > 1.0
        }

    def spread(self, part_id: str, target_count: int) -> int:
        """Returns how many targets the requests with a shared part need."""
        if self.request_count < MIN_REQUESTS:
            return 1
        share = self._tokens_by_part.get(part_id, 0.0) / self._tokens
        return 1 + int(share * target_count / MAX_LOAD_OF_PART)

    def ranked(self, target_ids: Sequence[str], hash_of) -> list[str]:
        """Returns targets in an order that is equal on all instances."""
        key = tuple(target_ids)
        if key != self._ranked_for:
            service = self._service_hash
            self._ranked = sorted(
                key, key=lambda t: ((service ^ hash_of(t)) * _ODD & _MASK, t)
            )
            self._ranked_for = key
            self._first = (0, frozenset())
        return self._ranked

    def first_ids(self, count: int) -> frozenset[str]:
        """Returns the first ranked targets."""
        if self._first[0] != count:
            self._first = count, frozenset(self._ranked[:count])
        return self._first[1]

    def describe(self) -> str:
        """Returns what is believed as terms of a log line."""
        return (
            f"long_share={self.long_share:.2f} tightest_ms={self.tightest_ms}"
        )

    def __repr__(self) -> str:
        return f"_Mix({self.describe()})"
