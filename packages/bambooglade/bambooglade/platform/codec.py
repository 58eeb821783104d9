"""Codec of the values that operators and engines write to the users' store."""

from __future__ import annotations

from bambooglade.discovery import targets
from bambooglade.gateway import configuration
from bambooglade.platform import engine_entries
from bambooglade.platform import operator_configuration


class PlatformCodec:
    """Implements `bambooglade.discovery.codec.ItemCodec`."""

    __slots__ = ()

    configuration_key = operator_configuration.CONFIGURATION_KEY
    operator_prefix = operator_configuration.OPERATOR_PREFIX
    evacuation_prefix = operator_configuration.EVACUATION_PREFIX
    target_prefix = engine_entries.ENTRY_PREFIX

    def decode_configuration(self, value: bytes) -> configuration.Configuration:
        """Returns the configuration; raises ValueError if it is malformed."""
        return operator_configuration.decode(value)

    def decode_evacuated_zone(self, key: str) -> str:
        """Returns the zone; raises ValueError if the key names none."""
        return operator_configuration.evacuated_zone(key)

    def decode_target(self, key: str, value: bytes) -> targets.RegisteredTarget:
        """Returns the target; raises ValueError if it is malformed."""
        return engine_entries.decode(key, value)

    def __repr__(self) -> str:
        return "PlatformCodec()"
