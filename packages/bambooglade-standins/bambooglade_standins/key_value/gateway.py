"""Messages of the JSON gateway of etcd v3, as far as they are used.

Keys, values and ids have the form that the gateway's published description
gives them: bytes in base64, 64-bit integers as strings.
"""

from __future__ import annotations

import msgspec


class KeyValue(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One key in an answer."""

    key: bytes
    value: bytes = b""
    create_revision: str = "0"
    mod_revision: str = "0"
    lease: str = "0"


class Header(msgspec.Struct, kw_only=True):
    """Head of every answer; the revision is that of the whole store."""

    revision: str


class RangeRequest(msgspec.Struct, kw_only=True):
    """Reads one key, or the keys before `range_end`."""

    key: bytes
    range_end: bytes = b""


class RangeAnswer(msgspec.Struct, kw_only=True):
    """Answer to `RangeRequest`."""

    header: Header
    kvs: list[KeyValue] = []
    count: str = "0"


class PutRequest(msgspec.Struct, kw_only=True):
    """Writes one key."""

    key: bytes
    value: bytes
    lease: str = "0"


class DeleteRequest(msgspec.Struct, kw_only=True):
    """Deletes one key."""

    key: bytes


class Operation(msgspec.Struct, kw_only=True):
    """One operation of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_range: RangeRequest | None = None
    request_delete_range: DeleteRequest | None = None


class Compare(msgspec.Struct, kw_only=True):
    """Condition of a transaction on the revision of a key."""

    key: bytes
    target: str = "MOD"
    result: str = "EQUAL"
    mod_revision: str = "0"


class TransactionRequest(msgspec.Struct, kw_only=True):
    """Carries out `success` if all comparisons hold."""

    compare: list[Compare] = []
    success: list[Operation] = []
    failure: list[Operation] = []


class TransactionAnswer(msgspec.Struct, kw_only=True):
    """Answer to `TransactionRequest`."""

    header: Header
    succeeded: bool = False


class LeaseGrantRequest(msgspec.Struct, kw_only=True):
    """Asks for a lease; the time to live is in seconds."""

    TTL: int | str
    ID: int | str = 0


class LeaseRequest(msgspec.Struct, kw_only=True):
    """Renews or revokes a lease."""

    ID: int | str


class LeaseAnswer(msgspec.Struct, kw_only=True):
    """Answer to the requests on leases; TTL 0 means expired."""

    header: Header
    ID: str
    TTL: str = "0"


class KeepAliveAnswer(msgspec.Struct, kw_only=True):
    """Answer to a renewal."""

    result: LeaseAnswer


class WatchCreate(msgspec.Struct, kw_only=True):
    """Range and first revision of a watch."""

    key: bytes
    range_end: bytes = b""
    start_revision: str = "0"


class WatchRequest(msgspec.Struct, kw_only=True):
    """Starts a watch."""

    create_request: WatchCreate


class Event(msgspec.Struct, kw_only=True):
    """One change; `type` is `PUT` or `DELETE`."""

    type: str = "PUT"
    kv: KeyValue


class WatchResult(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One line of a watch."""

    header: Header
    created: bool = False
    events: list[Event] = []


class WatchLine(msgspec.Struct, kw_only=True):
    """Frame around each line of a watch."""

    result: WatchResult
