"""Finds the request or the prompt part on which targets crash; without I/O.

When a target crashes, it cuts off every request that it runs, and all of these
but one are innocent. Each is suspected as a whole, by its identity, and for the
parts of its prompt if its response had begun. A suspect is cleared by a
response that was completed with it. What several crashes have in common is
quarantined; of several such suspects, that which the fewest requests had
explains the crashes, and those that many more had are not blamed for them.
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
"""Crashes after which a suspect is quarantined if all are of one target.

That target may be the only one, or may itself be faulty.
"""

CLEARED_MS = 15_000
"""Time for which a completed response clears its suspects.

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

MAX_SPREAD = 1.5
"""Factor up to which a suspect may be in more requests of a crash than another
one that explains it, and is blamed too.

Several causes may be in flight at each crash.
"""

MAX_SUSPECTS = 16
"""Most suspects of a suspicion; callers choose how many parts prompts have."""

MAX_SUSPECT_CHARS = 64
"""Length to which suspects are cut; callers choose the ids of parts."""

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
        suspects: The identity of the request and parts of its prompt,
            one of which may have caused the crash; empty once all are cleared.
            Suspects are only ever removed, so that instances that know
            different removals agree after exchanging them.
        sent_at_ms: Time at which the request was sent to the target; None in
            suspicions of the former version, which do not state it.
    """

    suspicion_id: str
    target_run: TargetRun
    crashed_at_ms: int
    suspects: tuple[str, ...]
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
        suspects: What is quarantined; several if no crash told them apart.
        crash_count: Number of crashes.
        first_suspicion_id: Id of the oldest suspicion; identifies the
            quarantine also when its suspects become fewer.
        last_crash_ms: Time of the last crash.
    """

    __slots__ = (
        "crash_count",
        "first_suspicion_id",
        "last_crash_ms",
        "suspects",
    )

    def __init__(
        self, suspects: frozenset[str], evidence: Sequence[Suspicion]
    ) -> None:
        oldest = min(evidence, key=lambda s: (s.crashed_at_ms, s.suspicion_id))
        self.suspects = suspects
        self.crash_count = len({s.target_run for s in evidence})
        self.first_suspicion_id = oldest.suspicion_id
        self.last_crash_ms = max(s.crashed_at_ms for s in evidence)

    @property
    def is_of_request(self) -> bool:
        """Whether a request as a whole is quarantined."""
        return any(p.startswith(request_identity.PREFIX) for p in self.suspects)

    def __repr__(self) -> str:
        return (
            f"Quarantine({sorted(self.suspects)}, crashes={self.crash_count})"
        )


