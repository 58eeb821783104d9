"""Factory of the account registries."""

from __future__ import annotations

from bambooglade.budgets import account_registry
from bambooglade.budgets import inspection
from bambooglade.budgets import messages
from bambooglade.budgets import records
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import view as fleet_view
from bambooglade.shards import assignments
from bambooglade.table import view


class AccountRegistryFactory:
    """Implements `shards.registry.RegistryFactory` for accounts.

    Args:
        assignment_map: Finds the primaries of the other zones.
        table: The operators' rows.
        zone_count: Number of availability zones of the deployment.
        fleet: Reports suspected entry instances; None to suspect none of them.
    """

    __slots__ = ("_assignments", "_fleet", "_table", "_zone_count")

    name = "accounts"
    message_types = (
        messages.Reserve,
        messages.Reduce,
        messages.Settle,
        messages.RecallRights,
        messages.RecallAnswered,
        inspection.DescribeAccount,
        inspection.ReleaseHeld,
    )
    record_type = records.AccountRecord | records.ReservationRecord

    def __init__(
        self,
        *,
        assignment_map: assignments.AssignmentMap,
        table: view.TableView,
        zone_count: int,
        fleet: fleet_view.FleetView | None = None,
    ) -> None:
        self._assignments = assignment_map
        self._table = table
        self._zone_count = zone_count
        self._fleet = fleet

    def shard_key(self, message: effects.Message) -> str:
        """Returns the budget id of a message."""
        return message.budget_id

    def create(
        self, zone_shard: assignments.ZoneShard
    ) -> account_registry.AccountRegistry:
        """Creates the empty registry of a shard in a zone."""
        return account_registry.AccountRegistry(
            zone_shard=zone_shard,
            assignment_map=self._assignments,
            table=self._table,
            zone_count=self._zone_count,
            fleet=self._fleet,
        )

    def misdirected_response(
        self,
        message: effects.Message,
        primary: identifiers.InstanceId | None,
    ) -> effects.Message | None:
        """Returns the response of an instance that is not the primary."""
        if isinstance(message, messages.Reserve):
            return messages.ReserveRefused(
                reservation_id=message.reservation_id,
                budget_id=message.budget_id,
                bound_tokens=message.bound_tokens,
                reason=messages.RefusalReason.NOT_PRIMARY,
                detail="This instance is not the primary of the account.",
                primary=primary,
            )
        if isinstance(
            message, inspection.DescribeAccount | inspection.ReleaseHeld
        ):
            return inspection.InquiryMisdirected(
                question_id=message.question_id, primary=primary
            )
        if isinstance(message, messages.Settle):
            return messages.SettleMisdirected(
                reservation_id=message.reservation_id,
                budget_id=message.budget_id,
                epoch=message.epoch,
                sequence=message.sequence,
                primary=primary,
            )
        return None

    def __repr__(self) -> str:
        return f"AccountRegistryFactory(zone_count={self._zone_count})"
