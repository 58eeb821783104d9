"""What an instance believes about configuration and targets; pure.

The view only goes forward: every item carries the store's revision, and an
older one never replaces a newer one, whether it comes from the store or from a
peer.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable

from bambooglade.core import event_log
from bambooglade.discovery import codec as codec_lib
from bambooglade.discovery import targets as targets_lib
from bambooglade.gateway import configuration as configuration_lib
from bambooglade.store import port

RETURN_GRACE_MS = 1_500
"""How long a target stays in use whose entry lapsed during an outage.

Targets that live write their entries again within about 2 s.
"""

MAX_TOMBSTONES = 4_096
"""Deleted keys whose revision is remembered, over several hours of changes."""


class FleetView:
    """Newest known configuration and targets.

    Args:
        codec: Decodes items.
        log: Told of changes and of malformed items.

    Attributes:
        configuration: The newest one; None before the first.
        configuration_item: Its item, to be passed on; None before the first.
        configuration_revision: Revision as of which the configuration is the
            newest one.
        configuration_checked_at_ms: When that was last confirmed.
        targets_revision: Revision as of which the targets are complete.
        targets_checked_at_ms: When that was last confirmed.
        target_by_id: Registered targets, draining ones included.
        listeners: Called after changes on which requests depend.
    """

    __slots__ = (
        "_change_count",
        "_changed_at_revision_by_key",
        "_codec",
        "_forgotten_revision",
        "_item_by_key",
        "_lapsing_until_ms_by_id",
        "_log",
        "_targets_by_service",
        "_tombstone_by_key",
        "configuration",
        "configuration_checked_at_ms",
        "configuration_item",
        "configuration_revision",
        "listeners",
        "target_by_id",
        "targets_checked_at_ms",
        "targets_revision",
    )

    def __init__(
        self, codec: codec_lib.ItemCodec, *, log: event_log.EventLog
    ) -> None:
        self._codec = codec
        self._log = log
        self._item_by_key: dict[str, port.Item] = {}
        self._tombstone_by_key: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._forgotten_revision = 0
        self._change_count = 0
        self._changed_at_revision_by_key: dict[str, int] = {}
        self._lapsing_until_ms_by_id: dict[str, int] = {}
        self._targets_by_service: dict[
            str, list[targets_lib.RegisteredTarget]
        ] = {}
        self.configuration: configuration_lib.Configuration | None = None
        self.configuration_item: port.Item | None = None
        self.target_by_id: dict[str, targets_lib.RegisteredTarget] = {}
        self.targets_revision = 0
        self.configuration_revision = 0
        self.configuration_checked_at_ms: int | None = None
        self.targets_checked_at_ms: int | None = None
        self.listeners: list[Callable[[], None]] = []

    @property
    def checked_at_ms(self) -> int | None:
        """When the whole view was last known to be the newest."""
        times = (self.configuration_checked_at_ms, self.targets_checked_at_ms)
        return None if None in times else min(times)

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return self.configuration is not None and self.targets_revision > 0

    def target_items(self) -> list[port.Item]:
        """Returns the items of all targets, to be passed on."""
        return list(self._item_by_key.values())

    def changed_target_items(self, after_revision: int) -> list[port.Item]:
        """Returns the items that changed in what requests depend on.

        Args:
            after_revision: Revision as of which all are known; 0 for none. All
                items are returned if deletions since then were forgotten.
        """
        if after_revision <= self._forgotten_revision:
            return self.target_items()
        changed = [
            item
            for key, item in self._item_by_key.items()
            if self._changed_at_revision_by_key.get(key, 0) > after_revision
        ]
        deleted = [
            port.Item(key, None, revision)
            for key, revision in self._tombstone_by_key.items()
            if revision > after_revision
        ]
        return changed + deleted

    def is_complete_since(self, after_revision: int) -> bool:
        """Returns whether every change since a revision is remembered."""
        return after_revision > self._forgotten_revision

    def ready_targets(self, service: str) -> list[targets_lib.RegisteredTarget]:
        """Returns the targets of a service that take new requests."""
        return self._targets_by_service.get(service, [])

    def apply_configuration(self, item: port.Item, *, source: str) -> bool:
        """Takes a configuration if it is newer; returns whether it was.

        Args:
            item: The item with the encoded configuration.
            source: Where it came from, for the log.
        """
        known = self.configuration_item
        if item.value is None or (
            known is not None and item.revision <= known.revision
        ):
            return False
        try:
            decoded = self._codec.decode_configuration(item.value)
        except ValueError as error:
            self._log.event(
                "configuration_malformed",
                revision=item.revision,
                source=source,
                error=error,
                remedy="the last good one stays in force",
            )
            return False
        self.configuration = decoded
        self.configuration_item = item
        self.configuration_revision = max(
            self.configuration_revision, item.revision
        )
        self._log.event(
            "configuration_applied",
            version=decoded.version,
            revision=item.revision,
            source=source,
            routes=decoded.route_count,
        )
        self._notify()
        return True

    def configuration_is_as_of(self, revision: int, *, now_ms: int) -> None:
        """Notes that the configuration is the newest one up to a revision."""
        self.configuration_revision = max(self.configuration_revision, revision)
        self.configuration_checked_at_ms = now_ms

    def take_changes(
        self,
        changes: port.Items,
        *,
        now_ms: int,
        source: str,
        is_after_outage: bool = False,
    ) -> None:
        """Takes changes of targets' entries that follow the own revision.

        Args:
            changes: Items that were written or deleted.
            now_ms: The time.
            source: Where they came from, for the log.
            is_after_outage: Whether entries may have lapsed although their
                targets live.
        """
        changes_before = self._change_count
        for item in changes.items:
            self._take_target(item, now_ms, source, is_after_outage)
        self.targets_revision = max(self.targets_revision, changes.at_revision)
        if self._change_count != changes_before:
            self._index()
            self._notify()

    def take_all_targets(
        self,
        listed: Iterable[port.Item],
        *,
        at_revision: int,
        now_ms: int,
        source: str,
        is_after_outage: bool = False,
    ) -> None:
        """Takes the whole list of targets as of a revision."""
        if at_revision < self.targets_revision:
            return
        self._forgotten_revision = max(
            self._forgotten_revision, at_revision - 1
        )
        items = list(listed)
        keys = {item.key for item in items}
        missing = [
            port.Item(item.key, None, at_revision)
            for item in self._item_by_key.values()
            if item.key not in keys and item.revision <= at_revision
        ]
        changes = port.Items(items + missing, at_revision=at_revision)
        self.take_changes(
            changes,
            now_ms=now_ms,
            source=source,
            is_after_outage=is_after_outage,
        )

    def expire_lapsed_targets(self, now_ms: int) -> None:
        """Drops the targets whose entries did not come back in time."""
        due = [
            target_id
            for target_id, until_ms in self._lapsing_until_ms_by_id.items()
            if until_ms <= now_ms
        ]
        for target_id in due:
            self._drop(target_id, source="lapsed")
        if due:
            self._index()

    def remove_target(self, target_id: str, *, reason: str) -> None:
        """Drops a target that turned out to be gone."""
        if target_id in self.target_by_id:
            self._drop(target_id, source=reason)
            self._index()

    def _take_target(
        self, item: port.Item, now_ms: int, source: str, is_after_outage: bool
    ) -> None:
        known = self._item_by_key.get(item.key)
        known_revision = known.revision if known is not None else 0
        tombstone = self._tombstone_by_key.get(item.key, 0)
        if item.revision <= max(known_revision, tombstone):
            return
        target_id = item.key.removeprefix(self._codec.target_prefix)
        if item.value is None:
            self._item_by_key.pop(item.key, None)
            self._changed_at_revision_by_key.pop(item.key, None)
            self._change_count += 1
            self._bury(item)
            if is_after_outage and target_id in self.target_by_id:
                until_ms = now_ms + RETURN_GRACE_MS
                self._lapsing_until_ms_by_id[target_id] = until_ms
            else:
                self._drop(target_id, source=source)
            return
        self._item_by_key[item.key] = item
        self._register(target_id, item, source)

    def _register(self, target_id: str, item: port.Item, source: str) -> None:
        try:
            target = self._codec.decode_target(item.key, item.value)
        except ValueError as error:
            self._log.event(
                "target_malformed",
                target=target_id,
                revision=item.revision,
                error=error,
                remedy="the entry is ignored",
            )
            self._drop(target_id, source=source)
            self._note_change(item)
            return
        was_lapsing = self._lapsing_until_ms_by_id.pop(target_id, None)
        known = self.target_by_id.get(target_id)
        if known is not None and known.started_at_ms > target.started_at_ms > 0:
            return
        self.target_by_id[target_id] = target
        if was_lapsing is not None or not target.is_like(known):
            self._note_change(item)
        if known is None or known.is_draining != target.is_draining:
            self._log.event(
                "target_draining" if target.is_draining else "target_ready",
                target=target_id,
                service=target.service,
                zone=target.availability_zone,
                revision=item.revision,
                source=source,
            )

    def _note_change(self, item: port.Item) -> None:
        self._changed_at_revision_by_key[item.key] = item.revision
        self._change_count += 1

    def _notify(self) -> None:
        for listener in list(self.listeners):
            listener()

    def _bury(self, item: port.Item) -> None:
        self._tombstone_by_key[item.key] = item.revision
        self._tombstone_by_key.move_to_end(item.key)
        if len(self._tombstone_by_key) > MAX_TOMBSTONES:
            _, revision = self._tombstone_by_key.popitem(last=False)
            self._forgotten_revision = max(self._forgotten_revision, revision)

    def _drop(self, target_id: str, *, source: str) -> None:
        self._lapsing_until_ms_by_id.pop(target_id, None)
        if self.target_by_id.pop(target_id, None) is not None:
            self._log.event("target_gone", target=target_id, source=source)

    def _index(self) -> None:
        by_service: dict[str, list[targets_lib.RegisteredTarget]] = {}
        for target_id in sorted(self.target_by_id):
            target = self.target_by_id[target_id]
            if not target.is_draining:
                by_service.setdefault(target.service, []).append(target)
        self._targets_by_service = by_service

    def __repr__(self) -> str:
        return (
            f"FleetView({self.configuration!r},"
            f" targets={len(self.target_by_id)})"
        )
