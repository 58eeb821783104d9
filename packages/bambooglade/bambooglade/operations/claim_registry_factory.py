"""Factory for the claim registries of an instance."""

from __future__ import annotations

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import claim_record
from bambooglade.operations import claim_registry
from bambooglade.operations import messages
from bambooglade.operations import retention as retention_module
from bambooglade.shards import assignments


class ClaimRegistryFactory:
    """Creates a claim registry for each place that the instance serves.

    A place is a shard in an availability zone.

    Args:
        retention: Retention periods of the records.

    Examples:
        >>> retention = retention_module.Retention()
        >>> factory = ClaimRegistryFactory(retention=retention)
        >>> factory.name
        'claims'

    See Also:
        bambooglade.shards.book.BookFactory: the interface for the shard host.
    """

    name = "claims"
    message_types = messages.TO_ARBITER
    record_type = claim_record.ClaimRecord

    def __init__(self, *, retention: retention_module.Retention) -> None:
        self._retention = retention

    def shard_key(self, message: effects.Message) -> str:
        """Returns the idempotency key of the message."""
        return message.key

    def create(self, place: assignments.Place) -> claim_registry.ClaimRegistry:
        """Returns the empty registry of a place."""
        del place
        return claim_registry.ClaimRegistry(retention=self._retention)

    def misdirected(
        self,
        message: effects.Message,
        primary: identifiers.InstanceId | None,
    ) -> effects.Message | None:
        """Returns the response of an instance that is not the primary."""
        return messages.ArbiterMisdirected(key=message.key, primary=primary)

    def __repr__(self) -> str:
        return f"ClaimRegistryFactory(retention={self._retention!r})"
