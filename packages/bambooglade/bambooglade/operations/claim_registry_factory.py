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
    """Creates a claim registry for each zone shard that the instance serves.

    Args:
        retention: Retention periods of the records.

    Examples:
        >>> retention = retention_module.Retention()
        >>> factory = ClaimRegistryFactory(retention=retention)
        >>> factory.name
        'claims'

    See Also:
        bambooglade.shards.registry.RegistryFactory: the factory protocol.
    """

    name = "claims"
    message_types = messages.TO_ARBITER
    record_type = claim_record.ClaimRecord

    def __init__(self, *, retention: retention_module.Retention) -> None:
        self._retention = retention

    def shard_key(self, message: effects.Message) -> str:
        """Returns the idempotency key of the message."""
        return message.key

    def create(
        self, zone_shard: assignments.ZoneShard
    ) -> claim_registry.ClaimRegistry:
        """Returns the empty registry of a shard in an availability zone."""
        del zone_shard
        return claim_registry.ClaimRegistry(retention=self._retention)

    def misdirected_response(
        self,
        message: effects.Message,
        primary: identifiers.InstanceId | None,
    ) -> effects.Message | None:
        """Returns the response of an instance that is not the primary."""
        return messages.ArbiterMisdirected(key=message.key, primary=primary)

    def __repr__(self) -> str:
        return f"ClaimRegistryFactory(retention={self._retention!r})"
