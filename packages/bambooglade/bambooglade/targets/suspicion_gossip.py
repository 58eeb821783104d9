"""Gossip about prompts on which targets crash."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import random
import threading

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.targets import crash_suspicions

FANOUT = 2
PERIOD_MS = 500
"""Interval between two rounds of gossip."""

TRIAL_DELAYS_MS = (30_000, 300_000, 1_800_000)
"""Time from the last crash to each trial whether targets still crash.

A trial that fails costs a crash, so that the whole fleet makes only these.
"""

TRIAL_PERIOD_MS = 30_000
"""Time after which a trial is repeated that has shown nothing."""

MAX_SUSPICIONS_PER_MESSAGE = 32
ROUNDS_PER_SUSPICION = 8
"""Number of rounds in which an instance sends a suspicion that has changed.

It reaches all instances of a fleet of 360 in about log(360)/log(3) = 6 rounds.
"""


class TargetsCrashed(effects.Message, frozen=True, kw_only=True):
    """Suspicions that have changed.

    Attributes:
        suspicions: The suspicions.
    """

    suspicions: tuple[crash_suspicions.Suspicion, ...]


class SharedSuspicions:
    """Crash suspicions of an instance; thread-safe.

    Args:
        clock: Source of the current time.

    Examples:
        >>> shared = SharedSuspicions(clocks.ManualClock())
        >>> for target_id in ("e1", "e2", "e3"):
        ...     shared.record_crash(shared.target_run(target_id), "k", ["b1"])
        >>> shared.find_quarantine(["b1", "b2"])
        Quarantine(['b1'], crashes=3)
    """

    __slots__ = (
        "_clock",
        "_instance_ids",
        "_local_id",
        "_lock",
        "_rounds_left_by_id",
        "_suspicions",
        "_tried_at_ms_by_id",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._suspicions = crash_suspicions.CrashSuspicions()
        self._rounds_left_by_id: dict[str, int] = {}
        self._tried_at_ms_by_id: dict[str, int] = {}
        self._local_id = ""
        self._instance_ids: tuple[str, ...] = ("",)

    def set_instances(
        self,
        local_id: identifiers.InstanceId,
        instance_ids: Iterable[identifiers.InstanceId],
    ) -> None:
        """Sets the instances of which one makes each trial.

        Args:
            local_id: This instance.
            instance_ids: The live instances, this one among them or not.
        """
        with self._lock:
            self._local_id = local_id
            self._instance_ids = tuple({local_id, *instance_ids})

    def acquire_trial(self, quarantine: crash_suspicions.Quarantine) -> bool:
        """Returns whether a quarantined request is to be sent as a trial.

        One instance makes it; if that is gone, the next one in its place.
        """
        trial_id = quarantine.first_suspicion_id
        trials = quarantine.crash_count - crash_suspicions.CRASHES_TO_QUARANTINE
        if trials >= len(TRIAL_DELAYS_MS):
            return False
        with self._lock:
            now_ms = self._clock.now_ms()
            due_ms = quarantine.last_crash_ms + TRIAL_DELAYS_MS[max(0, trials)]
            tried_at_ms = self._tried_at_ms_by_id.get(trial_id)
            is_owner = (
                self._local_id
                == hashing.rendezvous(
                    f"{trial_id}-{trials}", self._instance_ids
                )[0]
            )
            if (
                now_ms < due_ms
                or not is_owner
                or (
                    tried_at_ms is not None
                    and now_ms - tried_at_ms < TRIAL_PERIOD_MS
                )
            ):
                return False
            self._tried_at_ms_by_id[trial_id] = now_ms
            return True

    def target_run(
        self, target_id: identifiers.TargetId
    ) -> crash_suspicions.TargetRun:
        """Returns the process to which a request is sent now."""
        with self._lock:
            return self._suspicions.target_run(target_id, 0)

    def find_quarantine(
        self, suspects: Sequence[str]
    ) -> crash_suspicions.Quarantine | None:
        """Returns a quarantine that covers a request, or None."""
        with self._lock:
            return self._suspicions.find_quarantine(suspects)

    def record_crash(
        self,
        target_run: crash_suspicions.TargetRun,
        request_id: str,
        suspects: Sequence[str],
        *,
        sent_at_ms: int | None = None,
    ) -> None:
        """Records a request that was cut off when a target crashed.

        Args:
            target_run: The process that crashed, as of the dispatch.
            request_id: Id of the attempt.
            suspects: Identity of the request, and blocks of its prompt.
            sent_at_ms: Time at which it was sent; None if it is unknown.
        """
        with self._lock:
            suspicion = self._suspicions.record_crash(
                target_run,
                request_id,
                suspects,
                now_ms=self._clock.now_ms(),
                sent_at_ms=sent_at_ms,
            )
            self._send_later([suspicion] if suspicion else [])

    def record_progress(self, request_id: str, blocks: Sequence[str]) -> None:
        """Records that a response to a prompt with these blocks goes well."""
        with self._lock:
            self._suspicions.record_progress(
                request_id, blocks, now_ms=self._clock.now_ms()
            )

    def record_success(self, suspects: Sequence[str]) -> None:
        """Clears the suspects of a request whose response was completed."""
        with self._lock:
            self._send_later(
                self._suspicions.record_success(
                    suspects, now_ms=self._clock.now_ms()
                )
            )

    def merge(self, received: Sequence[crash_suspicions.Suspicion]) -> None:
        """Merges suspicions of a peer, and passes on what was new.

        What was completed here lately is cleared.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            changed = self._suspicions.merge(received, now_ms=now_ms)
            self._send_later(changed)
            ids = [suspicion.suspicion_id for suspicion in changed]
            self._send_later(
                self._suspicions.clear_completed(ids, now_ms=now_ms)
            )

    def pop_due(self) -> tuple[crash_suspicions.Suspicion, ...]:
        """Returns the suspicions to send in this round."""
        with self._lock:
            now_ms = self._clock.now_ms()
            self._suspicions.evict_expired(now_ms=now_ms)
            self._tried_at_ms_by_id = {
                trial_id: at_ms
                for trial_id, at_ms in self._tried_at_ms_by_id.items()
                if now_ms - at_ms < TRIAL_PERIOD_MS
            }
            due = tuple(
                suspicion
                for suspicion in self._suspicions.all_suspicions()
                if suspicion.suspicion_id in self._rounds_left_by_id
            )[:MAX_SUSPICIONS_PER_MESSAGE]
            for suspicion in due:
                left = self._rounds_left_by_id[suspicion.suspicion_id] - 1
                self._rounds_left_by_id[suspicion.suspicion_id] = left
                if not left:
                    del self._rounds_left_by_id[suspicion.suspicion_id]
            if not due:
                self._rounds_left_by_id.clear()
            return due

    def _send_later(
        self, changed: Sequence[crash_suspicions.Suspicion]
    ) -> None:
        for suspicion in changed:
            self._rounds_left_by_id[suspicion.suspicion_id] = (
                ROUNDS_PER_SUSPICION
            )

    def __repr__(self) -> str:
        return f"SharedSuspicions({self._suspicions!r})"


