"""Limits the requests to targets that have just started; without I/O.

Operators state a limit and its duration in a row of the service. The limit
holds for all instances together, so that each request of the fleet needs a
place in a window of time. The places are dealt to the instances by their rank
for the target. Instances with the same view of the fleet agree on it, and none
has to ask another. A choice of a target costs a look-up and, for a target that
is warming up, a comparison with the times of the last requests to it.

See Also:
    bambooglade.targets.cold_starts: the same for the targets of the gateway,
    which register each start.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
import math

import msgspec

from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade.targets import exclusions
from bambooglade.targets import request_limits
from bambooglade.targets import target as target_lib

WINDOW_MS = 1_200
"""Window in which the fleet sends at most the requests of one second.

The rest covers differences in the time that requests take to a target, which
counts over any second.
"""

FLEET_SETTLE_MS = 10_000
"""Time after which an instance that has started sends to such targets.

Before, it may not know all instances, and some of them may not know it.
"""

CLOCK_SKEW_MS = 5_000
"""Most time by which the clocks of instances are expected to differ.

It matters only for rows that were edited before this instance started.
"""

_MS_PER_S = 1_000


class WarmUp(msgspec.Struct, frozen=True):
    """A target that is warming up.

    Attributes:
        target: The target.
        max_requests_per_s: Requests per second from all instances together.
        until_ms: Time at which the limit ends.
    """

    target: target_lib.Target
    max_requests_per_s: float
    until_ms: int

    @property
    def window_ms(self) -> int:
        """Length of the window in which `window_requests` may be sent."""
        return max(WINDOW_MS, math.ceil(_MS_PER_S / self.max_requests_per_s))

    @property
    def window_requests(self) -> int:
        """Requests that all instances together may send within the window."""
        return max(1, math.floor(self.max_requests_per_s))


class WarmUps:
    """Targets that are warming up, and what this instance sent to them.

    Args:
        table: The rows in force.
        edited_at_ms: Returns the time of the last edit of a row, or None if it
            is not known.
        is_loaded: Returns whether the whole table was loaded.

    Examples:
        >>> table = view.FixedTable([rows.WarmUpRow(service="s",
        ...     max_requests_per_s=2, duration_ms=30_000)])
        >>> warm_ups = WarmUps(table)
        >>> list(warm_ups.refresh(now_ms=0))
        []
        >>> target = target_lib.Target(target_id="e1", service="s",
        ...     availability_zone="a", url="http://127.0.0.1")
        >>> warm_ups.find(target, now_ms=0).until_ms
        30000
        >>> warm_ups.set_fleet("u1", frozenset(["u1"]), now_ms=0)
        >>> warm_ups.wait_ms(target, now_ms=0)
        10000
        >>> [warm_ups.try_acquire(target, now_ms=10_000) for _ in range(3)]
        [True, True, False]
        >>> warm_ups.wait_ms(target, now_ms=10_100)
        1100
    """

    __slots__ = (
        "_edited_at_ms",
        "_fleet_known_at_ms",
        "_fleet_urls",
        "_is_loaded",
        "_is_watching",
        "_own_url",
        "_rank_by_target",
        "_record_by_target",
        "_table",
        "_warming_by_target",
    )

    def __init__(
        self,
        table: view.TableView,
        *,
        edited_at_ms: Callable[[str], int | None] = lambda row_key: None,
        is_loaded: Callable[[], bool] = lambda: True,
    ) -> None:
        self._table = table
        self._edited_at_ms = edited_at_ms
        self._is_loaded = is_loaded
        self._is_watching = False
        self._own_url = ""
        self._fleet_urls: frozenset[str] = frozenset()
        self._fleet_known_at_ms: int | None = None
        self._rank_by_target: dict[
            identifiers.TargetId, request_limits.SenderRank
        ] = {}
        self._record_by_target: dict[identifiers.TargetId, _Record] = {}
        self._warming_by_target: dict[identifiers.TargetId, WarmUp] = {}

    @property
    def warming_count(self) -> int:
        """Number of targets that were warming up at the last `refresh`."""
        return len(self._warming_by_target)

    def set_fleet(
        self, own_url: str, urls: frozenset[str], *, now_ms: int
    ) -> None:
        """Sets the instances that may send requests to targets.

        An instance that is replaced at its address keeps its rank.

        Args:
            own_url: Base URL of this instance.
            urls: Base URLs of all instances that may be running.
            now_ms: Current time.
        """
        if self._fleet_known_at_ms is None:
            self._fleet_known_at_ms = now_ms
        fleet_urls = urls | {own_url}
        if (own_url, fleet_urls) != (self._own_url, self._fleet_urls):
            self._own_url = own_url
            self._fleet_urls = fleet_urls
            self._rank_by_target.clear()

    def refresh(self, *, now_ms: int) -> Iterator[tuple[WarmUp, bool]]:
        """Reads the rows of all targets.

        Yields:
            Each target that began or ended to warm up since the last call, and
            whether it is warming up now.
        """
        if not self._is_loaded():
            return
        known: set[identifiers.TargetId] = set()
        warming_by_target: dict[identifiers.TargetId, WarmUp] = {}
        for target in target_lib.all_targets(self._table):
            known.add(target.target_id)
            self._record_of(target, now_ms)
            warm_up = self.find(target, now_ms=now_ms)
            if warm_up is not None:
                warming_by_target[target.target_id] = warm_up
        self._is_watching = True
        for target_id in set(self._record_by_target) - known:
            del self._record_by_target[target_id]
            self._rank_by_target.pop(target_id, None)
        before = self._warming_by_target
        self._warming_by_target = warming_by_target
        for target_id, warm_up in before.items():
            if target_id not in warming_by_target:
                yield warm_up, False
        for target_id, warm_up in warming_by_target.items():
            if target_id not in before:
                yield warm_up, True

    def find(self, target: target_lib.Target, *, now_ms: int) -> WarmUp | None:
        """Returns the limit of a target; None if there is none."""
        row = self._table.get(f"warmup/{target.service}")
        if not isinstance(row, rows.WarmUpRow):
            return None
        record = self._record_of(target, now_ms)
        until_ms = record.started_by_ms + row.duration_ms
        if until_ms <= now_ms:
            return None
        return WarmUp(target, row.max_requests_per_s, until_ms)

    def wait_ms(self, target: target_lib.Target, *, now_ms: int) -> int:
        """Returns the time until this instance may send to a target, in ms."""
        warm_up = self.find(target, now_ms=now_ms)
        if warm_up is None:
            return 0
        return self._wait_ms(warm_up, now_ms)

    def retry_after_ms(self, target: target_lib.Target, *, now_ms: int) -> int:
        """Returns the time until the fleet may send to a target, in ms.

        Other instances may send earlier than this one.
        """
        warm_up = self.find(target, now_ms=now_ms)
        if warm_up is None:
            return 0
        return min(
            self._wait_ms(warm_up, now_ms),
            warm_up.window_ms // warm_up.window_requests,
        )

    def try_acquire(self, target: target_lib.Target, *, now_ms: int) -> bool:
        """Takes a place in the window; returns False if there is none."""
        warm_up = self.find(target, now_ms=now_ms)
        if warm_up is None:
            return True
        if self._wait_ms(warm_up, now_ms):
            return False
        sent_ms = self._record_by_target[target.target_id].sent_ms
        sent_ms.append(now_ms)
        while sent_ms[0] <= now_ms - warm_up.window_ms:
            sent_ms.popleft()
        return True

    def record_refusal(self, target: target_lib.Target, *, now_ms: int) -> None:
        """Records that a connection was refused.

        No process listens there. The next one has just started as soon as one
        does.
        """
        record = self._record_by_target.get(target.target_id)
        if record is not None and record.url == target.url:
            record.started_by_ms = now_ms

    def record_uptime(
        self, target: target_lib.Target, uptime_ms: int, *, now_ms: int
    ) -> None:
        """Records for how long the process of a target has been running.

        It replaces what was assumed before, but for the end of an exclusion.
        """
        record = self._record_by_target.get(target.target_id)
        if record is not None and record.url == target.url:
            record.started_by_ms = max(now_ms - uptime_ms, record.allowed_at_ms)

    def _record_of(self, target: target_lib.Target, now_ms: int) -> _Record:
        is_excluded = bool(exclusions.reason(target, self._table))
        record = self._record_by_target.get(target.target_id)
        if record is None or record.url != target.url:
            record = _Record(target.url, is_excluded=is_excluded)
            if self._is_watching:
                record.started_by_ms = now_ms
            else:
                # The edit may have ended an exclusion.
                record.started_by_ms = record.allowed_at_ms = (
                    self._latest_start_ms(target, now_ms)
                )
            self._record_by_target[target.target_id] = record
        if record.is_excluded and not is_excluded:
            # Operators may have restarted it meanwhile.
            record.allowed_at_ms = record.started_by_ms = now_ms
        record.is_excluded = is_excluded
        return record

    def _latest_start_ms(self, target: target_lib.Target, now_ms: int) -> int:
        """Returns when a target started at the latest that was there before.

        A target whose rows were last edited long ago is not limited, so that a
        restart of the instances does not hold callers back.
        """
        edits_ms = (
            self._edited_at_ms(f"target/{target.target_id}"),
            self._edited_at_ms(f"zone/{target.availability_zone}"),
        )
        latest_ms = max((edit for edit in edits_ms if edit), default=None)
        return (
            0 if latest_ms is None else min(now_ms, latest_ms + CLOCK_SKEW_MS)
        )

    def _wait_ms(self, warm_up: WarmUp, now_ms: int) -> int:
        until_warm_ms = warm_up.until_ms - now_ms
        if self._fleet_known_at_ms is None:
            return until_warm_ms
        settled_ms = self._fleet_known_at_ms + FLEET_SETTLE_MS
        share = request_limits.share_of(
            self._rank_of(warm_up.target.target_id),
            total=warm_up.window_requests,
        )
        if not share:
            return until_warm_ms
        due_ms = settled_ms
        sent_ms = self._record_by_target[warm_up.target.target_id].sent_ms
        if len(sent_ms) >= share:
            due_ms = max(due_ms, sent_ms[-share] + warm_up.window_ms)
        return min(until_warm_ms, max(0, due_ms - now_ms))

    def _rank_of(
        self, target_id: identifiers.TargetId
    ) -> request_limits.SenderRank:
        rank = self._rank_by_target.get(target_id)
        if rank is None:
            ranked = hashing.rendezvous(f"sender/{target_id}", self._fleet_urls)
            rank = request_limits.SenderRank(
                ranked.index(self._own_url), len(ranked)
            )
            self._rank_by_target[target_id] = rank
        return rank

    def __repr__(self) -> str:
        return f"WarmUps(warming={self.warming_count})"


class _Record:
    """What is known of the process of one target.

    Attributes:
        url: Its base URL.
        started_by_ms: Time at which it had started at the latest.
        allowed_at_ms: Time at which its last exclusion may have ended; 0 if
            none did.
        is_excluded: Whether operators exclude it.
        sent_ms: Times of the last requests within the window.
    """

    __slots__ = (
        "allowed_at_ms",
        "is_excluded",
        "sent_ms",
        "started_by_ms",
        "url",
    )

    def __init__(self, url: str, *, is_excluded: bool) -> None:
        self.url = url
        self.is_excluded = is_excluded
        self.started_by_ms = 0
        self.allowed_at_ms = 0
        self.sent_ms: collections.deque[int] = collections.deque()
