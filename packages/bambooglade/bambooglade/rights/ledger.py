"""The record of what a team's budget was handed out to; pure.

One record a team lies in the store. Its total never exceeds what the team
prepaid, so that instances that spend only what the record grants them can't
overspend together, whatever else fails.
"""

from __future__ import annotations

import msgspec

KEY_PREFIX = "bambooglade/rights/"


class MalformedLedgerError(ValueError):
    """The record can't be read; no rights are taken from it."""


class Ledger(msgspec.Struct, frozen=True):
    """Rights that were handed out of one budget, in tokens.

    Attributes:
        closed_tokens: What holders that are gone have used.
        granted_by_holder: Rights that running holders got in all, by
            `place/incarnation`.
        returned_by_holder: Rights that running holders gave back in all.

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

    @property
    def total_tokens(self) -> int:
        """Rights that can't be handed out any more."""
        return self.closed_tokens + sum(map(self.held_by, self.holders))

    @property
    def holders(self) -> list[str]:
        """Holders that were granted something."""
        return list(self.granted_by_holder)

    def held_by(self, holder: str) -> int:
        """Returns what a holder was granted and did not give back."""
        granted = self.granted_by_holder.get(holder, 0)
        return granted - self.returned_by_holder.get(holder, 0)

    def with_grant(self, holder: str, tokens: int) -> Ledger:
        """Returns the ledger with this much more granted to a holder."""
        granted = dict(self.granted_by_holder)
        granted[holder] = granted.get(holder, 0) + tokens
        return msgspec.structs.replace(self, granted_by_holder=granted)

    def with_returned_total(self, holder: str, *, total_tokens: int) -> Ledger:
        """Returns the ledger with what a holder gave back in all.

        The total is repeated with each write, so that a lost answer or a write
        that is carried out twice changes nothing.
        """
        if not total_tokens:
            return self
        returned = dict(self.returned_by_holder)
        returned[holder] = max(total_tokens, returned.get(holder, 0))
        return msgspec.structs.replace(self, returned_by_holder=returned)

    def with_holder_closed(self, holder: str, *, used_tokens: int) -> Ledger:
        """Returns the ledger after a holder gave back what it did not use.

        Args:
            holder: The holder that spends nothing from now on.
            used_tokens: What it used; negative if it got more from peers than
                it used itself.
        """
        granted = dict(self.granted_by_holder)
        granted.pop(holder, None)
        returned = dict(self.returned_by_holder)
        returned.pop(holder, None)
        return Ledger(self.closed_tokens + used_tokens, granted, returned)

    def holders_at(self, place: str) -> list[str]:
        """Returns the holders of a place, this and earlier ones."""
        prefix = place + "/"
        return [h for h in self.holders if h.startswith(prefix)]


def key_of(team: str) -> str:
    """Returns the key of a team's ledger."""
    return KEY_PREFIX + team


def team_of(key: str) -> str:
    """Returns the team of a ledger's key."""
    return key.removeprefix(KEY_PREFIX)


def encode(ledger: Ledger) -> bytes:
    """Returns the stored form."""
    return msgspec.json.encode(ledger)


def decode(value: bytes | None) -> Ledger:
    """Returns the ledger; an empty one where there is none.

    Raises:
        MalformedLedgerError: The bytes are no ledger.
    """
    if value is None:
        return Ledger()
    try:
        return msgspec.json.decode(value, type=Ledger)
    except msgspec.DecodeError as error:
        raise MalformedLedgerError(
            f"{error}; restore the record from its last good value"
        ) from error