class SuspicionGossip:
    """Component that sends changed suspicions to random peers.

    Args:
        instance_id: Id of this instance.
        availability_zones: Zones of the peers.
        fleet: View of the instances of the fleet.
        suspicions: The suspicions; shared with the dispatch.
        seed: Seed of the random choice of peers.

    See Also:
        bambooglade.targets.leaving_gossip: gossip about leaving targets.
    """

    message_types = (TargetsCrashed,)
    document_prefixes: tuple[str, ...] = ()

    __slots__ = (
        "_availability_zones",
        "_fleet",
        "_instance_id",
        "_next_round_ms",
        "_random",
        "_suspicions",
    )

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zones: tuple[identifiers.AvailabilityZone, ...],
        fleet: view.FleetView,
        suspicions: SharedSuspicions,
        seed: int,
    ) -> None:
        self._instance_id = instance_id
        self._availability_zones = availability_zones
        self._fleet = fleet
        self._suspicions = suspicions
        self._random = random.Random(seed)
        self._next_round_ms = 0

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Merges the suspicions of another instance."""
        del sender, now_ms
        if isinstance(message, TargetsCrashed):
            self._suspicions.merge(message.suspicions)
        yield from ()

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Does nothing; this component reads no documents."""
        del answer, now_ms
        yield from ()

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Sends changed suspicions to `FANOUT` peers once per `PERIOD_MS`."""
        if now_ms < self._next_round_ms:
            return
        self._next_round_ms = now_ms + PERIOD_MS
        peers = [
            instance_id
            for zone in self._availability_zones
            for instance_id in self._fleet.live_in_zone(zone)
            if instance_id != self._instance_id
        ]
        self._suspicions.set_instances(self._instance_id, peers)
        due = self._suspicions.pop_due()
        if not due:
            return
        for peer in self._random.sample(peers, min(FANOUT, len(peers))):
            yield effects.Send(
                recipient=peer, message=TargetsCrashed(suspicions=due)
            )

    def __repr__(self) -> str:
        return f"SuspicionGossip({self._suspicions!r})"
