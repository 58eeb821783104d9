"""Finds the request or the prompt part on which targets crash; without I/O.

When a target crashes, it cuts off every request that it runs, and all of these
but one are innocent. Each is suspected as a whole, by its identity, and for the
parts of its prompt if its response had begun. A suspect is cleared by a
response that was completed with it. What several crashes have in common is
quarantined; of several such suspects, that which the fewest requests had
explains the crashes, and the others are not blamed for them.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from bambooglade.core import hashing
from bambooglade.targets import request_identity

CRASHES_TO_QUARANTINE = 3
"""Crashes of two or more targets after which a suspect is quarantined.

Two may coincide by chance, for instance when a request is in flight at two
targets that are lost one after the other. Crashes count if each request was
sent after the crash before: targets of a zone that are lost together had been
sent theirs before the first one was lost.
"""

CRASHES_OF_ONE_TARGET = 5
"""Crashes after which a part is quarantined if all are of one target.

That target may be the only one, or may itself be faulty.
"""

CLEARED_MS = 15_000
"""Time for which a completed response clears the parts of its prompt.

It outlasts the usual restart of all targets of a service, so that the parts
that most prompts share stay cleared meanwhile.
"""

RETENTION_MS = 6 * 3_600_000
"""Time for which a suspicion is kept after the crash."""

MAX_SUSPICIONS = 1_024
"""Most suspicions that are kept; the oldest are dropped.

A target with 64 slots that crashes makes up to 64.
"""

MAX_CLEARED_REQUESTS = 16_384
"""Most whole requests whose last completed response is remembered.

At 1,000 different ones a second this covers `CLEARED_MS`.
"""

MAX_CLEARED_PARTS = 8_192
"""Most parts whose last completed response is remembered."""

MAX_TARGET_RUNS = 1_024
"""Most target runs whose crashes are counted."""

MAX_PARTS = 16
"""Most parts of a suspicion; callers choose how many their prompts have."""

MAX_PART_CHARS = 64
"""Length to which the ids of parts are cut; callers choose them."""

_MASK = (1 << 64) - 1


class TargetRun(msgspec.Struct, frozen=True, array_like=True):
    """A process of a target between two crashes.

    Attributes:
        target_id: Id of the target; successive processes may share it.
        started_at_ms: Start time that the target registered.
        crash_count: Crashes of it that the sender of a request knew of. After
            a crash, the start time may be outdated for some seconds.
    """

    target_id: str
    started_at_ms: int
    crash_count: int = 0


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A request that a target had begun to answer when it crashed.

    Attributes:
        suspicion_id: Id, the same on all instances.
        target_run: The process that crashed.
        crashed_at_ms: Time of the crash, by the clock of the instance that saw
            it.
        parts: Suspects: the identity of the request and parts of its prompt,
            one of which may have caused the crash; empty once all are cleared.
            Suspects are only ever removed, so that instances that know
            different removals agree after exchanging them.
        sent_at_ms: Time at which the request was sent to the target; None in
            suspicions of the former version, which do not state it.
    """

    suspicion_id: str
    target_run: TargetRun
    crashed_at_ms: int
    parts: tuple[str, ...]
    sent_at_ms: int | None = None

    @property
    def began_at_ms(self) -> int:
        """Time at which the request was sent, or of the crash if unknown."""
        if self.sent_at_ms is None:
            return self.crashed_at_ms
        return self.sent_at_ms


class Quarantine:
    """Suspects that no request may combine.

    Attributes:
        parts: The suspects. There are several if no crash told them apart.
        crash_count: Number of crashes.
        first_suspicion_id: Id of the oldest suspicion; identifies the
            quarantine also when its parts become fewer.
        last_crash_ms: Time of the last crash.
    """

    __slots__ = (
        "crash_count",
        "first_suspicion_id",
        "last_crash_ms",
        "parts",
    )

    def __init__(
        self, parts: frozenset[str], evidence: Sequence[Suspicion]
    ) -> None:
        oldest = min(evidence, key=lambda s: (s.crashed_at_ms, s.suspicion_id))
        self.parts = parts
        self.crash_count = len({s.target_run for s in evidence})
        self.first_suspicion_id = oldest.suspicion_id
        self.last_crash_ms = max(s.crashed_at_ms for s in evidence)

    @property
    def is_of_request(self) -> bool:
        """Whether a request as a whole is quarantined."""
        return any(p.startswith(request_identity.PREFIX) for p in self.parts)

    def __repr__(self) -> str:
        return f"Quarantine({sorted(self.parts)}, crashes={self.crash_count})"


