"""Budget of retries, so that retries never multiply an overload."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.2
MAX_RETRY_BALANCE = 20.0


class RetryBudget:
    """Each request earns a share of a retry; each retry costs one.

    Args:
        per_request: What a request earns.
        maximum: What may be saved up; it is full at the start.

    Examples:
        >>> budget = RetryBudget(per_request=0.5, maximum=1.0)
        >>> budget.try_withdraw(), budget.try_withdraw()
        (True, False)
        >>> budget.deposit()
        >>> budget.deposit()
        >>> budget.try_withdraw()
        True
    """

    __slots__ = ("_maximum", "_per_request", "_saved")

    def __init__(
        self,
        *,
        per_request: float = RETRIES_PER_REQUEST,
        maximum: float = MAX_RETRY_BALANCE,
    ) -> None:
        self._per_request = per_request
        self._maximum = maximum
        self._saved = maximum

    def deposit(self) -> None:
        """Notes a first attempt."""
        self._saved = min(self._maximum, self._saved + self._per_request)

    def try_withdraw(self) -> bool:
        """Returns whether a retry is allowed, and pays for it."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def __repr__(self) -> str:
        return f"RetryBudget(saved={self._saved:.1f})"
