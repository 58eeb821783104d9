"""Retry budget, which prevents retries from amplifying an overload."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.2
MAX_RETRY_BALANCE = 20.0


class RetryBudget:
    """Limits retries to a fraction of the requests.

    Each request deposits a fraction of a retry, and each retry withdraws one.

    Args:
        deposit_per_request: Retries that a request deposits.
        max_balance: Upper bound of the balance, and its initial value.

    Examples:
        >>> budget = RetryBudget(deposit_per_request=0.5, max_balance=1.0)
        >>> budget.try_withdraw(), budget.try_withdraw()
        (True, False)
        >>> budget.deposit()
        >>> budget.deposit()
        >>> budget.try_withdraw()
        True
    """

    __slots__ = ("_balance", "_deposit_per_request", "_max_balance")

    def __init__(
        self,
        *,
        deposit_per_request: float = RETRIES_PER_REQUEST,
        max_balance: float = MAX_RETRY_BALANCE,
    ) -> None:
        self._deposit_per_request = deposit_per_request
        self._max_balance = max_balance
        self._balance = max_balance

    def deposit(self) -> None:
        """Makes the deposit for the first attempt of a request."""
        self._balance = min(
            self._max_balance, self._balance + self._deposit_per_request
        )

    def try_withdraw(self) -> bool:
        """Withdraws one retry; returns False if the balance is too low."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def __repr__(self) -> str:
        return f"RetryBudget(balance={self._balance:.1f})"
