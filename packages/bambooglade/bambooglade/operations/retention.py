"""Retention periods of claims, and the keys that may still be run."""

from __future__ import annotations

import msgspec

from bambooglade.core import identifiers
from bambooglade.operations import messages

HOUR_MS = 3_600_000


class KeyRejection(msgspec.Struct, frozen=True, kw_only=True):
    """Reason for which a key without a record must not be run."""

    reason: messages.ClaimRefusal
    detail: str


class Retention(msgspec.Struct, frozen=True, kw_only=True):
    """Retention periods of claims.

    The key of a call that is not safe to repeat contains its creation time
    (UUIDv7). Such a key expires before its record may be evicted, so that an
    eviction never allows a second run.

    Attributes:
        non_repeatable_ms: Lifetime of keys of calls that are not safe to
            repeat.
        repeatable_ms: Longest time from the start of a repeatable call to a
            report that is still billed; its record is kept twice as long.
        response_ms: How long responses of repeatable calls are stored.
        max_clock_skew_ms: Largest difference assumed between clocks.

    Examples:
        >>> Retention().key_rejection(
        ...     identifiers.RequestKey("order-17"), now_ms=0,
        ...     history_lost_at_ms=None).reason
        <ClaimRefusal.KEY_WITHOUT_AGE: 'key_without_age'>
    """

    non_repeatable_ms: int = 24 * HOUR_MS
    repeatable_ms: int = HOUR_MS
    response_ms: int = 300_000
    max_clock_skew_ms: int = 10_000

    def key_rejection(
        self,
        key: identifiers.RequestKey,
        *,
        now_ms: int,
        history_lost_at_ms: int | None,
    ) -> KeyRejection | None:
        """Returns why a key without a record must not be run, or None.

        Args:
            key: Key of a call that is not safe to repeat.
            now_ms: Current time; milliseconds since the epoch.
            history_lost_at_ms: When the records were last lost; None if never.
        """
        created_at_ms = identifiers.created_at_ms(key)
        if created_at_ms is None:
            return KeyRejection(
                reason=messages.ClaimRefusal.KEY_WITHOUT_AGE,
                detail=f"Key {key} is not a UUIDv7.",
            )
        if created_at_ms > now_ms + self.max_clock_skew_ms:
            return KeyRejection(
                reason=messages.ClaimRefusal.KEY_WITHOUT_AGE,
                detail=(
                    f"Key {key} was created {created_at_ms - now_ms} ms in "
                    "the future."
                ),
            )
        if created_at_ms < now_ms - self.non_repeatable_ms:
            return KeyRejection(
                reason=messages.ClaimRefusal.KEY_EXPIRED,
                detail=f"Key {key} is older than {self.non_repeatable_ms} ms.",
            )
        if self.may_predate_loss(created_at_ms, history_lost_at_ms):
            return KeyRejection(
                reason=messages.ClaimRefusal.HISTORY_LOST,
                detail=(
                    f"Key {key} may have run before the records of its shard "
                    f"were lost at {history_lost_at_ms} ms."
                ),
            )
        return None

    def may_predate_loss(
        self, time_ms: int | None, history_lost_at_ms: int | None
    ) -> bool:
        """Returns whether a key may have been created before records were lost.

        The clock skew counts twice: once for the clock of the caller, and once
        between the clocks of the two primaries.
        """
        return (
            history_lost_at_ms is not None
            and time_ms is not None
            and time_ms <= history_lost_at_ms + 2 * self.max_clock_skew_ms
        )

    def evict_at_ms(
        self, key: identifiers.RequestKey, *, repeatable: bool, now_ms: int
    ) -> int:
        """Returns when a record that changes at `now_ms` may be evicted."""
        if repeatable:
            return now_ms + 2 * self.repeatable_ms
        created_at_ms = identifiers.created_at_ms(key) or now_ms
        return max(
            created_at_ms + self.non_repeatable_ms + 2 * self.max_clock_skew_ms,
            now_ms + self.repeatable_ms,
        )
