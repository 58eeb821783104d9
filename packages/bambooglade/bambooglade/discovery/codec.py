"""Port for decoding items of the store; a platform adapter implements it."""

from __future__ import annotations

from typing import Protocol

from bambooglade.discovery import targets
from bambooglade.gateway import configuration


class ItemCodec(Protocol):
    """Decodes the items that operators and targets write to the store.

    Attributes:
        configuration_key: Key of the configuration.
        operator_prefix: Key prefix of all that operators write, with the
            configuration.
        evacuation_prefix: Key prefix of the zones that are evacuated.
        target_prefix: Key prefix of the target entries.
    """

    configuration_key: str
    operator_prefix: str
    evacuation_prefix: str
    target_prefix: str

    def decode_configuration(self, value: bytes) -> configuration.Configuration:
        """Decodes a configuration.

        Raises:
            ValueError: The value is malformed.
        """
        ...

    def decode_evacuated_zone(self, key: str) -> str:
        """Returns the availability zone that a key evacuates.

        Raises:
            ValueError: The key names no zone.
        """
        ...

    def decode_target(self, key: str, value: bytes) -> targets.RegisteredTarget:
        """Decodes a target entry.

        Raises:
            ValueError: The entry is malformed.
        """
        ...
