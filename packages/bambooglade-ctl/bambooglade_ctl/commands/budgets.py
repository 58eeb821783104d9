"""Commands on prepaid budgets."""

from __future__ import annotations

from bambooglade.router import operator_messages as messages
from bambooglade_ctl import deferred
from bambooglade_ctl.commands import group


class Budgets(group.Group):
    """Show, top up and release prepaid budgets."""

    def show(self, budget: str) -> deferred.Deferred:
        """Shows a budget, and which zone holds how much of it.

        Example: bamboogladectl budgets show hall-3

        Args:
            budget: A team, or the key of a row with a spend limit.
        """
        budget_id = budget_id_of(budget)
        return self._defer(lambda ctl: ctl.describe_budget(budget_id))

    def top_up(
        self, budget: str, tokens: str, *, edit_id: str = ""
    ) -> deferred.Deferred:
        """Adds to the prepaid amount of a budget.

        Example: bamboogladectl budgets top-up hall-3 50000

        Args:
            budget: A team, or the key of a row with a spend limit.
            tokens: Amount to add, in tokens.
            edit_id: Id of a top-up whose answer was lost; it is added once.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda ctl: group.positive(tokens, name="TOKENS").and_then(
                lambda amount: ctl.top_up(
                    messages.TopUpBudget(
                        edit_id=edit_id,
                        budget_id=budget_id_of(budget),
                        tokens=amount,
                    )
                )
            )
        )

    def release(
        self, budget: str, zone: str, tokens: str, *, edit_id: str = ""
    ) -> deferred.Deferred:
        """Gives rights that a lost instance held back to the budget.

        Release only what is known not to have been spent: the held amount is
        what lost instances may have spent without reporting it.

        Example: bamboogladectl budgets release hall-3 scot-a 1200

        Args:
            budget: A team, or the key of a row with a spend limit.
            zone: Availability zone that holds the rights.
            tokens: Amount to release, in tokens.
            edit_id: Id of a release whose answer was lost; it is done once.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda ctl: group.positive(tokens, name="TOKENS").and_then(
                lambda amount: ctl.release_held(
                    messages.ReleaseHeld(
                        edit_id=edit_id,
                        budget_id=budget_id_of(budget),
                        availability_zone=zone,
                        tokens=amount,
                    )
                )
            )
        )


def budget_id_of(budget: str) -> str:
    """Returns the budget id of a team's name, or of a row's key.

    Examples:
        >>> budget_id_of("hall-3"), budget_id_of("limit/*/pantry-llm/*")
        ('team/hall-3', 'limit/*/pantry-llm/*')
    """
    return budget if "/" in budget else f"team/{budget}"
