"""Recovers ledgers after the store has returned from an older copy.

Such a store has lost the latest grants, so that it would grant these rights
again. Each instance writes back what it knows: its own totals, and the newest
ledgers that it has seen, which hold the totals of instances that are gone. This
module does no I/O.

For `RECOVERY_MS`, no rights are drawn, so that what instances recover one after
the other does not have to be told from new grants.
"""

from __future__ import annotations

from collections.abc import Iterable
import functools

import msgspec

from bambooglade.rights import ledger as ledger_lib
from bambooglade.store import store_api

RECOVERY_MS = 2_000
"""Time in which all instances that reach the store write back what they know.

They notice the new era with their next call, within about half a second, and
write a few times in case of conflicts.
"""


class LedgerRecovery:
    """Ledgers of the era before that are not recovered yet.

    Examples:
        >>> recovery = LedgerRecovery()
        >>> known = ledger_lib.Ledger().with_grant("a/1", 70)
        >>> copy = ledger_lib.Ledger().with_grant("a/1", 40)
        >>> seen = store_api.Item("bambooglade/rights/t",
        ...     ledger_lib.encode(known), 9)
        >>> recovery.begin_era(5, seen_by_team={"t": seen}, teams=(), now_ms=0)
        >>> recovery.recover("t", copy, revision=4).total_tokens
        70
    """

    __slots__ = ("_ends_at_ms", "_era", "_known_by_team", "_others_end_at_ms")

    def __init__(self) -> None:
        self._era = 0
        self._ends_at_ms = 0
        self._others_end_at_ms = 0
        self._known_by_team: dict[str, store_api.Item | None] = {}

    def record_first_era(self, era: int, *, now_ms: int) -> None:
        """Records the era in which this instance has started; idempotent.

        It can't know for how long the era has lasted.

        Args:
            era: The era; 0 if the store states none.
            now_ms: Current time.
        """
        if era and not self._era:
            self._era = era
            self._others_end_at_ms = now_ms + RECOVERY_MS

    def is_unconfirmed(
        self, ledger: ledger_lib.Ledger, *, revision: int, now_ms: int
    ) -> bool:
        """Returns whether others may still write back what a ledger lacks.

        That is the case soon after the start, if no rights were drawn in this
        era yet. The ledger of a team that has just been created is taken as it
        is.

        Args:
            ledger: The ledger in the store.
            revision: Its revision; 0 if the store has none.
            now_ms: Current time.
        """
        is_unchanged = ledger.era < self._era or ledger.recovered_revision > 0
        is_early = now_ms < self._others_end_at_ms
        return is_early and is_unchanged and revision > 0

    def begin_era(
        self,
        era: int,
        *,
        seen_by_team: dict[str, store_api.Item],
        teams: Iterable[str],
        now_ms: int,
    ) -> None:
        """Begins to recover what was known in the era before.

        Args:
            era: The new era.
            seen_by_team: Newest ledger of each team that was seen.
            teams: Teams of which this instance holds rights.
            now_ms: Current time.
        """
        self._era = era
        self._ends_at_ms = now_ms + RECOVERY_MS
        unrecovered = self._known_by_team
        self._known_by_team = dict.fromkeys((*teams, *unrecovered))
        self._known_by_team.update(seen_by_team)
        for team, item in unrecovered.items():
            if item is not None:
                # Its revision is of an era that can't be compared any more.
                self._known_by_team[team] = store_api.Item(
                    item.key, item.value, 0
                )

    def may_draw(self, team: str, *, now_ms: int) -> bool:
        """Returns whether rights of a team may be drawn."""
        return now_ms >= self._ends_at_ms and team not in self._known_by_team

    @property
    def pending_teams(self) -> list[str]:
        """Teams whose ledgers are not recovered yet."""
        return list(self._known_by_team)

    def record_recovered(self, team: str) -> None:
        """Records that the ledger in the store holds what was known."""
        self._known_by_team.pop(team, None)

    def recover(
        self, team: str, ledger: ledger_lib.Ledger, *, revision: int
    ) -> ledger_lib.Ledger:
        """Returns the ledger with what the store has lost.

        Args:
            team: Name of the team.
            ledger: The ledger in the store.
            revision: Its revision; 0 if the store has none.
        """
        item = self._known_by_team.get(team)
        if item is None:
            return ledger
        try:
            known = ledger_lib.decode(item.value)
        except ledger_lib.MalformedLedgerError:
            return ledger
        is_unchanged = ledger.era < self._era or ledger.recovered_revision > 0
        copied_revision = (
            revision if ledger.era < self._era else ledger.recovered_revision
        )
        if not is_unchanged or not item.revision:
            return _merge(ledger, known, holders=known.holders)
        if item.revision <= copied_revision:
            return ledger
        # The known ledger is a later state of the one in the store: holders
        # that it lacks have been closed.
        later = _merge(known, ledger, holders=known.holders)
        return msgspec.structs.replace(
            later,
            closed_tokens=known.closed_tokens,
            era=self._era,
            recovered_revision=item.revision,
        )

    def __repr__(self) -> str:
        return f"LedgerRecovery(pending={len(self._known_by_team)})"


def _merge(
    base: ledger_lib.Ledger, other: ledger_lib.Ledger, *, holders: list[str]
) -> ledger_lib.Ledger:
    """Returns the base with at least the totals that the other ledger has."""
    closed_tokens = max(base.closed_tokens, other.closed_tokens)
    return functools.reduce(
        lambda merged, holder: merged.with_totals(
            holder,
            granted_tokens=other.granted_by_holder.get(holder, 0),
            returned_tokens=other.returned_by_holder.get(holder, 0),
        ),
        holders,
        msgspec.structs.replace(base, closed_tokens=closed_tokens),
    )
