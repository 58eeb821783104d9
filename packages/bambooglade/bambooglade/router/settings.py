"""Settings of one instance, read from a TOML file.

See Also:
    bambooglade.router.settings_reader: reads and validates the file.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

Port = Annotated[
    int, msgspec.Meta(ge=0, le=65_535, description="a port from 0 to 65535")
]
PositiveMs = Annotated[
    int, msgspec.Meta(ge=1, description="a duration of 1 ms or more")
]
MemoryMb = Annotated[
    float, msgspec.Meta(ge=64, description="a number of MB of 64 or more")
]
PositiveInt = Annotated[
    int, msgspec.Meta(ge=1, description="a whole number of 1 or more")
]
Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9.-]*$",
        description="a name of letters, digits, dots and hyphens",
    ),
]
Address = Annotated[
    str, msgspec.Meta(description='an IP address such as "127.0.0.1"')
]
Url = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^https?://.+",
        description='a URL such as "http://127.0.0.1:9000"',
    ),
]
PeerAddress = Annotated[
    str,
    msgspec.Meta(description='an address such as "127.0.0.1:8080"'),
]


class Secret:
    """A secret text whose `repr` does not contain it.

    Examples:
        >>> Secret("correct horse")
        Secret(hidden)
        >>> Secret("correct horse").reveal()
        'correct horse'
    """

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> str:
        """Returns the secret text; never log it."""
        return self._text

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Secret) and self._text == other._text

    def __hash__(self) -> int:
        return hash(self._text)

    def __repr__(self) -> str:
        return "Secret(hidden)"


class InstanceSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Identity of this instance, and addresses for discovery.

    Attributes:
        name: Name of the instance in the platform's list.
        availability_zone: Zone that the instance runs in.
        host: IP address to listen on, which other instances connect to.
        port: TCP port; 0 lets the operating system choose one.
        seeds: `ip:port` of the instances to contact first.
        arbiter_zones: Availability zones that decide on request keys; must be
            the same list, in any order, on every instance.
        shard_count: Number of shards; must be the same on every instance and
            must never change.
        table_page_count: Number of pages of the operators' table; must be the
            same on every instance and must never change.
    """

    name: Name
    availability_zone: Name
    host: Address
    port: Port
    arbiter_zones: tuple[Name, ...]
    seeds: tuple[PeerAddress, ...] = ()
    shard_count: PositiveInt = 64
    table_page_count: PositiveInt = 16


class PlatformSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """URLs of the platform's services, and limits on calls to them.

    Attributes:
        key_value_url: The key-value service.
        instance_list_url: The list of instances and targets; None to use none.
        weight_store_url: The store of capacity weights; None to use none.
        reads_per_s: Maximum number of read calls per second.
        writes_per_s: Maximum number of write calls per second.
    """

    key_value_url: Url | None = None
    instance_list_url: Url | None = None
    weight_store_url: Url | None = None
    reads_per_s: PositiveInt = 100
    writes_per_s: PositiveInt = 30


class SecuritySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Signing keys and TLS certificates.

    Attributes:
        shared_key: Key that signs messages between instances.
        previous_shared_key: Key before the last rotation, which is still
            accepted.
        bootstrap_operator_key_hash: Argon2 hash of the secret half of the key
            of the operator `bootstrap`, who is an admin.
        certificate_file: PEM certificate; TLS is enabled if it is set.
        key_file: PEM key of the certificate.
        ca_file: PEM certificates of the authorities that verify the
            certificates of the other instances.
    """

    shared_key: Secret
    previous_shared_key: Secret | None = None
    bootstrap_operator_key_hash: str | None = None
    certificate_file: str | None = None
    key_file: str | None = None
    ca_file: str | None = None

    @property
    def uses_tls(self) -> bool:
        """Whether connections from callers and instances use TLS."""
        return self.certificate_file is not None


class LimitSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits on the requests to one instance.

    Attributes:
        max_header_bytes: Maximum total size of the headers of a request.
        max_body_bytes: Maximum size of the body of a request.
        max_connections: Maximum number of open connections.
        request_threads: Maximum number of requests in progress, including
            those that wait for a slot of their kind. The default equals
            `max_connections`, so that no kind of request can starve another
            of threads.
        slow_client_timeout_ms: Time that a caller may take to send a request,
            or to receive the next part of a response.
        default_deadline_ms: Deadline of requests that specify none.
        max_deadline_ms: Latest deadline that a request may specify.
        key_retention_ms: How long request keys and their responses are kept.
        drain_bound_ms: Maximum duration of a planned stop.
        trace_capacity: Number of requests whose decisions are kept.
        memory_mb: Memory that the process may take. A part of it is the limit
            of the bytes that it holds for clients.
    """

    max_header_bytes: PositiveInt = 16_384
    max_body_bytes: PositiveInt = 1_048_576
    max_connections: PositiveInt = 512
    request_threads: PositiveInt = 512
    slow_client_timeout_ms: PositiveMs = 10_000
    default_deadline_ms: PositiveMs = 30_000
    max_deadline_ms: PositiveMs = 600_000
    key_retention_ms: PositiveMs = 86_400_000
    drain_bound_ms: PositiveMs = 120_000
    trace_capacity: PositiveInt = 1_000
    memory_mb: MemoryMb = 300.0


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All settings of one instance; each attribute is a section of the file.

    See Also:
        bambooglade.router.settings_reader.load: reads settings from a file.
    """

    instance: InstanceSettings
    security: SecuritySettings
    platform: PlatformSettings = PlatformSettings()
    limits: LimitSettings = LimitSettings()
