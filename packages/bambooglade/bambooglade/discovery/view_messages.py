"""Messages by which instances exchange configuration and targets.

This module does no I/O.

See Also:
    bambooglade.discovery.peer_puller: sends the requests.
"""

from __future__ import annotations

import functools
import zlib

import msgspec

from bambooglade.discovery import evacuations as evacuations_lib
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import targets as targets_lib
from bambooglade.discovery import view as view_lib
from bambooglade.store import store_api
from bambooglade.targets import crash_suspicions

VIEW_PATH = "/v1/view"

_TEXT_ENCODING = "latin-1"


class TextItem(msgspec.Struct, frozen=True, array_like=True):
    """An item whose value is encoded as text, one character per byte.

    The value is None if the key was deleted.
    """

    key: str
    value: str | None
    revision: int


class CompressedItem(msgspec.Struct, frozen=True, array_like=True):
    """An item with a compressed value.

    Configurations are long and repetitive, so that they compress well.
    """

    key: str
    deflated: bytes
    revision: int


class ViewRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for updates that are newer than the requester's view.

    Attributes:
        configuration_revision: Revision of the requester's configuration; 0 for
            none.
        targets_revision: Revision of the requester's targets; 0 for none.
        asker: Entry of the requesting instance.
        wait_ms: Maximum time to wait for updates; 0 for an immediate response.
        reads_store: Whether the requester reads a new configuration from the
            store, which saves bandwidth on the network link of the peer.
        suspicions_digest: Digest of the crash suspicions that the requester
            knows.
        store_era: Era of the store to which the revisions belong; 0 if
            unknown.
        configuration_version: Version of the requester's configuration; None
            for none, or from an instance that compares revisions.
        evacuations: All zone records that the requester knows; None from an
            instance that does not know of evacuations.
    """

    configuration_revision: int
    targets_revision: int
    asker: peers_lib.Peer
    wait_ms: int = 0
    reads_store: bool = False
    suspicions_digest: int = 0
    store_era: int = 0
    configuration_version: int | None = None
    evacuations: list[evacuations_lib.ZoneRecord] | None = None


class ViewResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response with updates to the requester's view.

    Attributes:
        configuration: The configuration; None if it is not newer, or if the
            requester reads it from the store.
        configuration_revision: Revision of the configuration; 0 for none.
        targets: Targets that changed; None if the targets are not newer.
        are_all_targets: Whether `targets` is the complete list instead of the
            changes only.
        targets_revision: Revision as of which the targets are complete.
        checked_ms_ago: Time since the view was last confirmed as the newest;
            None if it never was.
        waited_ms: Time for which the peer waited for updates.
        peers: Known instances; empty if the requester reads them from the
            store.
        suspicions: All crash suspicions of the peer; None if the requester
            knows the same ones.
        suspicions_digest: Digest of the crash suspicions of the peer.
        leaving: Registered targets that the peer knows to be leaving.
        store_era: Era of the store to which the revisions belong; 0 if
            unknown.
        configuration_version: Version of the configuration; None for none.
        evacuations: All zone records of the peer, or none of them if the
            requester's are the same; None from a peer that has not read the
            operators' keys yet, or does not know of evacuations.
    """

    configuration: CompressedItem | None = None
    configuration_revision: int = 0
    targets: list[TextItem] | None = None
    are_all_targets: bool = True
    targets_revision: int = 0
    checked_ms_ago: int | None = None
    waited_ms: int = 0
    peers: list[peers_lib.Peer] = []
    suspicions: list[crash_suspicions.Suspicion] | None = None
    suspicions_digest: int = 0
    leaving: list[targets_lib.TargetRun] = []
    store_era: int = 0
    configuration_version: int | None = None
    evacuations: list[evacuations_lib.ZoneRecord] | None = None


def has_updates(
    request: ViewRequest, view: view_lib.FleetView, *, store_era: int
) -> bool:
    """Returns whether the view has updates for the requester."""
    if _has_newer_configuration(request, view):
        return True
    if request.evacuations is not None and view.evacuations.has_news_for(
        request.evacuations
    ):
        return True
    known_revision = _known_targets_revision(request, store_era)
    if view.targets_revision <= known_revision:
        return False
    is_complete = view.has_history_since(known_revision)
    return not is_complete or bool(view.changed_target_items(known_revision))


