"""One shard at one instance, which is its primary, its backup or neither.

The document names the primary and the backup. The primary passes messages to
the registries and releases their effects when the backup has a copy.

See Also:
    bambooglade.shards.succession: proposal of the next primary.
    bambooglade.shards.replication: the stream to the backup.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import functools

from absl import logging
import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.shards import assignments
from bambooglade.shards import backup_manager
from bambooglade.shards import confirmations
from bambooglade.shards import document as documents
from bambooglade.shards import document_session
from bambooglade.shards import edits
from bambooglade.shards import final_reports
from bambooglade.shards import messages
from bambooglade.shards import pending_messages
from bambooglade.shards import registry as registries
from bambooglade.shards import registry_set
from bambooglade.shards import replication
from bambooglade.shards import succession

REFRESH_MS = 1_000
"""A document older than this is read again before it is used."""


class ShardReplica:
    """Follows the document of one shard, and serves the shard if assigned.

    Args:
        instance_id: This instance.
        zone_shard: The shard, in the zone of the instance.
        factories: Factories of the registries.
        assignment_map: Updated with all assignments that are read.
        fleet: Liveness of the instances as applied by this one.

    Attributes:
        edits: Top-ups requested from this instance.
        must_be_served: Whether to serve the shard even without requests.
    """

    __slots__ = (
        "_assignments",
        "_backup_manager",
        "_confirmations",
        "_copy",
        "_draining",
        "_epoch",
        "_fleet",
        "_instance_id",
        "_pending_messages",
        "_registries",
        "_reports",
        "_retired_epoch",
        "_session",
        "_suspected_since_ms",
        "_zone_shard",
        "edits",
        "must_be_served",
    )

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        zone_shard: assignments.ZoneShard,
        factories: tuple[registries.RegistryFactory, ...],
        assignment_map: assignments.AssignmentMap,
        fleet: view.FleetView,
    ) -> None:
        self._instance_id = instance_id
        self._zone_shard = zone_shard
        self._assignments = assignment_map
        self._fleet = fleet
        self._session = document_session.DocumentSession(
            key=documents.document_key(zone_shard.shard), owner=instance_id
        )
        self._registries = registry_set.RegistrySet(zone_shard, factories)
        self._copy = replication.CopyState()
        self._pending_messages = pending_messages.PendingMessages()
        self._reports = final_reports.FinalReports(zone_shard)
        self._backup_manager = backup_manager.BackupManager(
            zone_shard, instance_id, fleet
        )
        self._epoch: identifiers.Epoch | None = None
        self._retired_epoch = identifiers.Epoch(0)
        self._suspected_since_ms: int | None = None
        self._draining = False
        self._confirmations = confirmations.Confirmations(self._session)
        self.edits = edits.PendingEdits()
        self.must_be_served = False

    @property
    def is_primary(self) -> bool:
        """Whether this instance is the primary, as far as it can determine."""
        return self._epoch is not None

    @property
    def is_drained(self) -> bool:
        """Whether nothing is left to hand over or to return."""
        if self.is_primary:
            return self._is_last_in_zone() and self._is_vacant()
        return self._reports.is_empty

    @property
    def document(self) -> documents.ShardDocument | None:
        """The newest known document; None before the first read."""
        return self._session.document

    def registry(self, name: str) -> registries.RecordRegistry:
        """Returns a registry by name."""
        return self._registries.by_name[name]

    def begin_drain(self) -> None:
        """Starts to hand over the shard to another instance."""
        self._draining = True

    def handle_resume(self) -> None:
        """Requires a confirmation after the process was paused.

        Another primary may have been assigned during the pause.
        """
        self._confirmations.mark_unconfirmed()
        if self.is_primary:
            self._session.request_read()

    def request_document(self, *, write: bool, now_ms: int) -> None:
        """Requests a write or a read of the document."""
        if write:
            self._session.schedule_write(now_ms)
        else:
            self._session.request_read()

    def dispatch(
        self,
        factory: registries.RegistryFactory,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Passes a message to its registry, or redirects the sender."""
        if self.is_primary:
            registry = self._registries.by_name[factory.name]
            yield from self._process(
                factory.name, registry.handle(message, sender, now_ms), now_ms
            )
        else:
            pending = pending_messages.PendingMessage(
                factory, message, sender, now_ms
            )
            yield from self._redirect(pending, now_ms)
        yield from self._flush(now_ms)

    def apply_document_response(
        self, response: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Applies a response of the platform's service."""
        result = self._session.apply_response(response, now_ms)
        if result is document_session.ResponseResult.UPDATED:
            yield from self._apply_document(now_ms)
        elif (
            result is document_session.ResponseResult.FAILED and self.is_primary
        ):
            for name, registry in self._registries.items():
                unavailable = registry.handle_service_failure(now_ms)
                yield from self._process(name, unavailable, now_ms)
        yield from self._flush(now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Performs the periodic work of the shard."""
        yield from self.edits.take_expired(now_ms)
        if self.is_primary:
            for name, registry in self._registries.items():
                yield from self._process(name, registry.tick(now_ms), now_ms)
            yield from self._maintain_backup(now_ms)
            if self._draining and self._is_last_in_zone():
                for name, registry in self._registries.items():
                    yield from self._process(
                        name, registry.vacate(now_ms), now_ms
                    )
            for name, waiting in self._confirmations.take_expired(now_ms):
                yield from self._process(name, waiting.otherwise, now_ms)
        else:
            self._monitor_primary(now_ms)
            yield from self._process_pending_messages(now_ms)
        yield from self._reports.send_due(
            self._assignments.primary(self._zone_shard), now_ms
        )
        yield from self._flush(now_ms)

    def install_batch(
        self,
        batch: messages.Replicate,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Installs a batch of the primary's records at the backup."""
        known_epoch = self._known_epoch()
        if self.is_primary and batch.epoch > self._epoch:
            self._session.request_read()
        if batch.epoch < known_epoch or not self._accepts_batch(batch):
            refusal = messages.ReplicateRefused(
                place=self._zone_shard,
                stream_id=batch.stream_id,
                known_epoch=known_epoch,
            )
            yield effects.Send(recipient=sender, message=refusal)
            return
        if self._copy.is_new_stream(batch):
            self._registries.clear()
        if batch.sequence > self._copy.sequence or self._copy.is_new_stream(
            batch
        ):
            self._registries.install(batch.records)
        self._copy.record_installed(batch)
        yield effects.Send(
            recipient=sender,
            message=messages.ReplicateAck(
                place=self._zone_shard,
                stream_id=batch.stream_id,
                sequence=batch.sequence,
            ),
        )

    def acknowledge_batch(
        self, ack: messages.ReplicateAck, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Releases the effects that waited for a batch."""
        stream = self._backup_manager.stream
        if stream is None or ack.stream_id != stream.stream_id:
            return
        for name, waiting in list(stream.acknowledge(ack.sequence)):
            yield from self._release(name, waiting, now_ms)
        if stream.has_full_copy and not stream.is_named:
            self._session.schedule_write(now_ms)
        yield from self._flush(now_ms)

    def handle_refusal(
        self, refusal: messages.ReplicateRefused, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Reads the document if the receiver has a newer epoch."""
        if self.is_primary and refusal.known_epoch > self._epoch:
            self._session.request_read()
            yield from self._flush(now_ms)

    def apply_final_report(
        self,
        report: messages.FinalReport,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Applies the final report of a former primary."""
        if not self.is_primary or report.epoch >= self._epoch:
            return
        for name, _ in self._registries.items():
            resolved = self._registries.apply_final_records(
                name, report, now_ms
            )
            yield from self._process(name, resolved, now_ms)
        ack = messages.FinalReportAck(
            place=self._zone_shard, epoch=report.epoch
        )
        sent = effects.Send(recipient=sender, message=ack)
        yield from self._process(
            next(iter(self._registries.by_name)),
            (registries.AfterReplication(then=(sent,)),),
            now_ms,
        )
        yield from self._flush(now_ms)

    def acknowledge_report(self, ack: messages.FinalReportAck) -> None:
        """Removes a report that the successor acknowledged."""
        self._reports.acknowledge(ack.epoch)

    def _is_last_in_zone(self) -> bool:
        """Returns whether no other instance of the zone can take over."""
        live = self._fleet.live_in_zone(self._zone_shard.availability_zone)
        return set(live) <= {self._instance_id}

    def _is_vacant(self) -> bool:
        return all(
            registry.is_vacant() for _, registry in self._registries.items()
        )

    def _accepts_batch(self, batch: messages.Replicate) -> bool:
        return not self.is_primary and self._copy.accepts(batch)

    def _known_epoch(self) -> identifiers.Epoch:
        known = self._assignments.get(self._zone_shard)
        return max(
            known.epoch if known else identifiers.Epoch(0),
            identifiers.Epoch(self._retired_epoch + 1),
            self._copy.epoch,
        )

    def _apply_document(self, now_ms: int) -> Iterator[effects.Effects]:
        document = self._session.document
        shard = self._zone_shard.shard
        for (
            zone,
            assignment,
        ) in document.assignment_by_availability_zone.items():
            zone_shard = assignments.ZoneShard(
                shard=shard, availability_zone=zone
            )
            self._assignments.merge(zone_shard, assignment)
        yield from self.edits.take_decided(document)
        yield from self._apply_assignment(now_ms)
        if self.is_primary:
            for name, waiting in self._confirmations.take_confirmed():
                yield from self._process(name, waiting.then, now_ms)
            for name, registry in self._registries.items():
                applied = registry.apply_document(document, now_ms)
                yield from self._process(name, applied, now_ms)
        yield from self._process_pending_messages(now_ms)

    def _apply_assignment(self, now_ms: int) -> Iterator[effects.Effects]:
        current = self._session.document.assignment(
            self._zone_shard.availability_zone
        )
        if current is None:
            return
        if self.is_primary and current.epoch > self._epoch:
            yield from self._step_down(current, now_ms)
        if self.is_primary:
            released = self._backup_manager.apply_document_backup(
                current.backup
            )
            if self._backup_manager.stream is None:
                self._registries.set_backup_required(required=False)
            yield from self._release_all(released, now_ms)
        elif self._is_newly_named(current):
            yield from self._activate(current, now_ms)

    def _is_newly_named(self, current: assignments.Assignment) -> bool:
        return (
            current.primary == self._instance_id
            and current.epoch > self._retired_epoch
        )

    def _activate(
        self, current: assignments.Assignment, now_ms: int
    ) -> Iterator[effects.Effects]:
        inherits = current.inherited_epoch == self._copy.epoch
        if not inherits:
            self._registries.clear()
            if current.inherited_epoch is not None:
                current = registry_set.without_inherited_copy(current, now_ms)
        self._epoch = current.epoch
        self._copy = replication.CopyState()
        self._suspected_since_ms = None
        self._registries.set_backup_required(required=False)
        logging.info(
            "event=shard_assumed shard=%s zone=%s epoch=%s with_copy=%s",
            self._zone_shard.shard,
            self._zone_shard.availability_zone,
            self._epoch,
            inherits,
        )
        for name, registry in self._registries.items():
            promoted = registry.promote(current, now_ms)
            yield from self._process(name, promoted, now_ms)

    def _step_down(
        self, current: assignments.Assignment, now_ms: int
    ) -> Iterator[effects.Effects]:
        epoch, self._epoch = self._epoch, None
        self._retired_epoch = epoch
        self._backup_manager.abandon()
        self._confirmations.clear()
        self._reports.add(epoch, self._registries.final_copies(), now_ms)
        for _, registry in self._registries.items():
            yield from registry.step_down(current.primary, now_ms)
        self._registries.clear()
        logging.info(
            "event=shard_superseded shard=%s zone=%s epoch=%s primary=%s",
            self._zone_shard.shard,
            self._zone_shard.availability_zone,
            epoch,
            current.primary,
        )

    def _maintain_backup(self, now_ms: int) -> Iterator[effects.Effects]:
        released = self._backup_manager.maintain(
            epoch=self._epoch,
            in_doubt=self._session.is_in_doubt,
            now_ms=now_ms,
        )
        if self._backup_manager.stream_started:
            self._registries.set_backup_required(required=True)
            self._backup_manager.stream.mark_changed(
                self._registries.record_names()
            )
            self._backup_manager.stream_started = False
        elif self._backup_manager.stream is None:
            self._registries.set_backup_required(required=False)
        yield from self._release_all(released, now_ms)
        if self._backup_manager.differs_from_document or self._can_hand_over():
            self._session.schedule_write(now_ms)

    def _can_hand_over(self) -> bool:
        stream = self._backup_manager.stream
        return (
            self._draining
            and stream is not None
            and stream.is_named
            and self._backup_manager.wanted_backup == stream.recipient
        )

    def _release_all(
        self,
        released: Iterable[tuple[str, registries.AfterReplication]],
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        for name, waiting in released:
            yield from self._release(name, waiting, now_ms)

    def _release(
        self, name: str, effect: registries.AfterReplication, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Releases a replicated effect, or defers it until confirmed."""
        if effect.needs_confirmation and (
            self._confirmations.is_required
            or not self._backup_manager.has_named_backup
        ):
            self._confirmations.add(name, effect, now_ms)
        else:
            yield from self._process(name, effect.then, now_ms)

    def _process(
        self,
        name: str,
        decided: Iterable[effects.Effects],
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        stream = self._backup_manager.stream
        for effect in list(decided):
            match effect:
                case registries.RecordChanged():
                    if stream is not None:
                        record = replication.RecordName(name, effect.record_id)
                        stream.mark_changed((record,))
                case registries.AfterReplication():
                    if self._backup_manager.release_or_defer(name, effect):
                        yield from self._release(name, effect, now_ms)
                case registries.ReplicationNotice():
                    applied = self._registries.by_name[name].apply_notice(
                        effect, now_ms
                    )
                    yield from self._process(name, applied, now_ms)
                case registries.DocumentRequested():
                    self._apply_document_request(effect, now_ms)
                case _:
                    yield effect

    def _apply_document_request(
        self, wanted: registries.DocumentRequested, now_ms: int
    ) -> None:
        if wanted.fresh:
            self._session.request_read()
        self._session.schedule_write(now_ms + wanted.max_delay_ms)

    def _flush(self, now_ms: int) -> Iterator[effects.Effects]:
        stream = self._backup_manager.stream
        if self.is_primary and stream is not None:
            yield from stream.flush(self._registries.copy, now_ms)
        yield from self._session.poll(
            functools.partial(self._edit_document, now_ms=now_ms), now_ms
        )

    def _edit_document(
        self, document: documents.ShardDocument, *, now_ms: int
    ) -> documents.ShardDocument:
        document = self.edits.apply_to(document)
        zone = self._zone_shard.availability_zone
        current = document.assignment(zone)
        if not self.is_primary:
            if self._should_take_over(now_ms):
                taken = registry_set.next_assignment(
                    current,
                    primary=self._instance_id,
                    inherits=self._inherits(current),
                    now_ms=now_ms,
                )
                document = document.with_assignment(zone, taken)
            return document
        if current is None or current.epoch != self._epoch:
            return document
        document = document.with_assignment(
            zone, self._updated_assignment(current, now_ms)
        )
        return self._registries.edit_document(document, now_ms)

    def _inherits(self, current: assignments.Assignment | None) -> bool:
        return (
            current is not None
            and current.backup == self._instance_id
            and current.epoch == self._copy.epoch
        )

    def _updated_assignment(
        self, current: assignments.Assignment, now_ms: int
    ) -> assignments.Assignment:
        if self._can_hand_over() and current.backup == (
            self._backup_manager.wanted_backup
        ):
            return registry_set.next_assignment(
                current, primary=current.backup, inherits=True, now_ms=now_ms
            )
        backup = self._backup_manager.wanted_backup
        if backup == current.backup:
            return current
        return msgspec.structs.replace(
            current, backup=backup, version=current.version + 1
        )

    def _redirect(
        self, pending: pending_messages.PendingMessage, now_ms: int
    ) -> Iterator[effects.Effects]:
        if now_ms - self._session.read_at_ms > REFRESH_MS:
            self._session.request_read()
        if self._session.document is None:
            self._pending_messages.add(pending)
            return
        proposal = self._proposal(now_ms)
        if self._should_take_over(now_ms):
            self._pending_messages.add(pending)
            self._session.schedule_write(now_ms)
            return
        yield from pending.redirect(proposal.primary)

    def _process_pending_messages(
        self, now_ms: int
    ) -> Iterator[effects.Effects]:
        for pending in self._pending_messages.take_all():
            if self.is_primary:
                registry = self._registries.by_name[pending.factory.name]
                handled = registry.handle(
                    pending.message, pending.sender, now_ms
                )
                yield from self._process(pending.factory.name, handled, now_ms)
            elif pending.is_fresh(now_ms):
                yield from self._redirect(pending, now_ms)
            else:
                yield from pending.redirect(
                    self._assignments.primary(self._zone_shard)
                )

    def _proposal(self, now_ms: int) -> succession.Proposal:
        since_ms = self._suspected_since_ms
        return succession.propose(
            self._zone_shard,
            self._assignments.get(self._zone_shard),
            instance_id=self._instance_id,
            copy_epoch=self._copy.epoch,
            fleet=self._fleet,
            suspected_for_ms=0 if since_ms is None else now_ms - since_ms,
        )

    def _should_take_over(self, now_ms: int) -> bool:
        step = self._proposal(now_ms).step
        return step in _TAKE_OVER and not self._draining

    def _monitor_primary(self, now_ms: int) -> None:
        current = self._assignments.get(self._zone_shard)
        if current is None and not (
            self.must_be_served or self._has_accounts()
        ):
            return
        if current is not None and self._is_alive(current):
            self._suspected_since_ms = None
            return
        if self._suspected_since_ms is None:
            self._suspected_since_ms = now_ms
        if not self._should_take_over(now_ms):
            return
        if now_ms - self._session.read_at_ms > REFRESH_MS:
            self._session.request_read()
        self._session.schedule_write(now_ms)

    def _has_accounts(self) -> bool:
        document = self._session.document
        return document is not None and bool(document.account_by_budget_id)

    def _is_alive(self, current: assignments.Assignment) -> bool:
        return not self._fleet.is_suspected(current.primary)

    def __repr__(self) -> str:
        return (
            f"ShardReplica({self._zone_shard.shard}, epoch={self._epoch}, "
            f"copy={self._copy})"
        )


_TAKE_OVER = frozenset({succession.Step.ASSUME, succession.Step.PROMOTE})
