"""What instances tell each other of configuration and targets; pure.

See Also:
    bambooglade.discovery.peer_puller: asks for it.
"""

from __future__ import annotations

import functools
import zlib

import msgspec

from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import view as view_lib
from bambooglade.store import port

VIEW_PATH = "/v1/view"

_TEXT_ENCODING = "latin-1"


class KnownItem(msgspec.Struct, frozen=True, array_like=True):
    """An item with its bytes as text of one character a byte.

    The text is None if the key was deleted.
    """

    key: str
    value: str | None
    revision: int


class PackedItem(msgspec.Struct, frozen=True, array_like=True):
    """An item with compressed bytes: a configuration is long and regular."""

    key: str
    deflated: bytes
    revision: int


class ViewRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for what is newer than the own view.

    Attributes:
        configuration_revision: Revision of the own configuration; 0 for none.
        targets_revision: Revision of the own list of targets; 0 for none.
        asker: Who asks.
        wait_ms: How long to wait for news; 0 for an answer at once.
        reads_store: Whether the asker reads a configuration from the store,
            so that the link of the peer does not have to carry it.
    """

    configuration_revision: int
    targets_revision: int
    asker: peers_lib.Peer
    wait_ms: int = 0
    reads_store: bool = False


class ViewResponse(msgspec.Struct, frozen=True, kw_only=True):
    """What is newer.

    Attributes:
        configuration: The configuration; None if it is not newer, or if the
            asker reads it from the store.
        configuration_revision: Its revision; 0 if none is known.
        targets: Targets that changed; None if the list is not newer.
        are_all_targets: Whether they are all, not the changes alone.
        targets_revision: Revision as of which the targets are complete.
        checked_ms_ago: Age of the view; None if it was never the newest.
        waited_ms: How long the answer waited for news.
        peers: Instances that are known; empty where the store lists them.
    """

    configuration: PackedItem | None = None
    configuration_revision: int = 0
    targets: list[KnownItem] | None = None
    are_all_targets: bool = True
    targets_revision: int = 0
    checked_ms_ago: int | None = None
    waited_ms: int = 0
    peers: list[peers_lib.Peer] = []


def has_updates(request: ViewRequest, view: view_lib.FleetView) -> bool:
    """Returns whether there is something that the asker has to know."""
    item = view.configuration_item
    if item is not None and item.revision > request.configuration_revision:
        return True
    if view.targets_revision <= request.targets_revision:
        return False
    is_complete = view.is_complete_since(request.targets_revision)
    return not is_complete or bool(
        view.changed_target_items(request.targets_revision)
    )


def build_response(
    request: ViewRequest,
    view: view_lib.FleetView,
    known_peers: list[peers_lib.Peer],
    *,
    now_ms: int,
    waited_ms: int = 0,
) -> ViewResponse:
    """Returns what the asker does not know yet.

    Args:
        request: What the asker knows.
        view: The own view.
        known_peers: Instances to tell of.
        now_ms: The time.
        waited_ms: How long the answer waited for news.
    """
    item = view.configuration_item
    is_newer = (
        item is not None and item.revision > request.configuration_revision
    )
    targets = None
    if view.targets_revision > request.targets_revision:
        targets = [
            _known(changed)
            for changed in view.changed_target_items(request.targets_revision)
        ]
    checked_at_ms = view.checked_at_ms
    return ViewResponse(
        configuration=(
            _packed(item) if is_newer and not request.reads_store else None
        ),
        configuration_revision=item.revision if item is not None else 0,
        targets=targets,
        are_all_targets=not view.is_complete_since(request.targets_revision),
        targets_revision=view.targets_revision,
        checked_ms_ago=None
        if checked_at_ms is None
        else now_ms - checked_at_ms,
        waited_ms=waited_ms,
        peers=[] if request.reads_store else known_peers,
    )


def _packed(item: port.Item) -> PackedItem:
    return PackedItem(item.key, _deflated(item.value), item.revision)


@functools.lru_cache(maxsize=1)
def _deflated(value: bytes) -> bytes:
    return zlib.compress(value)


def unpacked(packed: PackedItem) -> port.Item:
    """Returns the item; raises `zlib.error` if its bytes are malformed."""
    return port.Item(
        packed.key, zlib.decompress(packed.deflated), packed.revision
    )


def _known(item: port.Item) -> KnownItem:
    value = None if item.value is None else item.value.decode(_TEXT_ENCODING)
    return KnownItem(item.key, value, item.revision)


def item_of(known: KnownItem) -> port.Item:
    """Returns the item that a peer told of."""
    value = None if known.value is None else known.value.encode(_TEXT_ENCODING)
    return port.Item(known.key, value, known.revision)
