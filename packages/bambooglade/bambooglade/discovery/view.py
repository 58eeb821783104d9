"""View of an instance of the configuration, the zones and the targets.

An older item never replaces a newer one, whether it comes from the store or
from a peer. Configurations are ordered by their version, and targets by the
revision of their entry. Revisions hold for one era of the store: after it has
returned from an older copy, its contents are listed again, and what was known
before and is missing there stays in force. This module does no I/O.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable

from bambooglade.core import event_log
from bambooglade.discovery import codec as codec_lib
from bambooglade.discovery import evacuations as evacuations_lib
from bambooglade.discovery import targets as targets_lib
from bambooglade.gateway import configuration as configuration_lib
from bambooglade.store import store_api

COLD_TIME_TOLERANCE_MS = 100
"""Most by which a cold time may be prolonged without being passed on.

Two entries that state the same end are read with different delays.
"""

LAPSED_TARGET_GRACE_MS = 1_500
"""Grace period for a target whose entry expired during an outage of the store.

The target stays in use for this time, but not beyond the end of the recovery.
Targets that still run rewrite their entries within about 2 s of the end of the
outage.
"""

RESTORE_RECOVERY_MS = 2_000
"""Time after the store has returned from an older copy in which targets may
still be writing their lost entries again."""

MAX_TOMBSTONES = 4_096
"""Maximum number of deleted keys whose revisions are kept.

They cover several hours of changes.
"""

MAX_LEAVING_TARGETS = 4_096
"""Maximum number of targets that are remembered as leaving.

