"""How items of the store are decoded; implemented by an adapter."""

from __future__ import annotations

from typing import Protocol

from bambooglade.discovery import targets
from bambooglade.gateway import configuration


class ItemCodec(Protocol):
    """Decodes what operators and targets write to the store.

    Attributes:
        configuration_key: Key of the newest configuration.
        target_prefix: Prefix of the entries of targets.
    """

    configuration_key: str
    target_prefix: str

    def decode_configuration(self, value: bytes) -> configuration.Configuration:
        """Returns the configuration; raises ValueError if it is malformed."""
        ...

    def decode_target(self, key: str, value: bytes) -> targets.RegisteredTarget:
        """Returns the target; raises ValueError if it is malformed."""
        ...