class CrashSuspicions:
    """Suspicions of an instance, which it exchanges with the others.

    Attributes:
        digest: Changes with the suspicions; equal for equal suspicions.
        quarantines: Parts that are quarantined now.

    See Also:
        bambooglade.gateway.prompt_quarantine: shares them within the fleet.

    Examples:
        >>> suspicions = CrashSuspicions()
        >>> for target in ("e1", "e2", "e3"):
        ...     _ = suspicions.record_crash(TargetRun(target, 7),
        ...         f"request at {target}", ["a1", "5b"], now_ms=0)
        >>> _ = suspicions.record_success(["a1", "c2"], now_ms=1)
        >>> suspicions.find_quarantine(["a1", "5b", "d7"])
        Quarantine(['5b'], crashes=3)
        >>> suspicions.find_quarantine(["a1", "c2"])
    """

    __slots__ = (
        "_cleared_at_ms_by_part",
        "_cleared_at_ms_by_request",
        "_conclusive_parts",
        "_crash_count_by_run",
        "_dropped_ids",
        "_ids_by_part",
        "_progress_by_part",
        "_suspicion_by_id",
        "digest",
        "quarantines",
    )

    def __init__(self) -> None:
        self._suspicion_by_id: collections.OrderedDict[str, Suspicion] = (
            collections.OrderedDict()
        )
        self._cleared_at_ms_by_part: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cleared_at_ms_by_request: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._progress_by_part: collections.OrderedDict[
            str, tuple[str, int]
        ] = collections.OrderedDict()
        self._crash_count_by_run: collections.OrderedDict[
            tuple[str, int], int
        ] = collections.OrderedDict()
        self._dropped_ids: list[str] = []
        self._ids_by_part: dict[str, set[str]] = {}
        self._conclusive_parts: set[str] = set()
        self.digest = 0
        self.quarantines: list[Quarantine] = []

    def target_run(self, target_id: str, started_at_ms: int) -> TargetRun:
        """Returns the process to which a request is sent now.

        Args:
            target_id: Id of the target.
            started_at_ms: Start time that it registered.
        """
        crashes = self._crash_count_by_run.get((target_id, started_at_ms), 0)
        return TargetRun(target_id, started_at_ms, crashes)

    def record_crash(
        self,
        target_run: TargetRun,
        request_id: str,
        parts: Iterable[str],
        *,
        now_ms: int,
        sent_at_ms: int | None = None,
    ) -> Suspicion | None:
        """Records a request that was cut off when a target crashed.

        Args:
            target_run: The process that crashed, as of the dispatch.
            request_id: Id of the request.
            parts: Its suspects: its identity, and parts of its prompt that
                other requests may share.
            now_ms: The current time in ms.
            sent_at_ms: Time at which it was sent to the target; None if it is
                unknown.

        Returns:
            The suspicion; None if all suspects were completed recently.
        """
        uncleared = [
            part
            for part in _bounded(parts)
            if not self._was_completed_recently(part, now_ms)
            and not self._makes_progress(part, request_id, now_ms)
        ]
        if not uncleared:
            self._count_crash(target_run)
            return None
        hashed = hashing.stable_hash(f"{target_run} {request_id}")
        suspicion = Suspicion(
            suspicion_id=f"{hashed:016x}",
            target_run=target_run,
            crashed_at_ms=now_ms,
            parts=tuple(uncleared),
            sent_at_ms=sent_at_ms,
        )
        self.merge([suspicion], now_ms=now_ms)
        return suspicion

    def _count_crash(self, target_run: TargetRun) -> None:
        """Counts a crash once, whatever number of requests it cut off."""
        run = target_run.target_id, target_run.started_at_ms
        if self._crash_count_by_run.get(run, 0) <= target_run.crash_count:
            self._crash_count_by_run[run] = target_run.crash_count + 1
            self._crash_count_by_run.move_to_end(run)
        if len(self._crash_count_by_run) > MAX_TARGET_RUNS:
            self._crash_count_by_run.popitem(last=False)

    def record_progress(
        self, request_id: str, parts: Iterable[str], *, now_ms: int
    ) -> None:
        """Records that a response with these parts is well under way.

        Other requests with them are not suspected for it at this instance. It
        does not clear the parts, as a target may also crash later.
        """
        for part in _bounded(parts):
            self._progress_by_part[part] = request_id, now_ms
            self._progress_by_part.move_to_end(part)
        while len(self._progress_by_part) > MAX_CLEARED_PARTS:
            self._progress_by_part.popitem(last=False)

    def _makes_progress(self, part: str, request_id: str, now_ms: int) -> bool:
        """Returns whether another request with a part went well recently."""
        progressing_id, at_ms = self._progress_by_part.get(part, ("", 0))
        if progressing_id == request_id:
            del self._progress_by_part[part]
            return False
        return bool(progressing_id) and now_ms - at_ms <= CLEARED_MS

    def record_success(
        self, parts: Iterable[str], *, now_ms: int
    ) -> list[Suspicion]:
        """Clears the suspects of a request whose response was completed.

        Returns:
            The suspicions that changed.
        """
        completed = set(_bounded(parts))
        for part in completed:
            cleared, limit = self._cleared(part)
            cleared[part] = now_ms
            cleared.move_to_end(part)
            if len(cleared) > limit:
                cleared.popitem(last=False)
        suspected_ids = set().union(
            *(self._ids_by_part.get(part, ()) for part in completed)
        )
        if not suspected_ids:
            return []
        return self.merge(
            [
                msgspec.structs.replace(
                    suspicion,
                    parts=tuple(
                        p for p in suspicion.parts if p not in completed
                    ),
                )
                for suspicion_id in suspected_ids
                if (suspicion := self._suspicion_by_id[suspicion_id])
            ],
            now_ms=now_ms,
        )

    def merge(
        self, suspicions: Iterable[Suspicion], *, now_ms: int
    ) -> list[Suspicion]:
        """Merges suspicions of other instances.

        Returns:
            The suspicions that were new or lost parts.
        """
        changed = list(self._merge_each(suspicions, now_ms))
        while len(self._suspicion_by_id) > MAX_SUSPICIONS:
            dropped_id, dropped = self._suspicion_by_id.popitem(last=False)
            self._dropped_ids.append(dropped_id)
            self._record_change(dropped, None)
        if changed:
            self.quarantines = list(self._find_quarantines())
        return changed

    def clear_completed(
        self, suspicion_ids: Iterable[str], *, now_ms: int
    ) -> list[Suspicion]:
        """Clears suspects of received suspicions that were completed here.

        The instance that saw the crash may not have known of these responses.

        Returns:
            The suspicions that changed.
        """
        known = [
            self._suspicion_by_id[suspicion_id]
            for suspicion_id in suspicion_ids
            if suspicion_id in self._suspicion_by_id
        ]
        return self.merge(
            [
                msgspec.structs.replace(
                    suspicion,
                    parts=tuple(
                        part
                        for part in suspicion.parts
                        if not self._was_completed_recently(part, now_ms)
                    ),
                )
                for suspicion in known
            ],
            now_ms=now_ms,
        )

    def corroborated(self, suspicion_ids: Iterable[str]) -> set[str]:
        """Returns those of which a suspect was at two crashes or more."""
        return {
            suspicion_id
            for suspicion_id in suspicion_ids
            if (suspicion := self._suspicion_by_id.get(suspicion_id))
            and any(
                self._suspicion_by_id[other_id].target_run
                != suspicion.target_run
                for part in suspicion.parts
                for other_id in self._ids_by_part[part]
            )
        }

    def pop_dropped_ids(self) -> list[str]:
        """Returns the ids of suspicions dropped since the last call."""
        dropped, self._dropped_ids = self._dropped_ids, []
        return dropped

    def _merge_each(
        self, suspicions: Iterable[Suspicion], now_ms: int
    ) -> Iterator[Suspicion]:
        for received in suspicions:
            if now_ms - received.crashed_at_ms > RETENTION_MS:
                continue
            known = self._suspicion_by_id.get(received.suspicion_id)
            merged = received
            if known is not None:
                merged = msgspec.structs.replace(
                    known,
                    parts=tuple(p for p in known.parts if p in received.parts),
                )
            self._count_crash(received.target_run)
            if merged != known:
                self._suspicion_by_id[merged.suspicion_id] = merged
                self._record_change(known, merged)
                yield merged

    def find_quarantine(self, parts: Iterable[str]) -> Quarantine | None:
        """Returns a quarantine that covers a prompt, or None.

        Args:
            parts: Parts of the prompt that other requests may share.
        """
        if not self.quarantines:
            return None
        found = set(_bounded(parts))
        return next((q for q in self.quarantines if q.parts <= found), None)

    def all_suspicions(self) -> list[Suspicion]:
        """Returns all suspicions, also those without any parts left."""
        return list(self._suspicion_by_id.values())

    def evict_expired(self, *, now_ms: int) -> list[Suspicion]:
        """Evicts and returns the suspicions whose retention time is over."""
        expired = [
            suspicion
            for suspicion in self._suspicion_by_id.values()
            if now_ms - suspicion.crashed_at_ms > RETENTION_MS
        ]
        for suspicion in expired:
            del self._suspicion_by_id[suspicion.suspicion_id]
            self._record_change(suspicion, None)
        if expired:
            self.quarantines = list(self._find_quarantines())
        return expired

    def _cleared(
        self, part: str
    ) -> tuple[collections.OrderedDict[str, int], int]:
        """Returns where a suspect is recorded as cleared, and the limit."""
        if part.startswith(request_identity.PREFIX):
            return self._cleared_at_ms_by_request, MAX_CLEARED_REQUESTS
        return self._cleared_at_ms_by_part, MAX_CLEARED_PARTS

    def _was_completed_recently(self, part: str, now_ms: int) -> bool:
        cleared, _ = self._cleared(part)
        completed_at_ms = cleared.get(part)
        return (
            completed_at_ms is not None
            and now_ms - completed_at_ms <= CLEARED_MS
        )

    def _record_change(
        self, before: Suspicion | None, after: Suspicion | None
    ) -> None:
        """Updates the digest, and what is known of the suspects that changed.

        Only these are examined: a crash at full load makes dozens of
        suspicions, each of which would otherwise go through all others.
        """
        self.digest = (self.digest + _hash(after) - _hash(before)) & _MASK
        suspicion_id = (before or after).suspicion_id
        old = set(before.parts) if before is not None else set()
        new = set(after.parts) if after is not None else set()
        for part in old - new:
            ids = self._ids_by_part[part]
            ids.discard(suspicion_id)
            if not ids:
                del self._ids_by_part[part]
        for part in new - old:
            self._ids_by_part.setdefault(part, set()).add(suspicion_id)
        for part in new - old - self._conclusive_parts:
            if _is_conclusive(self._evidence(part)):
                self._conclusive_parts.add(part)
        for part in self._conclusive_parts & (old - new):
            if not _is_conclusive(self._evidence(part)):
                self._conclusive_parts.discard(part)

    def _evidence(self, part: str) -> list[Suspicion]:
        ids = self._ids_by_part.get(part, ())
        return [
            self._suspicion_by_id[i] for i in ids if i in self._suspicion_by_id
        ]

    def _find_quarantines(self) -> Iterator[Quarantine]:
        evidence_by_part = {
            part: self._evidence(part) for part in self._conclusive_parts
        }
        explained: set[TargetRun] = set()
        for part in sorted(
            evidence_by_part,
            key=lambda part: (_specificity(evidence_by_part[part]), part),
        ):
            evidence = evidence_by_part[part]
            unexplained = [s for s in evidence if s.target_run not in explained]
            if not _is_conclusive(unexplained):
                continue
            explained.update(s.target_run for s in evidence)
            ids = self._ids_by_part[part]
            yield Quarantine(
                frozenset(
                    other
                    for other in evidence[0].parts
                    if self._ids_by_part[other] == ids
                ),
                evidence,
            )

    def __repr__(self) -> str:
        return (
            f"CrashSuspicions(count={len(self._suspicion_by_id)},"
            f" quarantines={self.quarantines})"
        )