The oldest are evicted; their entries have left the store long before.
"""


class _Tombstone:
    """A deleted entry.

    Attributes:
        revision: Revision of the deletion; 0 if it was in an earlier era.
        started_at_ms: Start of the run whose entry was deleted; 0 if unknown.
    """

    __slots__ = ("revision", "started_at_ms")

    def __init__(self, *, revision: int, started_at_ms: int) -> None:
        self.revision = revision
        self.started_at_ms = started_at_ms


class FleetView:
    """Newest known configuration and targets.

    Args:
        codec: Decodes items.
        log: Receives an event for each change and each malformed item.

    Attributes:
        configuration: Newest configuration; None before the first.
        configuration_item: Item of the configuration, for peers; None before
            the first.
        configuration_revision: Revision of the store as of which the
            configuration and the evacuated zones were read. What a peer told
            does not raise it: the peer may know one of the two only.
        configuration_checked_at_ms: Time at which the configuration was last
            confirmed as the newest; None if it never was.
        targets_revision: Revision of the store as of which the targets are
            complete.
        targets_checked_at_ms: Time at which the targets were last confirmed as
            complete; None if they never were.
        configuration_read_at_ms: Time at which the latest call to the store
            began whose response the configuration includes; None before it.
            Unlike the time of the response, it holds for a process that was
            suspended.
        targets_read_at_ms: The same for the targets.
        unseen_until_ms: Time until which targets may have come and gone unseen
            here, since the changes were not followed; 0 if they were.
        target_by_id: Registered targets, including draining ones.
        evacuations: Zones whose targets get no requests.
        listeners: Called after each change that affects requests.
        registration_listeners: Called with each target as it is registered,
            also if it is gone by the time at which `listeners` are called.
    """

    __slots__ = (
        "_change_count",
        "_changed_at_revision_by_key",
        "_codec",
        "_cold_until_ms_by_key",
        "_compacted_revision",
        "_evacuated_services",
        "_first_revision",
        "_grace_until_ms_by_id",
        "_has_targets",
        "_item_by_key",
        "_leaving_started_at_ms_by_id",
        "_log",
        "_malformed_reason_by_key",
        "_restore_ends_at_ms",
        "_targets_by_service",
        "_tombstone_by_key",
        "configuration",
        "configuration_checked_at_ms",
        "configuration_item",
        "configuration_read_at_ms",
        "configuration_revision",
        "evacuations",
        "listeners",
        "registration_listeners",
        "target_by_id",
        "targets_checked_at_ms",
        "targets_read_at_ms",
        "targets_revision",
        "unseen_until_ms",
    )

    def __init__(
        self, codec: codec_lib.ItemCodec, *, log: event_log.EventLog
    ) -> None:
        self._codec = codec
        self._log = log
        self._item_by_key: dict[str, store_api.Item] = {}
        self._tombstone_by_key: collections.OrderedDict[str, _Tombstone] = (
            collections.OrderedDict()
        )
        self._malformed_reason_by_key: dict[str, str] = {}
        self._has_targets = False
        self._first_revision = 0
        self._restore_ends_at_ms = 0
        self._compacted_revision = 0
        self._change_count = 0
        self._changed_at_revision_by_key: dict[str, int] = {}
        self._grace_until_ms_by_id: dict[str, int] = {}
        self._leaving_started_at_ms_by_id: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._targets_by_service: dict[
            str, list[targets_lib.RegisteredTarget]
        ] = {}
        self._evacuated_services: set[str] = set()
        # End of the cold time as of the last entry that was passed on.
        self._cold_until_ms_by_key: dict[str, int] = {}
        self.evacuations = evacuations_lib.ZoneEvacuations(log)
        self.evacuations.listeners.append(self._handle_evacuations)
        self.configuration: configuration_lib.Configuration | None = None
        self.configuration_item: store_api.Item | None = None
        self.target_by_id: dict[str, targets_lib.RegisteredTarget] = {}
        self.targets_revision = 0
        self.configuration_revision = 0
        self.configuration_checked_at_ms: int | None = None
        self.targets_checked_at_ms: int | None = None
        self.configuration_read_at_ms: int | None = None
        self.targets_read_at_ms: int | None = None
        self.unseen_until_ms = 0
        self.listeners: list[Callable[[], None]] = []
        self.registration_listeners: list[
            Callable[[targets_lib.RegisteredTarget], None]
        ] = []

    @property
    def checked_at_ms(self) -> int | None:
        """Time at which the whole view was last confirmed as the newest."""
        times = (self.configuration_checked_at_ms, self.targets_checked_at_ms)
        return None if None in times else min(times)

    @property
    def read_at_ms(self) -> int | None:
        """Time until which the whole view includes all changes, at least."""
        times = (self.configuration_read_at_ms, self.targets_read_at_ms)
        return None if None in times else min(times)

    @property
    def is_ready(self) -> bool:
        """Whether the view is complete enough to serve requests."""
        return (
            self.configuration is not None
            and self._has_targets
            and self.evacuations.is_known
        )

    @property
    def has_targets(self) -> bool:
        """Whether a list of the targets was applied."""
        return self._has_targets

    def is_recovering(self, now_ms: int) -> bool:
        """Returns whether the store has just returned from an older copy.

        Entries are listed again then that were known before.
        """
        return now_ms < self._restore_ends_at_ms

    @property
    def malformed_count(self) -> int:
        """Number of target entries that can't be decoded."""
        return len(self._malformed_reason_by_key)

    def target_items(self) -> list[store_api.Item]:
        """Returns the items of all targets, for peers."""
        return list(self._item_by_key.values())

    def changed_target_items(self, after_revision: int) -> list[store_api.Item]:
        """Returns the target items whose changes affect requests.

        Args:
            after_revision: Only changes after this revision are returned; 0
                returns all items. All items are also returned if deletions
                since then are no longer recorded.
        """
        if after_revision <= self._compacted_revision:
            return self.target_items()
        changed = [
            item
            for key, item in self._item_by_key.items()
            if self._changed_at_revision_by_key.get(key, 0) > after_revision
        ]
        deleted = [
            store_api.Item(key, None, tombstone.revision)
            for key, tombstone in self._tombstone_by_key.items()
            if tombstone.revision > after_revision
        ]
        return changed + deleted

    def has_history_since(self, after_revision: int) -> bool:
        """Returns whether all changes since a revision are still recorded."""
        return after_revision > self._compacted_revision

    def ready_targets(self, service: str) -> list[targets_lib.RegisteredTarget]:
        """Returns the targets of a service that accept new requests.

        Targets of evacuated zones are not among them.
        """
        return self._targets_by_service.get(service, [])

    def is_evacuated(self, target: targets_lib.RegisteredTarget) -> bool:
        """Returns whether the zone of a target is evacuated."""
        return self.evacuations.is_evacuated(target.availability_zone)

    def has_evacuated_targets(self, service: str) -> bool:
        """Returns whether targets of a service are left out for their zone."""
        return service in self._evacuated_services

    def begin_era(self, *, now_ms: int) -> None:
        """Prepares for the contents of a store that is back from a copy.

        All revisions are forgotten, so that the contents are listed again.
        Until then, and as long as nothing newer is written, the view stays as
        it is: the configuration, and targets that leave or have left. Targets
        that are missing in the copy get a grace period.

        Args:
            now_ms: Current time.
        """
        self.targets_revision = self.configuration_revision = 0
        self._compacted_revision = 0
        self._changed_at_revision_by_key.clear()
        self._restore_ends_at_ms = now_ms + RESTORE_RECOVERY_MS
        for key, item in self._item_by_key.items():
            self._item_by_key[key] = store_api.Item(key, item.value, 0)
        if self.configuration_item is not None:
            self.configuration_item = store_api.Item(
                self.configuration_item.key, self.configuration_item.value, 0
            )
        for tombstone in self._tombstone_by_key.values():
            tombstone.revision = 0
        for target in list(self.target_by_id.values()):
            if target.is_draining:
                self.record_leaving(target.run)

    def apply_configuration(self, item: store_api.Item, *, source: str) -> bool:
        """Applies a configuration if it is newer than the current one.

        Operators raise the version with each change, also with one that
        returns to earlier contents. A lower version is therefore always an
        older one, whatever its revision.

        Args:
            item: Item with the encoded configuration.
            source: Origin of the item, for the log.

        Returns:
            Whether the configuration was applied.
        """
        current = self.configuration_item
        if item.value is None:
            return False
        if current is not None and item.value == current.value:
            self._adopt_item(item)
            return False
        try:
            decoded = self._codec.decode_configuration(item.value)
        except ValueError as error:
            self._log.event(
                "configuration_malformed",
                revision=item.revision,
                source=source,
                error=error,
                remedy="the last valid configuration stays in force",
            )
            return False
        if self._is_outdated(decoded.version, item.revision):
            self._log.event(
                "configuration_outdated",
                version=decoded.version,
                known_version=self.configuration.version,
                revision=item.revision,
                source=source,
            )
            return False
        self.configuration = decoded
        self._adopt_item(item)
        self._log.event(
            "configuration_applied",
            version=decoded.version,
            revision=item.revision,
            source=source,
            routes=decoded.route_count,
        )
        self._notify_listeners()
        return True

    def _adopt_item(self, item: store_api.Item) -> None:
        known = self.configuration_item
        if (
            known is None
            or item.value != known.value
            or (item.revision > known.revision)
        ):
            self.configuration_item = item

    def _is_outdated(self, version: int, revision: int) -> bool:
        if self.configuration is None:
            return False
        known = self.configuration.version, self.configuration_item.revision
        return (version, revision) <= known

    def confirm_configuration(self, revision: int, *, now_ms: int) -> None:
        """Records that the operators' keys were read as of a revision."""
        self.configuration_revision = max(self.configuration_revision, revision)
        self.configuration_checked_at_ms = now_ms

    def apply_target_changes(
        self,
        changes: store_api.Items,
        *,
        now_ms: int,
        source: str,
        is_every_change: bool = True,
        recovery_ends_at_ms: int = 0,
    ) -> None:
        """Applies changes of target entries after the current revision.

        Args:
            changes: Items that were written or deleted.
            now_ms: Current time.
            source: Origin of the changes, for the log.
            is_every_change: Whether no target may have come and gone between
                the current revision and the changes.
            recovery_ends_at_ms: Time until which an entry may be missing that
                expired in an outage of the store although its target still
                runs; 0 if there was none.
        """
        recovery_ends_at_ms = max(recovery_ends_at_ms, self._restore_ends_at_ms)
        is_newer = changes.at_revision > self.targets_revision
        if self._has_targets and is_newer and not is_every_change:
            self.unseen_until_ms = now_ms
        changes_before = self._change_count
        for item in changes.items:
            self._apply_target_item(item, now_ms, source, recovery_ends_at_ms)
        self.targets_revision = max(self.targets_revision, changes.at_revision)
        self._has_targets = self._has_targets or self.targets_revision > 0
        if self._change_count != changes_before:
            self._rebuild_index()
            self._notify_listeners()

    def apply_target_list(
        self,
        listed: Iterable[store_api.Item],
        *,
        at_revision: int,
        now_ms: int,
        source: str,
        recovery_ends_at_ms: int = 0,
    ) -> None:
        """Applies a complete list of target entries as of a revision.

        Targets that are not in the list are removed. A list that is older than
        the view is ignored.

        Args:
            listed: Items of all targets.
            at_revision: Revision of the store as of which the list is complete.
            now_ms: Current time.
            source: Origin of the list, for the log.
            recovery_ends_at_ms: As for `apply_target_changes`.
        """
        if at_revision < self.targets_revision:
            return
        self._compacted_revision = max(
            self._compacted_revision, at_revision - 1
        )
        items = list(listed)
        if self.targets_revision == 0:
            self._first_revision = at_revision
        self._retire_removed_runs(items)
        keys = {item.key for item in items}
        missing = [
            store_api.Item(item.key, None, at_revision)
            for item in self._item_by_key.values()
            if item.key not in keys and item.revision <= at_revision
        ]
        changes = store_api.Items(items + missing, at_revision=at_revision)
        self.apply_target_changes(
            changes,
            now_ms=now_ms,
            source=source,
            is_every_change=False,
            recovery_ends_at_ms=recovery_ends_at_ms,
        )

    def _retire_removed_runs(self, items: Iterable[store_api.Item]) -> None:
        """Keeps out entries of runs that were removed in an earlier era.

        An entry that the run itself writes later has a higher revision than
        the first list of the era.
        """
        for item in items:
            tombstone = self._tombstone_by_key.get(item.key)
            if (
                tombstone is None
                or tombstone.revision > 0
                or item.key in self._item_by_key
                or item.revision > self._first_revision
            ):
                continue
            target, _ = self._decode_target(item)
            if (
                target is not None
                and target.started_at_ms <= tombstone.started_at_ms
            ):
                tombstone.revision = item.revision

    def expire_lapsed_targets(self, now_ms: int) -> None:
        """Ends what was kept for a time only.

        These are targets whose grace period ended without a new entry, and
        evacuations that a store from an older copy does not have.
        """
        self.evacuations.settle(now_ms=now_ms)
        due = [
            target_id
            for target_id, until_ms in self._grace_until_ms_by_id.items()
            if until_ms <= now_ms
        ]
        for target_id in due:
            self._remove(target_id, source="lapsed")
        if due:
            self._rebuild_index()

    def remove_target(self, target_id: str, *, reason: str) -> None:
        """Removes a target that was found to be gone.

        Args:
            target_id: Id of the target.
            reason: Evidence that it is gone, for the log.
        """
        if target_id in self.target_by_id:
            self._remove(target_id, source=reason)
            self._rebuild_index()

    def record_leaving(self, run: targets_lib.TargetRun) -> bool:
        """Records that a run of a target is leaving.

        It gets no requests from then on, whatever its entry says. A later run
        under the same id does.

        Args:
            run: The run that states that it leaves.

        Returns:
            Whether this was not known before.
        """
        known = self._leaving_started_at_ms_by_id.get(run.target_id, -1)
        if known >= run.started_at_ms:
            return False
        self._leaving_started_at_ms_by_id[run.target_id] = run.started_at_ms
        self._leaving_started_at_ms_by_id.move_to_end(run.target_id)
        if len(self._leaving_started_at_ms_by_id) > MAX_LEAVING_TARGETS:
            self._leaving_started_at_ms_by_id.popitem(last=False)
        self._rebuild_index()
        return True

    def leaving_runs(self) -> list[targets_lib.TargetRun]:
        """Returns the registered runs that are leaving, for peers."""
        return [
            target.run
            for target_id in self._leaving_started_at_ms_by_id
            if (target := self.target_by_id.get(target_id)) is not None
            and self._is_leaving(target)
        ]

    def _is_leaving(self, target: targets_lib.RegisteredTarget) -> bool:
        leaving_started_at_ms = self._leaving_started_at_ms_by_id.get(
            target.target_id, -1
        )
        return target.started_at_ms <= leaving_started_at_ms

    def _apply_target_item(
        self,
        item: store_api.Item,
        now_ms: int,
        source: str,
        recovery_ends_at_ms: int,
    ) -> None:
        current = self._item_by_key.get(item.key)
        current_revision = current.revision if current is not None else 0
        tombstone = self._tombstone_by_key.get(item.key)
        removed_revision = tombstone.revision if tombstone is not None else 0
        if item.revision <= max(current_revision, removed_revision):
            return
        target_id = item.key.removeprefix(self._codec.target_prefix)
        if item.value is None:
            self._item_by_key.pop(item.key, None)
            self._malformed_reason_by_key.pop(item.key, None)
            self._changed_at_revision_by_key.pop(item.key, None)
            self._cold_until_ms_by_key.pop(item.key, None)
            self._change_count += 1
            self._add_tombstone(item, target_id)
            if now_ms < recovery_ends_at_ms and target_id in self.target_by_id:
                self._grace_until_ms_by_id[target_id] = min(
                    now_ms + LAPSED_TARGET_GRACE_MS, recovery_ends_at_ms
                )
            else:
                self._remove(target_id, source=source)
            return
        self._item_by_key[item.key] = item
        self._apply_registration(target_id, item, now_ms, source)

    def _apply_registration(
        self, target_id: str, item: store_api.Item, now_ms: int, source: str
    ) -> None:
        target, reason = self._decode_target(item)
        if target is None:
            self._record_malformed(item, reason, source=source)
            self._remove(target_id, source=source)
            self._record_change(item)
            return
        self._malformed_reason_by_key.pop(item.key, None)
        for listener in list(self.registration_listeners):
            listener(target)
        grace_until_ms = self._grace_until_ms_by_id.pop(target_id, None)
        current = self.target_by_id.get(target_id)
        if (
            current is not None
            and current.started_at_ms > target.started_at_ms > 0
        ):
            return
        self.target_by_id[target_id] = target
        cold_until_ms = now_ms + target.cold_remaining_ms
        if (
            grace_until_ms is not None
            or not target.is_equivalent_to(current)
            or self._prolongs_cold_time(target, item.key, cold_until_ms)
        ):
            self._record_change(item)
            if target.cold_remaining_ms:
                self._cold_until_ms_by_key[item.key] = cold_until_ms
            else:
                self._cold_until_ms_by_key.pop(item.key, None)
        if current is None or current.is_draining != target.is_draining:
            self._log.event(
                "target_draining" if target.is_draining else "target_ready",
                target=target_id,
                service=target.service,
                zone=target.availability_zone,
                software_version=target.software_version or None,
                revision=item.revision,
                source=source,
            )

    def _prolongs_cold_time(
        self, target: targets_lib.RegisteredTarget, key: str, until_ms: int
    ) -> bool:
        """Returns whether a target is cold for longer than peers were told."""
        told_ms = self._cold_until_ms_by_key.get(key, 0)
        return bool(target.cold_remaining_ms) and (
            until_ms > told_ms + COLD_TIME_TOLERANCE_MS
        )

    def _decode_target(
        self, item: store_api.Item
    ) -> tuple[targets_lib.RegisteredTarget | None, str]:
        """Returns the target of an entry; None and the reason if it has none.

        Any process may write entries, and one of them must not keep the others
        from being read.
        """
        try:
            return self._codec.decode_target(item.key, item.value), ""
        except ValueError as error:
            return None, str(error)
        except Exception as error:  # noqa: BLE001 - costs only this entry
            return None, repr(error)

    def _record_malformed(
        self, item: store_api.Item, reason: str, *, source: str
    ) -> None:
        """Counts a malformed entry, and logs it once for each reason."""
        if self._malformed_reason_by_key.get(item.key) == reason:
            return
        self._malformed_reason_by_key[item.key] = reason
        self._log.event(
            "target_malformed",
            key=item.key,
            revision=item.revision,
            source=source,
            error=reason,
            remedy="the target is not used until it writes a valid entry",
        )

    def _record_change(self, item: store_api.Item) -> None:
        self._changed_at_revision_by_key[item.key] = item.revision
        self._change_count += 1

    def _handle_evacuations(self) -> None:
        self._rebuild_index()
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in list(self.listeners):
            listener()

    def _add_tombstone(self, item: store_api.Item, target_id: str) -> None:
        target = self.target_by_id.get(target_id)
        self._tombstone_by_key[item.key] = _Tombstone(
            revision=item.revision,
            started_at_ms=target.started_at_ms if target is not None else 0,
        )
        self._tombstone_by_key.move_to_end(item.key)
        if len(self._tombstone_by_key) > MAX_TOMBSTONES:
            _, evicted = self._tombstone_by_key.popitem(last=False)
            self._compacted_revision = max(
                self._compacted_revision, evicted.revision
            )

    def _remove(self, target_id: str, *, source: str) -> None:
        self._grace_until_ms_by_id.pop(target_id, None)
        if self._leaving_started_at_ms_by_id.get(target_id) == 0:
            # Runs without a start can't be told apart by it.
            del self._leaving_started_at_ms_by_id[target_id]
        if self.target_by_id.pop(target_id, None) is not None:
            self._log.event("target_gone", target=target_id, source=source)

    def _rebuild_index(self) -> None:
        by_service: dict[str, list[targets_lib.RegisteredTarget]] = {}
        evacuated_services: set[str] = set()
        for target_id in sorted(self.target_by_id):
            target = self.target_by_id[target_id]
            if target.is_draining or self._is_leaving(target):
                continue
            if self.is_evacuated(target):
                evacuated_services.add(target.service)
            else:
                by_service.setdefault(target.service, []).append(target)
        self._targets_by_service = by_service
        self._evacuated_services = evacuated_services

    def __repr__(self) -> str:
        return (
            f"FleetView({self.configuration!r},"
            f" targets={len(self.target_by_id)})"
        )
