"""Common parts of the dispatch to model services and to plain services."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import re

import msgspec

from bambooglade.core import clock as clocks
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.router import target_directory
from bambooglade.router import trace
from bambooglade.targets import chooser
from bambooglade.targets import leaving
from bambooglade.targets import request_identity
from bambooglade.targets import suspicion_gossip
from bambooglade.targets import target as target_lib
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages

MAX_ATTEMPTS = 4
MIN_REMAINING_MS = 5
"""No attempt is started with less time than this before the deadline."""

DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
ATTEMPT_HEADER = "X-Request-Id"
LEAVING_HEADER = "x-leaving"
SOFTWARE_VERSION_HEADER = "x-software-version"
PAUSE_HEADER = "retry-after"
_OK = 200
_UNAVAILABLE = 503
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,40}(\.[0-9]{1,9})?")


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """A permitted request to be dispatched to targets.

    Attributes:
        key: Idempotency key.
        service: The service.
        request_kind: Kind of request.
        repeatable: Whether the request is safe to run more than once.
        deadline_ms: When the caller stops waiting; milliseconds since the
            epoch.
        bound_tokens: Upper bound of the cost, in tokens.
        is_caller_gone: Returns whether the caller has disconnected.
        fingerprint: Fingerprint of the call, the same for each repetition.
    """

    key: identifiers.RequestKey
    service: identifiers.ServiceName
    request_kind: str
    repeatable: bool
    deadline_ms: int
    bound_tokens: int
    is_caller_gone: Callable[[], bool]
    fingerprint: str = ""

    @property
    def identity(self) -> str:
        """What this call has in common with its repetitions."""
        return request_identity.identify(
            caller=self.fingerprint, method=b"", target=b"", body=b""
        )


class DispatchContext:
    """Chooses targets for jobs, and records the results of the attempts.

    Args:
        directory: Chooses targets by the routing policy.
        client: HTTP client for the targets.
        clock: Source of the current time.
        ring: Stores the decisions on recent requests.
        instance_id: This instance.
        suspicions: Prompts on which targets crash; None for a single instance.
    """

    __slots__ = (
        "_attempt_numbers",
        "_ring",
        "client",
        "clock",
        "directory",
        "instance_id",
        "suspicions",
    )

    def __init__(
        self,
        *,
        directory: target_directory.TargetDirectory,
        client: client_lib.HttpClient,
        clock: clocks.Clock,
        ring: trace.TraceRing,
        instance_id: identifiers.InstanceId,
        suspicions: suspicion_gossip.SharedSuspicions | None = None,
    ) -> None:
        self.suspicions = suspicions or suspicion_gossip.SharedSuspicions(clock)
        self.directory = directory
        self.client = client
        self.clock = clock
        self.instance_id = instance_id
        self._ring = ring
        self._attempt_numbers = itertools.count(1)

    def new_attempt_id(self) -> str:
        """Returns an id that is unique among the attempts of the fleet."""
        return f"{self.instance_id}-{next(self._attempt_numbers)}"

    def remaining_ms(self, job: Job) -> int:
        """Returns the time until the job's deadline; may be negative."""
        return job.deadline_ms - self.clock.now_ms()

    def choose(
        self,
        job: Job,
        *,
        blocks: tuple[str, ...],
        tried: list[identifiers.TargetId],
        software_version: str | None = None,
    ) -> target_lib.Target | None:
        """Chooses a target, preferring targets that are not in `tried`.

        When only tried targets are left, `tried` is cleared and they are
        candidates again.

        Args:
            job: The job.
            blocks: Hashes of the prompt's prefixes, for cache affinity.
            tried: Targets of earlier attempts; modified as described.
            software_version: Version that the target needs; None for any.

        Returns:
            The target, or None if no target is available.
        """
        choice = self.directory.choose(
            job.service,
            blocks=blocks,
            tried=tried,
            software_version=software_version,
        )
        if choice.target is None and tried:
            tried.clear()
            choice = self.directory.choose(
                job.service,
                blocks=blocks,
                tried=(),
                software_version=software_version,
            )
        self._record_choice(job, choice)
        return choice.target

    def record_attempt(
        self,
        job: Job,
        target: target_lib.Target,
        *,
        outcome: str,
        tokens: int = 0,
    ) -> None:
        """Records the result of an attempt.

        Args:
            job: The job.
            target: The target of the attempt.
            outcome: `whole`, or the fault.
            tokens: Number of tokens received.
        """
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

    def record_leaving_header(
        self, target: target_lib.Target, head: messages.ResponseHead
    ) -> None:
        """Records that a target is leaving if its response headers say so."""
        if head.header(LEAVING_HEADER):
            self.directory.record_leaving(
                target.target_id, target.url, leaving.Source.TARGET
            )

    def record_pause_header(
        self, target: target_lib.Target, head: messages.ResponseHead
    ) -> None:
        """Records a pause that a target requests when it rejects a request."""
        value = head.header(PAUSE_HEADER).strip()
        if head.status == _UNAVAILABLE and _DECIMAL_NUMBER.fullmatch(value):
            self.directory.record_pause(target, float(value))

    def retry_after_ms(self, job: Job, default_ms: int) -> int:
        """Returns when to retry a job for which there is no target.

        Args:
            job: The job.
            default_ms: Returned unless all targets are paused for longer.
        """
        return max(default_ms, self.directory.pause_ms(job.service))

    def record_software_version(
        self, target: target_lib.Target, head: messages.ResponseHead
    ) -> str:
        """Records and returns the software version in the response headers.

        It is empty if the target states none. Refusals, which may come from in
        front of the target, are not recorded.
        """
        version = head.header(SOFTWARE_VERSION_HEADER)
        if head.status != _OK:
            return version
        self.directory.record_software_version(target.target_id, version)
        return version

    def attempt_headers(
        self, job: Job, attempt_id: str, remaining_ms: int
    ) -> tuple[messages.Header, ...]:
        """Returns the headers with key, attempt id and remaining time."""
        return (
            messages.Header(KEY_HEADER, job.key),
            messages.Header(ATTEMPT_HEADER, attempt_id),
            messages.Header(DEADLINE_HEADER, str(remaining_ms)),
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
        return f"DispatchContext(instance_id={self.instance_id!r})"


def is_response_to(head: messages.ResponseHead, attempt_id: str) -> bool:
    """Returns whether a response belongs to an attempt.

    One without an id may be a late copy of an earlier response, unless nothing
    came on its connection before.
    """
    echoed = head.header(ATTEMPT_HEADER.lower())
    return echoed == attempt_id or (not echoed and head.is_first_on_connection)


def dispatch_failure(
    detail: str, *, may_have_run: bool, retry_after_ms: int | None = None
) -> failures.Failure:
    """Returns the failure of a job that no target completed.

    Args:
        detail: Reason of the failure.
        may_have_run: Whether any byte of the request may have reached a target.
        retry_after_ms: When the caller should retry, if that may help.
    """
    if may_have_run:
        return failures.OutcomeUnknown(
            detail=detail, retry_after_ms=retry_after_ms
        )
    return failures.NoTarget(detail=detail, retry_after_ms=retry_after_ms)