def _hash(suspicion: Suspicion | None) -> int:
    if suspicion is None:
        return 0
    return hashing.stable_hash(
        f"{suspicion.suspicion_id} {sorted(suspicion.parts)}"
    )


def _specificity(evidence: Sequence[Suspicion]) -> tuple[float, int]:
    """Returns a key that sorts the likeliest cause of the crashes first.

    The cause was in one request at each crash, or in few; a suspect that many
    requests have is present at each crash for that reason alone.
    """
    crashes = len({suspicion.target_run for suspicion in evidence})
    return len(evidence) / crashes, -crashes


def _is_conclusive(evidence: Sequence[Suspicion]) -> bool:
    if len(evidence) < CRASHES_TO_QUARANTINE:
        return False
    targets = {suspicion.target_run.target_id for suspicion in evidence}
    needed = (
        CRASHES_TO_QUARANTINE if len(targets) > 1 else CRASHES_OF_ONE_TARGET
    )
    return (
        len(evidence) >= needed
        and _count_successive_crashes(evidence) >= needed
    )


def _count_successive_crashes(evidence: Sequence[Suspicion]) -> int:
    """Returns the most crashes whose requests were sent one after the other."""
    count, ended_at_ms = 0, None
    runs: set[TargetRun] = set()
    for suspicion in sorted(evidence, key=lambda s: s.crashed_at_ms):
        is_successive = (
            ended_at_ms is None or suspicion.began_at_ms >= ended_at_ms
        )
        if is_successive and suspicion.target_run not in runs:
            runs.add(suspicion.target_run)
            count, ended_at_ms = count + 1, suspicion.crashed_at_ms
    return count


def _bounded(parts: Iterable[str]) -> list[str]:
    return [part[:MAX_PART_CHARS] for part in list(parts)[:MAX_PARTS]]
