"""Ledger of the rights granted from a team's budget.

The store holds one ledger per team. Its total never exceeds what the team
prepaid. Instances that spend only what the ledger grants them therefore cannot
overspend the budget together, whatever else fails. This module does no I/O.
"""

from __future__ import annotations

import msgspec

from bambooglade.core import json_documents

KEY_PREFIX = "bambooglade/rights/"


class MalformedLedgerError(ValueError):
    """A stored ledger could not be decoded; no rights are drawn from it."""


class Ledger(msgspec.Struct, frozen=True):
    """Rights granted from one budget, in tokens.

    Attributes:
        closed_tokens: Tokens used by holders that were closed.
        granted_by_holder: Total granted to each open holder. A holder is one
            process of an instance, `instance@address/incarnation`.
        returned_by_holder: Total returned by each open holder.
        era: Era of the store in which the ledger was written.
        recovered_revision: Revision in the era before that the ledger was
            recovered from; 0 if it was changed in this era since.

    Examples:
        >>> ledger = Ledger().with_grant("a/1", 40).with_grant("b/1", 10)
        >>> ledger.total_tokens
        50
        >>> ledger.with_holder_closed("a/1", used_tokens=15).total_tokens
        25
        >>> ledger.with_returned_total("a/1", total_tokens=30).total_tokens
        20
    """

    closed_tokens: int = 0
    granted_by_holder: dict[str, int] = {}
    returned_by_holder: dict[str, int] = {}
    era: int = 0
    recovered_revision: int = 0

    @property
    def total_tokens(self) -> int:
        """Tokens that are used or held, and cannot be granted again."""
        return self.closed_tokens + sum(map(self.held_tokens, self.holders))

    @property
    def holders(self) -> list[str]:
        """Open holders with a grant."""
        return list(self.granted_by_holder)

    def held_tokens(self, holder: str) -> int:
        """Returns the tokens that a holder was granted and did not return."""
        granted = self.granted_by_holder.get(holder, 0)
        return granted - self.returned_by_holder.get(holder, 0)

    def with_grant(self, holder: str, tokens: int) -> Ledger:
        """Returns the ledger with additional tokens granted to a holder."""
        granted = dict(self.granted_by_holder)
        granted[holder] = granted.get(holder, 0) + tokens
        return msgspec.structs.replace(self, granted_by_holder=granted)

    def with_returned_total(self, holder: str, *, total_tokens: int) -> Ledger:
        """Returns the ledger with the total that a holder has returned.

        Each write repeats the total rather than adding an amount, so that
        writes are idempotent: a lost response or a duplicate write has no
        effect.
        """
        if not total_tokens:
            return self
        returned = dict(self.returned_by_holder)
        returned[holder] = max(total_tokens, returned.get(holder, 0))
        return msgspec.structs.replace(self, returned_by_holder=returned)

    def with_holder_closed(self, holder: str, *, used_tokens: int) -> Ledger:
        """Returns the ledger with a holder closed and its unused rights free.

        Args:
            holder: The holder, which spends nothing from now on.
            used_tokens: Tokens that the holder used; negative if it borrowed
                more from peers than it used itself.
        """
        granted = dict(self.granted_by_holder)
        granted.pop(holder, None)
        returned = dict(self.returned_by_holder)
        returned.pop(holder, None)
        return msgspec.structs.replace(
            self,
            closed_tokens=self.closed_tokens + used_tokens,
            granted_by_holder=granted,
            returned_by_holder=returned,
        )

    def with_totals(
        self, holder: str, *, granted_tokens: int, returned_tokens: int
    ) -> Ledger:
        """Returns the ledger with at least these totals of a holder."""
        granted = dict(self.granted_by_holder)
        granted[holder] = max(granted.get(holder, 0), granted_tokens)
        return msgspec.structs.replace(
            self, granted_by_holder=granted
        ).with_returned_total(holder, total_tokens=returned_tokens)

    def holders_at(self, instance_address: str) -> list[str]:
        """Returns the holders of an instance: current and earlier processes.

        Args:
            instance_address: `instance@address`.
        """
        prefix = instance_address + "/"
        return [h for h in self.holders if h.startswith(prefix)]


def key_of(team: str) -> str:
    """Returns the key of a team's ledger in the store."""
    return KEY_PREFIX + team


def team_of(key: str) -> str:
    """Returns the team that a ledger's key belongs to."""
    return key.removeprefix(KEY_PREFIX)


def encode(ledger: Ledger) -> bytes:
    """Encodes a ledger for the store."""
    return msgspec.json.encode(ledger)


def decode(value: bytes | None) -> Ledger:
    """Decodes a stored ledger; None gives an empty ledger.

    Raises:
        MalformedLedgerError: The value is not an encoded ledger.
    """
    if value is None:
        return Ledger()
    try:
        return json_documents.decode(value, Ledger)
    except msgspec.DecodeError as error:
        raise MalformedLedgerError(
            f"malformed ledger: {error}; restore its last valid value"
        ) from error
