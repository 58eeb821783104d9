"""Keeps the fleet within the request limits that targets state; without I/O.

A limit holds for all instances together. A share for each of them would add up
to far more than the limit if the share is less than one request. Therefore only
a few instances, the senders of a target, send requests to it, each at an equal
part of the limit. Instances with the same view of the fleet agree on them.

The rate of a target that is cold after its start is kept in the same way, but
over a shorter window: each sender has a share of the requests that may be sent
within it. Of the two limits, the lower holds.

See Also:
    bambooglade.targets.cold_starts: knows which targets are cold.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
import math
from typing import Protocol

import msgspec

from bambooglade.core import identifiers
from bambooglade.targets import cold_starts

SPARE_SENDERS = 2
"""Senders of a target beyond its limit per second.

Each sender may send one request at once. With a limit of L, L + 2 senders send
at most 5 L + 2 requests in 4 s. The rest up to 6 L + 5 covers instances whose
views of the fleet differ.
"""

MIN_LIMIT_PER_S = 0.2
"""Lowest rate at which a target gets requests.

Without any response, the end of a limit of 0 would never be noticed.
"""

RAMP_DOUBLING_MS = 1_000
"""Time in which the rate doubles after a target states no limit any more."""

RAMP_MS = 7_000
"""Time after which the rate is no longer limited."""

RAMP_BURST_MS = 250
"""Time in which requests may be sent late at the rate of a ramp.

Arrivals come in bursts; after the end of a limit, only the average counts.
"""

MIN_RAMP_LIMIT_PER_S = 1.0
"""Lowest rate from which a ramp starts, in requests per second."""

UNCONFIRMED_MS = 30_000
"""Age of an observation after which others than senders make a trial.

Their notice of the end of the limit may have been lost.
"""

TRIAL_SPACING_MS = 4_000
"""Time between the trials of two instances."""

SHARE_MS = 2_000
"""Interval at which an instance repeats what it observed itself."""

NEWS_MS = 6_000
"""Age up to which an instance repeats what it observed."""

MAX_ABSENCE_MS = 60_000
"""Age at which the limit of a target without an entry is evicted.

The entry may be away for a moment only, and the same run come back.
"""

COLD_WINDOW_MS = 1_200
"""Window within which each sender of a cold target keeps to its share.

