"""What the dispatches of model and plain services share."""

from __future__ import annotations

from collections.abc import Callable
import itertools

import msgspec

from bambooglade.core import clock as clocks
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.router import target_directory
from bambooglade.router import trace
from bambooglade.targets import chooser
from bambooglade.targets import leaving
from bambooglade.targets import target as target_lib
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages

MAX_ATTEMPTS = 4
MIN_TIME_LEFT_MS = 5
"""Time before the deadline under which nothing is sent any more."""

DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "X-Request-Id"
LEAVING_HEADER = "x-leaving"


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """A permitted request that is to be run at targets.

    Attributes:
        key: Idempotency key.
        service: The service.
        request_kind: Kind of request.
        repeatable: Whether running it twice does no harm.
        deadline_ms: When the caller gives up; milliseconds since the epoch.
        bound_tokens: Upper bound of the cost.
        gone: Tells whether the caller went away.
    """

    key: identifiers.RequestKey
    service: identifiers.ServiceName
    request_kind: str
    repeatable: bool
    deadline_ms: int
    bound_tokens: int
    gone: Callable[[], bool]


class Courier:
    """Chooses targets for a job, and records what became of the attempts.

    Args:
        directory: The routing policy.
        client: Sends the requests.
        clock: The clock.
        ring: Takes the decisions, for explanations.
        instance_id: The own instance.
    """

    __slots__ = (
        "_numbers",
        "_ring",
        "client",
        "clock",
        "directory",
        "instance_id",
    )

    def __init__(
        self,
        *,
        directory: target_directory.TargetDirectory,
        client: client_lib.HttpClient,
        clock: clocks.Clock,
        ring: trace.TraceRing,
        instance_id: identifiers.InstanceId,
    ) -> None:
        self.directory = directory
        self.client = client
        self.clock = clock
        self.instance_id = instance_id
        self._ring = ring
        self._numbers = itertools.count(1)

    def new_attempt_id(self) -> str:
        """Returns an id that no other attempt of the fleet has."""
        return f"{self.instance_id}-{next(self._numbers)}"

    def time_left_ms(self, job: Job) -> int:
        """Returns the time until the job's deadline; may be negative."""
        return job.deadline_ms - self.clock.now_ms()

    def choose(
        self,
        job: Job,
        *,
        blocks: tuple[str, ...],
        tried: list[identifiers.TargetId],
    ) -> target_lib.Target | None:
        """Chooses a target; those that were tried come last."""
        choice = self.directory.choose(job.service, blocks=blocks, tried=tried)
        if choice.target is None and tried:
            tried.clear()
            choice = self.directory.choose(job.service, blocks=blocks, tried=())
        self._record_choice(job, choice)
        return choice.target

    def answered(
        self,
        job: Job,
        target: target_lib.Target,
        *,
        outcome: str,
        tokens: int = 0,
    ) -> None:
        """Records how an attempt ended."""
        self._ring.record(
            job.key,
            trace.TargetAnswered(
                at_ms=self.clock.now_ms(),
                instance_id=self.instance_id,
                target_id=target.target_id,
                outcome=outcome,
                tokens=tokens,
            ),
        )

    def look_at_head(
        self, target: target_lib.Target, head: messages.ResponseHead
    ) -> None:
        """Takes a sign of leaving from the headers of an answer."""
        if head.header(LEAVING_HEADER):
            self.directory.record_leaving(
                target.target_id, target.url, leaving.Source.TARGET
            )

    def headers(
        self, job: Job, attempt_id: str, left_ms: int
    ) -> tuple[messages.Header, ...]:
        """Returns the headers that carry key, attempt and deadline on."""
        return (
            messages.Header(KEY_HEADER, job.key),
            messages.Header(ATTEMPT_HEADER, attempt_id),
            messages.Header(DEADLINE_HEADER, str(left_ms)),
        )

    def _record_choice(self, job: Job, choice: chooser.Choice) -> None:
        target_id = choice.target.target_id if choice.target else None
        scores = tuple(
            trace.TargetScore(
                target_id=score.target_id,
                score=score.score,
                reason=score.reason,
            )
            for score in choice.scores
        )
        self._ring.record(
            job.key,
            trace.TargetChosen(
                at_ms=self.clock.now_ms(),
                instance_id=self.instance_id,
                target_id=target_id,
                scores=scores,
            ),
        )

    def __repr__(self) -> str:
        return f"Courier(instance_id={self.instance_id!r})"


def given_up(
    detail: str, *, may_have_run: bool, retry_after_ms: int | None = None
) -> failures.Failure:
    """Returns the failure of a job that no target finished.

    Args:
        detail: Why.
        may_have_run: Whether a byte may have reached a target.
        retry_after_ms: When to come back.
    """
    if may_have_run:
        return failures.OutcomeUnknown(
            detail=detail, retry_after_ms=retry_after_ms
        )
    return failures.NoTarget(detail=detail, retry_after_ms=retry_after_ms)
