"""Settings of one instance, read from a TOML file.

See Also:
    bambooglade.router.settings_reader: the checks, field by field.
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
Count = Annotated[
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
    str, msgspec.Meta(description='an IP number, for instance "127.0.0.1"')
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
    """A secret text that does not show itself when it is printed.

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
    """Who this instance is, and how it finds others.

    Attributes:
        name: Name of the instance in the platform's list.
        availability_zone: Where it runs.
        host: IP number that it listens on and that others reach it by.
        port: TCP port; 0 lets the system choose one.
        seeds: `ip:port` of instances to ask first.
        arbiter_zones: Availability zones that decide on request keys; the
            same list, in any order, on every instance.
        shard_count: Number of shards; the same on every instance, for good.
        table_page_count: Number of pages of the operators' table; the same on
            every instance, for good.
    """

    name: Name
    availability_zone: Name
    host: Address
    port: Port
    arbiter_zones: tuple[Name, ...]
    seeds: tuple[PeerAddress, ...] = ()
    shard_count: Count = 64
    table_page_count: Count = 16


class PlatformSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Where the platform's services are.

    Attributes:
        key_value_url: The key-value service.
        instance_list_url: The list of instances and targets; None for none.
        weight_store_url: The store of capacity weights; None for none.
        reads_per_s: Calls that this instance may read with, a second.
        writes_per_s: Calls that this instance may write with, a second.
    """

    key_value_url: Url | None = None
    instance_list_url: Url | None = None
    weight_store_url: Url | None = None
    reads_per_s: Count = 100
    writes_per_s: Count = 30


class SecuritySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Keys and certificates.

    Attributes:
        shared_key: Key that signs messages between instances.
        previous_shared_key: Key before the last rotation, still accepted.
        bootstrap_operator_key_hash: Argon2 hash of the secret half of the key
            of the operator `bootstrap`, who is an admin.
        certificate_file: PEM certificate; TLS is on when it is given.
        key_file: PEM key of the certificate.
        ca_file: PEM certificates that the other instances' ones are checked
            against.
    """

    shared_key: Secret
    previous_shared_key: Secret | None = None
    bootstrap_operator_key_hash: str | None = None
    certificate_file: str | None = None
    key_file: str | None = None
    ca_file: str | None = None

    @property
    def uses_tls(self) -> bool:
        """Returns whether callers and instances speak TLS."""
        return self.certificate_file is not None


class LimitSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits on what callers may ask of one instance.

    Attributes:
        max_header_bytes: Size of all headers of a request.
        max_body_bytes: Size of the body of a request.
        max_connections: Connections open at once.
        request_threads: Requests in progress at once, with those that wait
            for a slot of their kind; as many as connections by default, so
            that no kind of request takes the threads of another.
        slow_client_timeout_ms: How long a caller may take to send a request,
            or to take the next part of an answer.
        default_deadline_ms: Deadline of requests that name none.
        max_deadline_ms: Latest deadline that a request may name.
        key_retention_ms: How long request keys and their answers are kept.
        drain_bound_ms: How long a planned stop may take.
        trace_capacity: Requests whose decisions are remembered.
    """

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 1_048_576
    max_connections: Count = 512
    request_threads: Count = 512
    slow_client_timeout_ms: PositiveMs = 10_000
    default_deadline_ms: PositiveMs = 30_000
    max_deadline_ms: PositiveMs = 600_000
    key_retention_ms: PositiveMs = 86_400_000
    drain_bound_ms: PositiveMs = 120_000
    trace_capacity: Count = 1_000


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All settings of one instance; one attribute a section of the file.

    See Also:
        bambooglade.router.settings_reader.load: reads them from a file.
    """

    instance: InstanceSettings
    security: SecuritySettings
    platform: PlatformSettings = PlatformSettings()
    limits: LimitSettings = LimitSettings()
