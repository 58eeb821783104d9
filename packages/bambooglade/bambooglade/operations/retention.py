"""How long keys are remembered, and which keys may still be run."""

from __future__ import annotations

import msgspec

from bambooglade.core import identifiers
from bambooglade.operations import messages

HOUR_MS = 3_600_000


class Objection(msgspec.Struct, frozen=True, kw_only=True):
    """Why a key that is not on record must not be run."""

    reason: messages.ClaimRefusal
    detail: str


class Retention(msgspec.Struct, frozen=True, kw_only=True):
    """How long claims are kept; a key outlives its record never.

    A key that may not be repeated tells its age (UUIDv7). It is refused before
    its record may be evicted, so that eviction never allows a second run.

    Attributes:
        non_repeatable_ms: For keys of calls that may not be repeated.
        repeatable_ms: How old a report of a repeatable call may be to be
            billed; its record is kept twice as long.
        answer_ms: How long answers of repeatable calls are kept.
        skew_ms: How far clocks of callers and instances may lie apart.

    Examples:
        >>> Retention().objection(
        ...     identifiers.RequestKey("order-17"), now_ms=0,
        ...     history_lost_at_ms=None).reason
        <ClaimRefusal.KEY_WITHOUT_AGE: 'key_without_age'>
    """

    non_repeatable_ms: int = 24 * HOUR_MS
    repeatable_ms: int = HOUR_MS
    answer_ms: int = 300_000
    skew_ms: int = 10_000

    def objection(
        self,
        key: identifiers.RequestKey,
        *,
        now_ms: int,
        history_lost_at_ms: int | None,
    ) -> Objection | None:
        """Returns why a key that is not on record must not be run, or None.

        Args:
            key: Key of a call that may not be repeated.
            now_ms: The time.
            history_lost_at_ms: When the records were last lost.
        """
        created_at_ms = identifiers.created_at_ms(key)
        if created_at_ms is None:
            return Objection(
                reason=messages.ClaimRefusal.KEY_WITHOUT_AGE,
                detail=f"Key {key} is not a UUIDv7.",
            )
        if created_at_ms > now_ms + self.skew_ms:
            return Objection(
                reason=messages.ClaimRefusal.KEY_WITHOUT_AGE,
                detail=(
                    f"Key {key} was made {created_at_ms - now_ms} ms in the "
                    "future."
                ),
            )
        if created_at_ms < now_ms - self.non_repeatable_ms:
            return Objection(
                reason=messages.ClaimRefusal.KEY_EXPIRED,
                detail=f"Key {key} is older than {self.non_repeatable_ms} ms.",
            )
        if self.may_precede(created_at_ms, history_lost_at_ms):
            return Objection(
                reason=messages.ClaimRefusal.HISTORY_LOST,
                detail=(
                    f"Key {key} may have run before the records of its shard "
                    f"were lost at {history_lost_at_ms} ms."
                ),
            )
        return None

    def may_precede(
        self, time_ms: int | None, history_lost_at_ms: int | None
    ) -> bool:
        """Returns whether a key may have been made before records were lost.

        The margin counts twice: for the clock of the caller and for the clocks
        of the two primaries.
        """
        return (
            history_lost_at_ms is not None
            and time_ms is not None
            and time_ms <= history_lost_at_ms + 2 * self.skew_ms
        )

    def evict_at_ms(
        self, key: identifiers.RequestKey, *, repeatable: bool, now_ms: int
    ) -> int:
        """Returns when the record of a key that changes now may be evicted."""
        if repeatable:
            return now_ms + 2 * self.repeatable_ms
        created_at_ms = identifiers.created_at_ms(key) or now_ms
        return max(
            created_at_ms + self.non_repeatable_ms + 2 * self.skew_ms,
            now_ms + self.repeatable_ms,
        )