The target counts over any second; the rest covers differences in the time that
requests take to reach it.
"""

COLD_OVERSHOOT = 1.5
"""Factor by which the rate of a cold target may be exceeded in a second."""

COLD_SLACK = 5
"""Requests by which it may be exceeded in a second besides."""

_MS_PER_S = 1_000


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """What an instance last observed of the limit of a target.

    Attributes:
        target_id: Id of the target.
        started_at_ms: Start time of its process, which it registered.
        limit_per_s: Requests per second; None if it states no limit any more.
        previous_limit_per_s: The limit before; 0 if there was none.
        age_ms: Time since the observation.
    """

    target_id: str
    started_at_ms: int
    limit_per_s: float | None
    previous_limit_per_s: float
    age_ms: int


class SenderRank(msgspec.Struct, frozen=True):
    """Rank of this instance among the fleet for one target.

    Attributes:
        rank: 0 for the first sender.
        fleet_size: Number of known instances, this one included.
    """

    rank: int
    fleet_size: int


UNKNOWN_RANK = SenderRank(rank=1 << 20, fleet_size=1 << 20)
"""Rank of an instance that does not know the fleet yet; it is no sender."""


def share_of(rank: SenderRank, *, total: int) -> int:
    """Returns how much of a total an instance has.

    The first instances in the ranking have one more if it can't be divided.

    Args:
        rank: Rank of the instance for the target.
        total: Total of all instances.

    Examples:
        >>> [share_of(SenderRank(r, 6), total=8) for r in range(6)]
        [2, 2, 1, 1, 1, 1]
        >>> share_of(UNKNOWN_RANK, total=8)
        0
    """
    share, rest = divmod(total, rank.fleet_size)
    return share + (rank.rank < rest)


def cold_window_ms(max_requests_per_s: float) -> int:
    """Returns the window over which the rate of a cold target is kept."""
    rate_per_s = max(MIN_LIMIT_PER_S, max_requests_per_s)
    return max(COLD_WINDOW_MS, round(_MS_PER_S / rate_per_s))


def cold_window_requests(max_requests_per_s: float) -> int:
    """Returns how many requests a cold target may get within its window.

    Twice as many are within what the target tolerates in a second, since
    instances with two views of the fleet may take two sets of instances for the
    senders. So are the requests of one set at the rate of the target.

    Examples:
        >>> [cold_window_requests(rate) for rate in (0.2, 1, 4, 10, 30)]
        [1, 1, 4, 10, 25]
    """
    tolerated = COLD_OVERSHOOT * max_requests_per_s + COLD_SLACK
    sustained = max_requests_per_s * COLD_WINDOW_MS / _MS_PER_S
    return max(1, math.floor(min(sustained, tolerated / 2)))


class FindCold(Protocol):
    """Finds the cold run of a target, as `ColdStarts.find` does."""

    def __call__(
        self, target_id: identifiers.TargetId, *, now_ms: int
    ) -> cold_starts.ColdRun | None:
        """Returns the newest run of a target if it is cold, else None."""
        ...


class RequestLimits:
    """Limits of the targets that state one, and what was sent to them.

    Args:
        rank_of: Returns the rank of this instance for a target.
        find_cold: Returns the cold run of a target at a time, or None; None if
            no target is ever cold.
        cold_rank_of: Returns the rank of this instance for a cold target; None
            for that of the others.

    See Also:
        bambooglade.gateway.limit_replication: shares observations with peers.

    Examples:
        >>> limits = RequestLimits(lambda target_id: SenderRank(0, 6))
        >>> limits.record("e1", 7, 1.0, now_ms=0)
        True
        >>> limits.wait_ms("e1", 7, now_ms=0)
        0
        >>> limits.record_dispatch("e1", 7, now_ms=0)
        >>> limits.wait_ms("e1", 7, now_ms=0)
        3000
        >>> limits.wait_ms("e2", 7, now_ms=0)
        0
    """

    __slots__ = (
        "_cold_rank_of",
        "_cold_sent_ms_by_id",
        "_find_cold",
        "_limit_by_id",
        "_rank_of",
    )

    def __init__(
        self,
        rank_of: Callable[[identifiers.TargetId], SenderRank],
        *,
        find_cold: FindCold | None = None,
        cold_rank_of: Callable[[identifiers.TargetId], SenderRank]
        | None = None,
    ) -> None:
        self._rank_of = rank_of
        self._cold_rank_of = cold_rank_of or rank_of
        self._find_cold = find_cold or _find_none
        self._cold_sent_ms_by_id: dict[
            identifiers.TargetId, collections.deque[int]
        ] = {}
        self._limit_by_id: dict[identifiers.TargetId, _Limit] = {}

    def record(
        self,
        target_id: identifiers.TargetId,
        started_at_ms: int,
        limit_per_s: float | None,
        *,
        now_ms: int,
    ) -> bool:
        """Records the limit that a response states, or that it states none.

        Args:
            target_id: Id of the target.
            started_at_ms: Start time of its process.
            limit_per_s: Requests per second; None for no limit.
            now_ms: The current time in ms.

        Returns:
            Whether the limit has changed.
        """
        limit = self._limit_by_id.get(target_id)
        if limit is None or limit.started_at_ms < started_at_ms:
            if limit_per_s is None:
                self._limit_by_id.pop(target_id, None)
                return False
            limit = self._limit_by_id[target_id] = _Limit(started_at_ms, now_ms)
        elif limit.started_at_ms > started_at_ms:
            return False
        limit.is_own_observation = True
        return limit.observe(limit_per_s, limit.limit_per_s, now_ms)

    def merge(self, notice: LimitNotice, *, now_ms: int) -> bool:
        """Merges an observation of a peer; the newest one holds.

        Returns:
            Whether the limit has changed.
        """
        observed_at_ms = now_ms - notice.age_ms
        limit = self._limit_by_id.get(notice.target_id)
        if limit is None or limit.started_at_ms < notice.started_at_ms:
            if notice.limit_per_s is None:
                return False
            limit = _Limit(notice.started_at_ms, now_ms)
            self._limit_by_id[notice.target_id] = limit
        elif (
            limit.started_at_ms > notice.started_at_ms
            or observed_at_ms <= limit.observed_at_ms
        ):
            return False
        limit.is_own_observation = False
        return limit.observe(
            notice.limit_per_s, notice.previous_limit_per_s, observed_at_ms
        )

    def notices_to_share(
        self, *, now_ms: int, only_changed: bool = False
    ) -> Iterator[LimitNotice]:
        """Yields what this instance has observed itself.

        Args:
            now_ms: The current time in ms.
            only_changed: Whether to omit what was shared already.
        """
        for target_id, limit in self._limit_by_id.items():
            if not limit.is_own_observation or not limit.is_news(now_ms):
                continue
            if only_changed and limit.is_shared:
                continue
            limit.is_shared = True
            yield LimitNotice(
                target_id=target_id,
                started_at_ms=limit.started_at_ms,
                limit_per_s=limit.limit_per_s,
                previous_limit_per_s=limit.previous_limit_per_s,
                age_ms=now_ms - limit.observed_at_ms,
            )

    def wait_ms(
        self,
        target_id: identifiers.TargetId,
        started_at_ms: int,
        *,
        now_ms: int,
    ) -> int:
        """Returns the time until this instance may send to a target, in ms."""
        return max(
            self._stated_wait_ms(target_id, started_at_ms, now_ms=now_ms),
            self._cold_wait_ms(target_id, now_ms=now_ms),
        )

    def _cold_wait_ms(
        self, target_id: identifiers.TargetId, *, now_ms: int
    ) -> int:
        """Returns the time for which the cold rate holds requests off.

        Instances that are no senders wait until the target is warm.
        """
        cold = self._find_cold(target_id, now_ms=now_ms)
        if cold is None:
            return 0
        until_warm_ms = cold.until_ms - now_ms
        share = self._cold_share(target_id, cold)
        if not share:
            return until_warm_ms
        sent_ms = self._cold_sent_ms_by_id.get(target_id, ())
        if len(sent_ms) < share:
            return 0
        due_ms = sent_ms[-share] + cold_window_ms(cold.max_requests_per_s)
        return min(until_warm_ms, max(0, due_ms - now_ms))

    def _cold_share(
        self, target_id: identifiers.TargetId, cold: cold_starts.ColdRun
    ) -> int:
        return share_of(
            self._cold_rank_of(target_id),
            total=cold_window_requests(cold.max_requests_per_s),
        )

    def _stated_wait_ms(
        self,
        target_id: identifiers.TargetId,
        started_at_ms: int,
        *,
        now_ms: int,
    ) -> int:
        limit = self._limit_by_id.get(target_id)
        if limit is None or limit.started_at_ms < started_at_ms:
            return 0
        rate_per_s = limit.rate_per_s(now_ms)
        if rate_per_s is None:
            return 0
        rank = self._rank_of(target_id)
        senders = _sender_count(rate_per_s, rank.fleet_size)
        if rank.rank >= senders:
            trial_ms = UNCONFIRMED_MS + TRIAL_SPACING_MS * (rank.rank - senders)
            last_ms = max(limit.observed_at_ms, limit.sent_at_ms or 0)
            return max(0, last_ms + trial_ms - now_ms)
        if limit.sent_at_ms is None:
            return 0
        interval_ms = self._interval_ms(target_id, limit, now_ms=now_ms)
        return max(0, limit.sent_at_ms + interval_ms - now_ms)

    def _interval_ms(
        self, target_id: identifiers.TargetId, limit: _Limit, *, now_ms: int
    ) -> int:
        """Returns the time between two requests of a sender, in ms."""
        rate_per_s = limit.rate_per_s(now_ms)
        if rate_per_s is None:
            return 0
        fleet_size = self._rank_of(target_id).fleet_size
        senders = _sender_count(rate_per_s, fleet_size)
        return round(senders * _MS_PER_S / rate_per_s)

    def retry_after_ms(
        self,
        target_id: identifiers.TargetId,
        started_at_ms: int,
        *,
        now_ms: int,
    ) -> int:
        """Returns the time until the fleet may send to a target again, in ms.

        Other instances may send earlier than this one.
        """
        stated_ms = self._stated_retry_after_ms(
            target_id, started_at_ms, now_ms=now_ms
        )
        cold = self._find_cold(target_id, now_ms=now_ms)
        if cold is None or not self._cold_wait_ms(target_id, now_ms=now_ms):
            return stated_ms
        rate_per_s = cold.max_requests_per_s
        pace_ms = cold_window_ms(rate_per_s) // cold_window_requests(rate_per_s)
        return max(stated_ms, pace_ms)

    def _stated_retry_after_ms(
        self,
        target_id: identifiers.TargetId,
        started_at_ms: int,
        *,
        now_ms: int,
    ) -> int:
        wait_ms = self._stated_wait_ms(target_id, started_at_ms, now_ms=now_ms)
        limit = self._limit_by_id.get(target_id)
        rate_per_s = limit.rate_per_s(now_ms) if limit is not None else None
        if rate_per_s is None:
            return wait_ms
        return min(wait_ms, round(_MS_PER_S / rate_per_s))

    def record_dispatch(
        self,
        target_id: identifiers.TargetId,
        started_at_ms: int,
        *,
        now_ms: int,
    ) -> None:
        """Records that this instance sends a request to a target."""
        self._record_cold_dispatch(target_id, now_ms=now_ms)
        limit = self._limit_by_id.get(target_id)
        if limit is None or limit.started_at_ms < started_at_ms:
            return
        due_at_ms = now_ms
        if limit.is_ramp and limit.sent_at_ms is not None:
            interval_ms = self._interval_ms(target_id, limit, now_ms=now_ms)
            due_at_ms = max(
                limit.sent_at_ms + interval_ms, now_ms - RAMP_BURST_MS
            )
        limit.sent_at_ms = min(now_ms, due_at_ms)

    def _record_cold_dispatch(
        self, target_id: identifiers.TargetId, *, now_ms: int
    ) -> None:
        cold = self._find_cold(target_id, now_ms=now_ms)
        if cold is None:
            return
        sent_ms = self._cold_sent_ms_by_id.setdefault(
            target_id, collections.deque()
        )
        sent_ms.append(now_ms)
        if len(sent_ms) > cold_window_requests(cold.max_requests_per_s):
            sent_ms.popleft()

    def evict_missing(
        self, known: set[identifiers.TargetId], *, now_ms: int
    ) -> None:
        """Evicts limits that ended, and old ones of unregistered targets.

        Requests to cold targets are evicted once they are outside any window.
        """
        for target_id, sent_ms in list(self._cold_sent_ms_by_id.items()):
            if now_ms - sent_ms[-1] >= _MS_PER_S / MIN_LIMIT_PER_S:
                del self._cold_sent_ms_by_id[target_id]
        for target_id, limit in list(self._limit_by_id.items()):
            is_absent = (
                target_id not in known
                and now_ms - limit.observed_at_ms >= MAX_ABSENCE_MS
            )
            if is_absent or limit.rate_per_s(now_ms) is None:
                del self._limit_by_id[target_id]

    def __repr__(self) -> str:
        return f"RequestLimits(targets={sorted(self._limit_by_id)})"


def _find_none(target_id: identifiers.TargetId, *, now_ms: int) -> None:
    """Finds no cold run."""
    del target_id, now_ms


def _sender_count(rate_per_s: float, fleet_size: int) -> int:
    """Returns how many instances send requests to a target."""
    return min(fleet_size, math.floor(rate_per_s) + SPARE_SENDERS)


class _Limit:
    """Limit of one process of a target."""

    __slots__ = (
        "_ends_at_ms",
        "is_own_observation",
        "is_shared",
        "limit_per_s",
        "observed_at_ms",
        "previous_limit_per_s",
        "sent_at_ms",
        "started_at_ms",
    )

    def __init__(self, started_at_ms: int, now_ms: int) -> None:
        self.started_at_ms = started_at_ms
        self.limit_per_s: float | None = None
        self.previous_limit_per_s = 0.0
        self.observed_at_ms = now_ms
        self.sent_at_ms: int | None = None
        self.is_own_observation = False
        self.is_shared = False
        self._ends_at_ms = 0

    def observe(
        self,
        limit_per_s: float | None,
        previous_limit_per_s: float | None,
        observed_at_ms: int,
    ) -> bool:
        """Applies an observation; returns whether the limit has changed."""
        self.observed_at_ms = observed_at_ms
        if limit_per_s == self.limit_per_s:
            return False
        self.is_shared = False
        if limit_per_s is None:
            self._ends_at_ms = observed_at_ms
        self.previous_limit_per_s = previous_limit_per_s or 0.0
        self.limit_per_s = limit_per_s
        return True

    @property
    def is_ramp(self) -> bool:
        """Whether the limit has ended."""
        return self.limit_per_s is None

    def is_news(self, now_ms: int) -> bool:
        """Returns whether peers may not have heard of the observation."""
        since_ms = (
            self._ends_at_ms
            if self.limit_per_s is None
            else self.observed_at_ms
        )
        return now_ms - since_ms <= NEWS_MS

    def rate_per_s(self, now_ms: int) -> float | None:
        """Returns the requests per second that the fleet may send now.

        After the end of a limit, the rate doubles each second, so that the
        target isn't flooded.

        Returns:
            None if the rate is not limited.
        """
        if self.limit_per_s is not None:
            return max(MIN_LIMIT_PER_S, self.limit_per_s)
        ended_for_ms = now_ms - self._ends_at_ms
        if ended_for_ms >= RAMP_MS:
            return None
        first = max(MIN_RAMP_LIMIT_PER_S, self.previous_limit_per_s)
        return first * 2 ** (ended_for_ms / RAMP_DOUBLING_MS)