def _has_newer_configuration(
    request: ViewRequest, view: view_lib.FleetView
) -> bool:
    item = view.configuration_item
    if item is None:
        return False
    if request.configuration_version is None:
        known_revision = request.configuration_revision
        return known_revision == 0 or item.revision > known_revision
    return view.configuration.version > request.configuration_version


def _known_targets_revision(request: ViewRequest, store_era: int) -> int:
    """Returns the requester's revision; 0 if it is of another era."""
    is_comparable = 0 in (request.store_era, store_era) or (
        request.store_era == store_era
    )
    return request.targets_revision if is_comparable else 0


def build_response(
    request: ViewRequest,
    view: view_lib.FleetView,
    known_peers: list[peers_lib.Peer],
    suspicions: crash_suspicions.CrashSuspicions,
    *,
    now_ms: int,
    store_era: int,
    waited_ms: int = 0,
) -> ViewResponse:
    """Returns the response to a view request.

    Args:
        request: The request, with the revisions of the requester's view.
        view: View of this instance.
        known_peers: Instances to include in the response.
        suspicions: Crash suspicions of this instance.
        now_ms: Current time.
        store_era: Era of the store to which the revisions of the view belong.
        waited_ms: Time for which this instance waited for updates.
    """
    item = view.configuration_item
    is_newer = _has_newer_configuration(request, view)
    known_revision = _known_targets_revision(request, store_era)
    targets = None
    if view.targets_revision > known_revision:
        targets = [
            _encode_item(changed)
            for changed in view.changed_target_items(known_revision)
        ]
    checked_at_ms = view.checked_at_ms
    return ViewResponse(
        configuration=(
            _compress_item(item)
            if is_newer and not request.reads_store
            else None
        ),
        configuration_revision=item.revision if item is not None else 0,
        targets=targets,
        are_all_targets=not view.has_history_since(known_revision),
        targets_revision=view.targets_revision,
        checked_ms_ago=None
        if checked_at_ms is None
        else now_ms - checked_at_ms,
        waited_ms=waited_ms,
        peers=[] if request.reads_store else known_peers,
        suspicions=(
            suspicions.all_suspicions()
            if suspicions.digest != request.suspicions_digest
            else None
        ),
        suspicions_digest=suspicions.digest,
        leaving=view.leaving_runs(),
        store_era=store_era,
        configuration_version=(
            view.configuration.version if item is not None else None
        ),
        evacuations=_evacuations_for(request, view, now_ms=now_ms),
    )


def _evacuations_for(
    request: ViewRequest, view: view_lib.FleetView, *, now_ms: int
) -> list[evacuations_lib.ZoneRecord] | None:
    """Returns the records for a requester; None if they are not known."""
    if request.evacuations is None or not view.evacuations.is_known:
        return None
    known_orders = {
        (record.zone, record.order) for record in request.evacuations
    }
    records = view.evacuations.records(now_ms=now_ms)
    is_same = known_orders.issuperset((r.zone, r.order) for r in records)
    return [] if is_same else records


def _compress_item(item: store_api.Item) -> CompressedItem:
    return CompressedItem(item.key, _compress(item.value), item.revision)


@functools.lru_cache(maxsize=1)
def _compress(value: bytes) -> bytes:
    return zlib.compress(value)


def decompress_item(compressed: CompressedItem) -> store_api.Item:
    """Returns the item with its original value.

    Raises:
        zlib.error: The compressed value is malformed.
    """
    return store_api.Item(
        compressed.key,
        zlib.decompress(compressed.deflated),
        compressed.revision,
    )


def _encode_item(item: store_api.Item) -> TextItem:
    value = None if item.value is None else item.value.decode(_TEXT_ENCODING)
    return TextItem(item.key, value, item.revision)


def decode_item(encoded: TextItem) -> store_api.Item:
    """Returns the item of a `TextItem` from a peer."""
    value = (
        None if encoded.value is None else encoded.value.encode(_TEXT_ENCODING)
    )
    return store_api.Item(encoded.key, value, encoded.revision)
