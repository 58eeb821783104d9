"""One shard at one instance: primary, backup or neither.

The document names the pair; this class follows it. As the primary it gives
messages to the books and releases what they yield once the backup has a copy.

See Also:
    bambooglade.shards.succession: who proposes itself as the next primary.
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
from bambooglade.shards import confirmations
from bambooglade.shards import demands
from bambooglade.shards import document as documents
from bambooglade.shards import document_session
from bambooglade.shards import edits
from bambooglade.shards import final_reports
from bambooglade.shards import messages
from bambooglade.shards import pairing
from bambooglade.shards import registry as books
from bambooglade.shards import registry_set
from bambooglade.shards import replication
from bambooglade.shards import succession

REFRESH_MS = 1_000
"""A document older than this is read again before it is relied upon."""


class ShardReplica:
    """Follows the document of one shard and serves it when named.

    Args:
        instance_id: This instance.
        place: The shard, in the zone of the instance.
        factories: Create the books.
        assignment_map: Learns all assignments that are seen.
        fleet: Whom this instance believes to be alive.

    Attributes:
        edits: Top-ups that this instance was asked for.
        is_wanted: Whether the place is to be served without a request for it.
    """

    __slots__ = (
        "_assignments",
        "_books",
        "_confirmations",
        "_copy",
        "_demands",
        "_draining",
        "_epoch",
        "_fleet",
        "_instance_id",
        "_pairing",
        "_place",
        "_reports",
        "_retired_epoch",
        "_session",
        "_suspected_since_ms",
        "edits",
        "is_wanted",
    )

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        place: assignments.ZoneShard,
        factories: tuple[books.RegistryFactory, ...],
        assignment_map: assignments.AssignmentMap,
        fleet: view.FleetView,
    ) -> None:
        self._instance_id = instance_id
        self._place = place
        self._assignments = assignment_map
        self._fleet = fleet
        self._session = document_session.DocumentSession(
            key=documents.document_key(place.shard), owner=instance_id
        )
        self._books = registry_set.RegistrySet(place, factories)
        self._copy = replication.CopyState()
        self._demands = demands.Demands()
        self._reports = final_reports.FinalReports(place)
        self._pairing = pairing.Pairing(place, instance_id, fleet)
        self._epoch: identifiers.Epoch | None = None
        self._retired_epoch = identifiers.Epoch(0)
        self._suspected_since_ms: int | None = None
        self._draining = False
        self._confirmations = confirmations.Confirmations(self._session)
        self.edits = edits.PendingEdits()
        self.is_wanted = False

    @property
    def is_primary(self) -> bool:
        """Whether this instance decides for the place, as far as it knows."""
        return self._epoch is not None

    @property
    def is_drained(self) -> bool:
        """Whether nothing is left to hand over or to give back."""
        if self.is_primary:
            return self._is_last() and self._is_vacant()
        return self._reports.is_empty

    @property
    def document(self) -> documents.ShardDocument | None:
        """The newest known document; None before it was read."""
        return self._session.document

    def registry(self, name: str) -> books.RecordRegistry:
        """Returns the book of a kind."""
        return self._books.by_name[name]

    def begin_drain(self) -> None:
        """Hands the place over to another instance as soon as possible."""
        self._draining = True

    def resumed(self) -> None:
        """Learns that the process was paused until now.

        Its pair may have been displaced meanwhile without knowing.
        """
        self._confirmations.resumed()
        if self.is_primary:
            self._session.want_read()

    def want_document(self, *, write: bool, now_ms: int) -> None:
        """Asks for the document to be read again, or to be edited."""
        if write:
            self._session.want_write(now_ms)
        else:
            self._session.want_read()

    def demand(
        self,
        factory: books.RegistryFactory,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Gives a message to the book, or sends its sender elsewhere."""
        if self.is_primary:
            book = self._books.by_name[factory.name]
            yield from self._process(
                factory.name, book.handle(message, sender, now_ms), now_ms
            )
        else:
            demand = demands.Demand(factory, message, sender, now_ms)
            yield from self._redirect(demand, now_ms)
        yield from self._flush(now_ms)

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Goes on after an answer of the platform's service."""
        progress = self._session.answered(answer, now_ms)
        if progress is document_session.Progress.SEEN:
            yield from self._document_seen(now_ms)
        elif progress is document_session.Progress.FAILED and self.is_primary:
            for name, book in self._books.items():
                unavailable = book.document_unavailable(now_ms)
                yield from self._process(name, unavailable, now_ms)
        yield from self._flush(now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Does what is due."""
        yield from self.edits.expired(now_ms)
        if self.is_primary:
            for name, book in self._books.items():
                yield from self._process(name, book.tick(now_ms), now_ms)
            yield from self._tend_pair(now_ms)
            if self._draining and self._is_last():
                for name, book in self._books.items():
                    yield from self._process(name, book.vacate(now_ms), now_ms)
            for name, waiting in self._confirmations.take_expired(now_ms):
                yield from self._process(name, waiting.otherwise, now_ms)
        else:
            self._watch_pair(now_ms)
            yield from self._answer_demands(now_ms)
        yield from self._reports.due(
            self._assignments.primary(self._place), now_ms
        )
        yield from self._flush(now_ms)

    def replicate(
        self,
        batch: messages.Replicate,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Installs a batch of the primary's records, as its backup."""
        known_epoch = self._known_epoch()
        if self.is_primary and batch.epoch > self._epoch:
            self._session.want_read()
        if batch.epoch < known_epoch or not self._accepts(batch):
            refused = messages.ReplicateRefused(
                place=self._place,
                stream_id=batch.stream_id,
                known_epoch=known_epoch,
            )
            yield effects.Send(recipient=sender, message=refused)
            return
        if self._copy.starts_anew(batch):
            self._books.clear()
        if batch.sequence > self._copy.sequence or self._copy.starts_anew(
            batch
        ):
            self._books.install(batch.records)
        self._copy.installed(batch)
        yield effects.Send(
            recipient=sender,
            message=messages.ReplicateAck(
                place=self._place,
                stream_id=batch.stream_id,
                sequence=batch.sequence,
            ),
        )

    def acknowledged(
        self, ack: messages.ReplicateAck, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Releases what waited for a batch."""
        stream = self._pairing.stream
        if stream is None or ack.stream_id != stream.stream_id:
            return
        for name, waiting in list(stream.acknowledged(ack.sequence)):
            yield from self._release(name, waiting, now_ms)
        if stream.has_full_copy and not stream.named:
            self._session.want_write(now_ms)
        yield from self._flush(now_ms)

    def refused(
        self, refusal: messages.ReplicateRefused, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Reads the document when the backup knows a newer epoch."""
        if self.is_primary and refusal.known_epoch > self._epoch:
            self._session.want_read()
            yield from self._flush(now_ms)

    def reported(
        self,
        report: messages.FinalReport,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Takes in what a former primary of the place reports."""
        if not self.is_primary or report.epoch >= self._epoch:
            return
        for name, _ in self._books.items():
            resolved = self._books.resolve(name, report, now_ms)
            yield from self._process(name, resolved, now_ms)
        ack = messages.FinalReportAck(place=self._place, epoch=report.epoch)
        sent = effects.Send(recipient=sender, message=ack)
        yield from self._process(
            next(iter(self._books.by_name)),
            (books.AfterReplication(then=(sent,)),),
            now_ms,
        )
        yield from self._flush(now_ms)

    def report_acknowledged(self, ack: messages.FinalReportAck) -> None:
        """Forgets a report that the successor took in."""
        self._reports.acknowledged(ack.epoch)

    def _is_last(self) -> bool:
        """Whether no other instance of the zone can take the place over."""
        live = self._fleet.live_in_zone(self._place.availability_zone)
        return set(live) <= {self._instance_id}

    def _is_vacant(self) -> bool:
        return all(book.is_vacant() for _, book in self._books.items())

    def _accepts(self, batch: messages.Replicate) -> bool:
        return not self.is_primary and self._copy.accepts(batch)

    def _known_epoch(self) -> identifiers.Epoch:
        known = self._assignments.get(self._place)
        return max(
            known.epoch if known else identifiers.Epoch(0),
            identifiers.Epoch(self._retired_epoch + 1),
            self._copy.epoch,
        )

    def _document_seen(self, now_ms: int) -> Iterator[effects.Effects]:
        document = self._session.document
        shard = self._place.shard
        for (
            zone,
            assignment,
        ) in document.assignment_by_availability_zone.items():
            place = assignments.ZoneShard(shard=shard, availability_zone=zone)
            self._assignments.merge(place, assignment)
        yield from self.edits.settled(document)
        yield from self._follow(now_ms)
        if self.is_primary:
            for name, waiting in self._confirmations.take_confirmed():
                yield from self._process(name, waiting.then, now_ms)
            for name, book in self._books.items():
                seen = book.document_seen(document, now_ms)
                yield from self._process(name, seen, now_ms)
        yield from self._answer_demands(now_ms)

    def _follow(self, now_ms: int) -> Iterator[effects.Effects]:
        current = self._session.document.assignment(
            self._place.availability_zone
        )
        if current is None:
            return
        if self.is_primary and current.epoch > self._epoch:
            yield from self._step_down(current, now_ms)
        if self.is_primary:
            released = self._pairing.follow(current.backup)
            if self._pairing.stream is None:
                self._books.replication_required(required=False)
            yield from self._released(released, now_ms)
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
            self._books.clear()
            if current.inherited_epoch is not None:
                current = registry_set.lost_assignment(current, now_ms)
        self._epoch = current.epoch
        self._copy = replication.CopyState()
        self._suspected_since_ms = None
        self._books.replication_required(required=False)
        logging.info(
            "event=shard_assumed shard=%s zone=%s epoch=%s with_copy=%s",
            self._place.shard,
            self._place.availability_zone,
            self._epoch,
            inherits,
        )
        for name, book in self._books.items():
            promoted = book.promote(current, now_ms)
            yield from self._process(name, promoted, now_ms)

    def _step_down(
        self, current: assignments.Assignment, now_ms: int
    ) -> Iterator[effects.Effects]:
        epoch, self._epoch = self._epoch, None
        self._retired_epoch = epoch
        self._pairing.abandon()
        self._confirmations.clear()
        self._reports.add(epoch, self._books.final_copies(), now_ms)
        for _, book in self._books.items():
            yield from book.stepped_down(current.primary, now_ms)
        self._books.clear()
        logging.info(
            "event=shard_superseded shard=%s zone=%s epoch=%s primary=%s",
            self._place.shard,
            self._place.availability_zone,
            epoch,
            current.primary,
        )

    def _tend_pair(self, now_ms: int) -> Iterator[effects.Effects]:
        released = self._pairing.tend(
            epoch=self._epoch,
            in_doubt=self._session.is_in_doubt,
            now_ms=now_ms,
        )
        if self._pairing.started:
            self._books.replication_required(required=True)
            self._pairing.stream.changed(self._books.record_names())
            self._pairing.started = False
        elif self._pairing.stream is None:
            self._books.replication_required(required=False)
        yield from self._released(released, now_ms)
        if self._pairing.differs_from_document or self._may_hand_over():
            self._session.want_write(now_ms)

    def _may_hand_over(self) -> bool:
        stream = self._pairing.stream
        return (
            self._draining
            and stream is not None
            and stream.named
            and self._pairing.wanted_backup == stream.recipient
        )

    def _released(
        self,
        released: Iterable[tuple[str, books.AfterReplication]],
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        for name, waiting in released:
            yield from self._release(name, waiting, now_ms)

    def _release(
        self, name: str, effect: books.AfterReplication, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Carries out what was copied, once the primary is sure of itself."""
        if effect.needs_confirmation and (
            self._confirmations.is_due or not self._pairing.has_named_backup
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
        stream = self._pairing.stream
        for effect in list(decided):
            match effect:
                case books.RecordChanged():
                    if stream is not None:
                        record = replication.RecordName(name, effect.record_id)
                        stream.changed((record,))
                case books.AfterReplication():
                    if self._pairing.release_or_wait(name, effect):
                        yield from self._release(name, effect, now_ms)
                case books.ReplicationNotice():
                    noticed = self._books.by_name[name].replicated(
                        effect, now_ms
                    )
                    yield from self._process(name, noticed, now_ms)
                case books.DocumentWanted():
                    self._want(effect, now_ms)
                case _:
                    yield effect

    def _want(self, wanted: books.DocumentWanted, now_ms: int) -> None:
        if wanted.fresh:
            self._session.want_read()
        self._session.want_write(now_ms + wanted.within_ms)

    def _flush(self, now_ms: int) -> Iterator[effects.Effects]:
        stream = self._pairing.stream
        if self.is_primary and stream is not None:
            yield from stream.flush(self._books.copy, now_ms)
        yield from self._session.poll(
            functools.partial(self._edited, now_ms=now_ms), now_ms
        )

    def _edited(
        self, document: documents.ShardDocument, *, now_ms: int
    ) -> documents.ShardDocument:
        document = self.edits.applied(document)
        zone = self._place.availability_zone
        current = document.assignment(zone)
        if not self.is_primary:
            if self._takes_over(now_ms):
                taken = registry_set.successor(
                    current,
                    primary=self._instance_id,
                    inherits=self._inherits(current),
                    now_ms=now_ms,
                )
                document = document.with_assignment(zone, taken)
            return document
        if current is None or current.epoch != self._epoch:
            return document
        document = document.with_assignment(zone, self._named(current, now_ms))
        return self._books.edit_document(document, now_ms)

    def _inherits(self, current: assignments.Assignment | None) -> bool:
        return (
            current is not None
            and current.backup == self._instance_id
            and current.epoch == self._copy.epoch
        )

    def _named(
        self, current: assignments.Assignment, now_ms: int
    ) -> assignments.Assignment:
        if self._may_hand_over() and current.backup == (
            self._pairing.wanted_backup
        ):
            return registry_set.successor(
                current, primary=current.backup, inherits=True, now_ms=now_ms
            )
        backup = self._pairing.wanted_backup
        if backup == current.backup:
            return current
        return msgspec.structs.replace(
            current, backup=backup, version=current.version + 1
        )

    def _redirect(
        self, demand: demands.Demand, now_ms: int
    ) -> Iterator[effects.Effects]:
        if now_ms - self._session.read_at_ms > REFRESH_MS:
            self._session.want_read()
        if self._session.document is None:
            self._demands.add(demand)
            return
        proposal = self._proposal(now_ms)
        if self._takes_over(now_ms):
            self._demands.add(demand)
            self._session.want_write(now_ms)
            return
        yield from demand.misdirected(proposal.primary)

    def _answer_demands(self, now_ms: int) -> Iterator[effects.Effects]:
        for demand in self._demands.take_all():
            if self.is_primary:
                book = self._books.by_name[demand.factory.name]
                handled = book.handle(demand.message, demand.sender, now_ms)
                yield from self._process(demand.factory.name, handled, now_ms)
            elif demand.is_fresh(now_ms):
                yield from self._redirect(demand, now_ms)
            else:
                yield from demand.misdirected(
                    self._assignments.primary(self._place)
                )

    def _proposal(self, now_ms: int) -> succession.Proposal:
        since_ms = self._suspected_since_ms
        return succession.propose(
            self._place,
            self._assignments.get(self._place),
            instance_id=self._instance_id,
            copy_epoch=self._copy.epoch,
            fleet=self._fleet,
            suspected_for_ms=0 if since_ms is None else now_ms - since_ms,
        )

    def _takes_over(self, now_ms: int) -> bool:
        step = self._proposal(now_ms).step
        return step in _TAKE_OVER and not self._draining

    def _watch_pair(self, now_ms: int) -> None:
        current = self._assignments.get(self._place)
        if current is None and not (self.is_wanted or self._has_accounts()):
            return
        if current is not None and self._is_alive(current):
            self._suspected_since_ms = None
            return
        if self._suspected_since_ms is None:
            self._suspected_since_ms = now_ms
        if not self._takes_over(now_ms):
            return
        if now_ms - self._session.read_at_ms > REFRESH_MS:
            self._session.want_read()
        self._session.want_write(now_ms)

    def _has_accounts(self) -> bool:
        document = self._session.document
        return document is not None and bool(document.account_by_budget_id)

    def _is_alive(self, current: assignments.Assignment) -> bool:
        return not self._fleet.is_suspected(current.primary)

    def __repr__(self) -> str:
        return (
            f"ShardReplica({self._place.shard}, epoch={self._epoch}, "
            f"copy={self._copy})"
        )


_TAKE_OVER = frozenset({succession.Step.ASSUME, succession.Step.PROMOTE})
