"""Commands on prepaid budgets."""

from __future__ import annotations

from bambooglade.router import operator_messages as messages
from bambooglade_ctl import deferred
from bambooglade_ctl.commands import group


class Budgets(group.Group):
    """Show, top up and release prepaid budgets."""

    def show(self, budget: str) -> deferred.Deferred:
        """Shows a budget and its distribution over the zones.

        Example: bamboogladectl budgets show hall-3

        Args:
            budget: A team name, or the key of a row with a spend limit.
        """
        budget_id = budget_id_of(budget)
        return self._defer(
            lambda operator_client: operator_client.describe_budget(budget_id)
        )

    def top_up(
        self, budget: str, tokens: str, *, edit_id: str = ""
    ) -> deferred.Deferred:
        """Adds to the prepaid amount of a budget.

        Example: bamboogladectl budgets top-up hall-3 50000

        Args:
            budget: A team name, or the key of a row with a spend limit.
            tokens: Amount to add, in tokens.
            edit_id: Id of a top-up whose response was lost; it is applied only
                once.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda operator_client: group.parse_positive(
                tokens, name="TOKENS"
            ).and_then(
                lambda amount: operator_client.top_up(
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
        """Returns rights held by lost instances to the budget.

        The held amount is what lost instances may have spent without reporting
        it. Release only tokens that were certainly not spent.

        Example: bamboogladectl budgets release hall-3 scot-a 1200

        Args:
            budget: A team name, or the key of a row with a spend limit.
            zone: Availability zone that holds the rights.
            tokens: Amount to release, in tokens.
            edit_id: Id of a release whose response was lost; it is applied only
                once.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda operator_client: group.parse_positive(
                tokens, name="TOKENS"
            ).and_then(
                lambda amount: operator_client.release_held(
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
    """Returns the budget id for a team name or a row key.

    Examples:
        >>> budget_id_of("hall-3"), budget_id_of("limit/*/pantry-llm/*")
        ('team/hall-3', 'limit/*/pantry-llm/*')
    """
    return budget if "/" in budget else f"team/{budget}"