class CrashSuspicions:
    """Suspicions of an instance, which it exchanges with the others.

    Attributes:
        digest: Changes with the suspicions; equal for equal suspicions.
        quarantines: Parts that are quarantined now.

    See Also:
        bambooglade.gateway.request_quarantine: shares them within the fleet.

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
        "_conclusive_suspects",
        "_crash_count_by_run",
        "_dropped_ids",
        "_ids_by_suspect",
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
        self._ids_by_suspect: dict[str, set[str]] = {}
        self._conclusive_suspects: set[str] = set()
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
        suspects: Iterable[str],
        *,
        now_ms: int,
        sent_at_ms: int | None = None,
    ) -> Suspicion | None:
        """Records a request that was cut off when a target crashed.

        Args:
            target_run: The process that crashed, as of the dispatch.
            request_id: Id of the request.
            suspects: Its identity, and parts of its prompt that other requests
                may share.
            now_ms: The current time in ms.
            sent_at_ms: Time at which it was sent to the target; None if it is
                unknown.

        Returns:
            The suspicion; None if all suspects were completed recently.
        """
        uncleared = [
            suspect
            for suspect in _bounded(suspects)
            if not self._was_completed_recently(suspect, now_ms)
            and not self._makes_progress(suspect, request_id, now_ms)
        ]
        if not uncleared:
            self._count_crash(target_run)
            return None
        hashed = hashing.stable_hash(f"{target_run} {request_id}")
        suspicion = Suspicion(
            suspicion_id=f"{hashed:016x}",
            target_run=target_run,
            crashed_at_ms=now_ms,
            suspects=tuple(uncleared),
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
        self, request_id: str, suspects: Iterable[str], *, now_ms: int
    ) -> None:
        """Records that a response with these parts is well under way.

        Other requests with them are not suspected for it at this instance. It
        does not clear the parts, as a target may also crash later.
        """
        for suspect in _bounded(suspects):
            self._progress_by_part[suspect] = request_id, now_ms
            self._progress_by_part.move_to_end(suspect)
        while len(self._progress_by_part) > MAX_CLEARED_PARTS:
            self._progress_by_part.popitem(last=False)

    def _makes_progress(
        self, suspect: str, request_id: str, now_ms: int
    ) -> bool:
        """Returns whether another request with a part went well recently."""
        progressing_id, at_ms = self._progress_by_part.get(suspect, ("", 0))
        if progressing_id == request_id:
            del self._progress_by_part[suspect]
            return False
        return bool(progressing_id) and now_ms - at_ms <= CLEARED_MS

    def record_success(
        self, suspects: Iterable[str], *, now_ms: int
    ) -> list[Suspicion]:
        """Clears the suspects of a request whose response was completed.

        Returns:
            The suspicions that changed.
        """
        completed = set(_bounded(suspects))
        for suspect in completed:
            cleared, limit = self._cleared(suspect)
            cleared[suspect] = now_ms
            cleared.move_to_end(suspect)
            if len(cleared) > limit:
                cleared.popitem(last=False)
        suspected_ids = set().union(
            *(self._ids_by_suspect.get(suspect, ()) for suspect in completed)
        )
        if not suspected_ids:
            return []
        return self.merge(
            [
                msgspec.structs.replace(
                    suspicion,
                    suspects=tuple(
                        p for p in suspicion.suspects if p not in completed
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
            The suspicions that were new or lost suspects.
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
                    suspects=tuple(
                        suspect
                        for suspect in suspicion.suspects
                        if not self._was_completed_recently(suspect, now_ms)
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
                for suspect in suspicion.suspects
                for other_id in self._ids_by_suspect[suspect]
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
                    suspects=tuple(
                        p for p in known.suspects if p in received.suspects
                    ),
                )
            self._count_crash(received.target_run)
            if merged != known:
                self._suspicion_by_id[merged.suspicion_id] = merged
                self._record_change(known, merged)
                yield merged

    def find_quarantine(self, suspects: Iterable[str]) -> Quarantine | None:
        """Returns a quarantine that covers a prompt, or None.

        Args:
            suspects: Identity of the request, and parts of its prompt that
                other requests may share.
        """
        if not self.quarantines:
            return None
        found = set(_bounded(suspects))
        return next((q for q in self.quarantines if q.suspects <= found), None)

    def all_suspicions(self) -> list[Suspicion]:
        """Returns all suspicions, also those without any suspects left."""
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
        self, suspect: str
    ) -> tuple[collections.OrderedDict[str, int], int]:
        """Returns where a suspect is recorded as cleared, and the limit."""
        if suspect.startswith(request_identity.PREFIX):
            return self._cleared_at_ms_by_request, MAX_CLEARED_REQUESTS
        return self._cleared_at_ms_by_part, MAX_CLEARED_PARTS

    def _was_completed_recently(self, suspect: str, now_ms: int) -> bool:
        cleared, _ = self._cleared(suspect)
        completed_at_ms = cleared.get(suspect)
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
        old = set(before.suspects) if before is not None else set()
        new = set(after.suspects) if after is not None else set()
        for suspect in old - new:
            ids = self._ids_by_suspect[suspect]
            ids.discard(suspicion_id)
            if not ids:
                del self._ids_by_suspect[suspect]
        for suspect in new - old:
            self._ids_by_suspect.setdefault(suspect, set()).add(suspicion_id)
        for suspect in new - old - self._conclusive_suspects:
            if _is_conclusive(self._evidence(suspect)):
                self._conclusive_suspects.add(suspect)
        for suspect in self._conclusive_suspects & (old - new):
            if not _is_conclusive(self._evidence(suspect)):
                self._conclusive_suspects.discard(suspect)

    def _evidence(self, suspect: str) -> list[Suspicion]:
        ids = self._ids_by_suspect.get(suspect, ())
        return [
            self._suspicion_by_id[i] for i in ids if i in self._suspicion_by_id
        ]

    def _find_quarantines(self) -> Iterator[Quarantine]:
        evidence_by_suspect = {
            suspect: self._evidence(suspect)
            for suspect in self._conclusive_suspects
        }
        explained: dict[TargetRun, float] = {}
        for suspect in sorted(
            evidence_by_suspect,
            key=lambda suspect: (
                _specificity(evidence_by_suspect[suspect]),
                suspect,
            ),
        ):
            evidence = evidence_by_suspect[suspect]
            requests, _ = _specificity(evidence)
            unexplained = [
                suspicion
                for suspicion in evidence
                if requests
                <= MAX_SPREAD * explained.get(suspicion.target_run, requests)
            ]
            if not _is_conclusive(unexplained):
                continue
            for suspicion in evidence:
                explained.setdefault(suspicion.target_run, requests)
            ids = self._ids_by_suspect[suspect]
            yield Quarantine(
                frozenset(
                    other
                    for other in evidence[0].suspects
                    if self._ids_by_suspect[other] == ids
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
        f"{suspicion.suspicion_id} {sorted(suspicion.suspects)}"
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


def _bounded(suspects: Iterable[str]) -> list[str]:
    return [
        suspect[:MAX_SUSPECT_CHARS] for suspect in list(suspects)[:MAX_SUSPECTS]
    ]
