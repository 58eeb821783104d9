"""Port for decoding items of the store; a platform adapter implements it."""

from __future__ import annotations

from typing import Protocol

from bambooglade.discovery import targets
from bambooglade.gateway import configuration


class ItemCodec(Protocol):
    """Decodes the items that operators and targets write to the store.

    Attributes:
        configuration_key: Key of the configuration.
        target_prefix: Key prefix of the target entries.
    """

    configuration_key: str
    target_prefix: str

    def decode_configuration(self, value: bytes) -> configuration.Configuration:
        """Decodes a configuration.

        Raises:
            ValueError: The value is malformed.
        """
        ...

    def decode_target(self, key: str, value: bytes) -> targets.RegisteredTarget:
        """Decodes a target entry.

        Raises:
            ValueError: The entry is malformed.
        """
        ...
