"""Creates the claim books of an instance, and routes messages to them."""

from __future__ import annotations

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import claim_book
from bambooglade.operations import claim_record
from bambooglade.operations import messages
from bambooglade.operations import retention as retention_module
from bambooglade.shards import assignments


class ClaimBookFactory:
    """Makes one claim book for each place that the instance serves.

    Args:
        retention: How long records are kept.

    Examples:
        >>> factory = ClaimBookFactory(retention=retention_module.Retention())
        >>> factory.name
        'claims'

    See Also:
        bambooglade.shards.registry.RegistryFactory: what the host asks of it.
    """

    name = "claims"
    message_types = messages.TO_ARBITER
    record_type = claim_record.ClaimRecord

    def __init__(self, *, retention: retention_module.Retention) -> None:
        self._retention = retention

    def shard_key(self, message: effects.Message) -> str:
        """Returns the idempotency key of the message."""
        return message.key

    def create(self, place: assignments.ZoneShard) -> claim_book.ClaimBook:
        """Creates the empty book of a place."""
        del place
        return claim_book.ClaimBook(retention=self._retention)

    def misdirected_response(
        self,
        message: effects.Message,
        primary: identifiers.InstanceId | None,
    ) -> effects.Message | None:
        """Returns the answer of an instance that is not the primary."""
        return messages.ArbiterMisdirected(key=message.key, primary=primary)

    def __repr__(self) -> str:
        return f"ClaimBookFactory(retention={self._retention!r})"
