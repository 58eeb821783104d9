"""The account records of one shard in one availability zone."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import functools

from bambooglade.budgets import account as accounts
from bambooglade.budgets import account_effects
from bambooglade.budgets import account_state
from bambooglade.budgets import ended_reservations
from bambooglade.budgets import inspection
from bambooglade.budgets import messages
from bambooglade.budgets import recalls
from bambooglade.budgets import records
from bambooglade.budgets import refill_policy
from bambooglade.budgets import refusals
from bambooglade.budgets import release as releases
from bambooglade.budgets import replication_notices
from bambooglade.budgets import reserve_share
from bambooglade.budgets import responses
from bambooglade.budgets import settlement
from bambooglade.budgets import spend_limits
from bambooglade.budgets import usage_limit
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import view as fleet_view
from bambooglade.shards import assignments
from bambooglade.shards import document as documents
from bambooglade.shards import registry as registries
from bambooglade.table import view

SETTLED_WRITE_DELAY_MS = 10_000
"""Maximum delay of a write that only changes the settled counter."""

REFILL_WRITE_DELAY_MS = 500
"""Maximum delay of a refill for which no request waits."""


class AccountRegistry(registries.RecordRegistry):
    """Reserves, settles, refills and returns the rights of budgets.

    Args:
        zone_shard: The shard and zone.
        assignment_map: Finds the primaries of the other zones.
        table: Rows with the reserve shares and the spend limits.
        zone_count: Number of availability zones of the deployment.
        fleet: Reports suspected entry instances; None to suspect none of them.

    See Also:
        bambooglade.budgets.account: the counters of one account.
        bambooglade.budgets.settlement: idempotent settlement across promotions.
    """

    __slots__ = (
        "_assignments",
        "_document",
        "_ended_reservations",
        "_epoch",
        "_fleet",
        "_needs_backup",
        "_service_failures",
        "_state_by_budget_id",
        "_table",
        "_uncopied_epoch",
        "_vacating",
        "_zone_count",
        "_zone_shard",
    )

    def __init__(
        self,
        *,
        zone_shard: assignments.ZoneShard,
        assignment_map: assignments.AssignmentMap,
        table: view.TableView,
        zone_count: int,
        fleet: fleet_view.FleetView | None = None,
    ) -> None:
        self._zone_shard = zone_shard
        self._assignments = assignment_map
        self._table = table
        self._zone_count = zone_count
        self._fleet = fleet
        self._epoch = identifiers.Epoch(0)
        self._uncopied_epoch: identifiers.Epoch | None = None
        self._needs_backup = False
        self._vacating = False
        self._service_failures = 0
        self._document: documents.ShardDocument | None = None
        self._ended_reservations = ended_reservations.EndedReservations()
        self._state_by_budget_id: dict[
            identifiers.BudgetId, account_state.AccountState
        ] = {}

    def states(self) -> Iterable[account_state.AccountState]:
        """Returns the states of all accounts in this registry."""
        return self._state_by_budget_id.values()

    def state(
        self, budget_id: identifiers.BudgetId
    ) -> account_state.AccountState | None:
        """Returns the state of an account, or None if it is not present."""
        return self._state_by_budget_id.get(budget_id)

    # Messages.

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a message; called at the primary only."""
        yield from self._handle(message, sender, now_ms)

    @functools.singledispatchmethod
    def _handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        return iter(())

    @_handle.register
    def _(
        self,
        message: messages.Reserve,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        state = self._get_or_create_state(message.budget_id)
        number = state.account.number_by_id.get(message.reservation_id)
        if number is not None:
            yield responses.reserved(
                message, number, sender, self._zone_shard.availability_zone
            )
            return
        if self._ended_reservations.contains(
            message.reservation_id, message.budget_id
        ):
            return
        if not state.is_waiting(message.reservation_id):
            state.meter.add(message.bound_tokens)
            waiter = account_state.Waiter(message, sender, now_ms)
            state.waiters.append(waiter)
            yield from self._process_waiters(state, now_ms)

    @_handle.register
    def _(
        self,
        message: messages.Settle,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        state = self._get_or_create_state(message.budget_id)
        if message.epoch > self._epoch:
            yield registries.DocumentRequested(fresh=True)
            return
        if message.epoch == messages.UNKNOWN_EPOCH:
            state.stop_waiting(message.reservation_id)
            result = settlement.settle_by_id(
                state.account, message.reservation_id
            )
        else:
            result = settlement.settle(state.account, message)
        self._ended_reservations.add(
            message.reservation_id, message.budget_id, now_ms
        )
        settled = messages.Settled(
            reservation_id=message.reservation_id,
            budget_id=message.budget_id,
            epoch=message.epoch,
            sequence=message.sequence,
        )
        yield from account_effects.settlement_effects(state.account, result)
        sent = effects.Send(recipient=sender, message=settled)
        yield registries.AfterReplication(then=(sent,))
        yield registries.DocumentRequested(max_delay_ms=SETTLED_WRITE_DELAY_MS)

    @_handle.register
    def _(
        self,
        message: messages.Reduce,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        state = self._get_or_create_state(message.budget_id)
        result = settlement.reduce(state.account, message)
        if result is None:
            return
        record_id = records.reservation_record_id(
            message.budget_id, result.number
        )
        yield registries.RecordChanged(record_id=record_id)
        yield from account_effects.account_changed(state.account)
        notice = replication_notices.RightsFreed(
            budget_id=message.budget_id, tokens=result.tokens
        )
        yield registries.AfterReplication(then=(notice,))

    @_handle.register
    def _(
        self,
        message: messages.RecallRights,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        state = self._get_or_create_state(message.budget_id)
        zone = self._zone_shard.availability_zone
        tokens = recalls.start_return(state, message, sender, zone)
        if tokens == 0:
            yield recalls.recall_response(state, zone, sender, 0)
            return
        yield from account_effects.account_changed(state.account)
        notice = replication_notices.LimitLowered(
            budget_id=message.budget_id,
            limit=state.account.proposed_limit,
            generation=state.account.generation,
            writes_document=True,
        )
        yield registries.AfterReplication(then=(notice,))

    @_handle.register
    def _(
        self,
        message: messages.RecallAnswered,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        state = self._get_or_create_state(message.budget_id)
        recall = state.recall_by_zone.get(message.availability_zone)
        if recall is None:
            return
        recall.response = message
        if message.returned_tokens > 0:
            yield registries.DocumentRequested(fresh=True)
        yield from self._process_waiters(state, now_ms)

    @_handle.register
    def _(
        self,
        message: inspection.DescribeAccount,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        description = inspection.describe(
            self._get_or_create_state(message.budget_id).account,
            message,
            self._zone_shard.availability_zone,
        )
        yield effects.Send(recipient=sender, message=description)

    @_handle.register
    def _(
        self,
        message: inspection.ReleaseHeld,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        state = self._get_or_create_state(message.budget_id)
        recorded, released = releases.release_once(state.account, message)
        if released is not None:
            for record in released.evicted:
                yield registries.RecordChanged(record_id=record.record_id)
            yield from account_effects.account_changed(state.account)
            notice = replication_notices.RightsFreed(
                budget_id=message.budget_id, tokens=released.tokens
            )
            yield registries.AfterReplication(then=(notice,))
        response = inspection.HeldReleased(
            question_id=message.question_id,
            budget_id=message.budget_id,
            released_tokens=recorded.tokens,
        )
        sent = effects.Send(recipient=sender, message=response)
        yield registries.AfterReplication(then=(sent,))

    # Replication.

    def apply_notice(
        self, notice: registries.ReplicationNotice, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Applies a notice after the changes before it were copied."""
        state = self._get_or_create_state(notice.budget_id)
        replication_notices.apply(notice, state.account)
        if (
            isinstance(notice, replication_notices.LimitLowered)
            and notice.writes_document
        ):
            yield registries.DocumentRequested()
        yield from self._process_waiters(state, now_ms)

    def set_backup_required(self, *, required: bool) -> None:
        """Sets whether a backup has to acknowledge the primary's changes."""
        self._needs_backup = required
        for state in self.states():
            state.account.set_backup_required(required=required)

    def record(self, record_id: str) -> registries.Record | None:
        """Returns a record to copy, or None if it was evicted."""
        kind, _, rest = record_id.partition("|")
        if kind == "account":
            state = self.state(identifiers.BudgetId(rest))
            return state.account.record() if state else None
        epoch, sequence, budget_id = rest.split("|", 2)
        state = self.state(identifiers.BudgetId(budget_id))
        number = records.ReservationNumber(
            identifiers.Epoch(int(epoch)), int(sequence)
        )
        return state.account.open_by_number.get(number) if state else None

    def records(self) -> Iterator[registries.Record]:
        """Yields all records, for a full copy."""
        for state in self.states():
            yield state.account.record()
            yield from state.account.open_by_number.values()

    def install(self, record: registries.Record) -> None:
        """Installs a copied record unless a newer version is present."""
        account = self._get_or_create_state(record.budget_id).account
        if isinstance(record, records.ReservationRecord):
            account.add_open(record)
        elif record.version >= account.version:
            account.install(record)

    def evict(self, record_id: str) -> None:
        """Drops a copied reservation that the primary evicted."""
        record = self.record(record_id)
        if isinstance(record, records.ReservationRecord):
            account = self._get_or_create_state(record.budget_id).account
            account.remove_open(record.number)

    def promote(
        self, assignment: assignments.Assignment, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Starts serving as the primary of a new epoch."""
        self._epoch = assignment.epoch
        inherited = assignment.inherited_epoch
        if inherited is None:
            self._uncopied_epoch = identifiers.Epoch(assignment.epoch - 1)
            return
        for state in self.states():
            settlement.hold_inherited(
                state.account, inherited, assignment.epoch
            )
            yield from account_effects.account_changed(state.account)

    def final_records(self) -> Iterator[registries.Record]:
        """Yields the records that a former primary reports to its successor."""
        for state in self.states():
            known = state.account.open_by_number | (
                state.account.settling_by_number
            )
            yield from (
                record
                for number, record in known.items()
                if number.epoch == self._epoch
            )

    def apply_final_records(
        self,
        epoch: identifiers.Epoch,
        records: Iterable[registries.Record],
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Applies the final records of a former primary."""
        by_budget_id: dict[identifiers.BudgetId, list[registries.Record]] = {}
        for record in records:
            by_budget_id.setdefault(record.budget_id, []).append(record)
        for state in list(self.states()):
            reported = by_budget_id.get(state.account.budget_id, ())
            freed = settlement.apply_final_records(
                state.account, epoch, reported
            )
            for record in reported:
                yield registries.RecordChanged(record_id=record.record_id)
            yield from account_effects.account_changed(state.account)
            yield registries.AfterReplication(
                then=(
                    replication_notices.RightsFreed(
                        budget_id=state.account.budget_id, tokens=freed
                    ),
                )
            )

    def step_down(
        self, primary: identifiers.InstanceId | None, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Redirects the waiting requests to the new primary."""
        for state in self.states():
            for waiter in state.waiters:
                yield responses.redirected(waiter, primary)

    # Document of the shard.

    def apply_document(
        self, document: documents.ShardDocument, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Applies a newer document of the shard; called at the primary."""
        self._document = document
        self._service_failures = 0
        zone = self._zone_shard.availability_zone
        for budget_id, ledger in document.account_by_budget_id.items():
            share = reserve_share.reserve_share(self._table, budget_id)
            if ledger.counters(zone).granted or share > 0:
                self._get_or_create_state(budget_id)
        for state in list(self.states()):
            yield from self._apply_ledger(state, document, now_ms)
        self._uncopied_epoch = None

    def handle_service_failure(self, now_ms: int) -> Iterator[effects.Effects]:
        """Counts a failed request to the platform's service."""
        self._service_failures += 1
        for state in list(self.states()):
            if state.waiters:
                yield from self._process_waiters(state, now_ms)

    def edit_document(
        self, document: documents.ShardDocument, now_ms: int
    ) -> documents.ShardDocument:
        """Returns the document with the current counters of this zone."""
        zone = self._zone_shard.availability_zone
        for state in self.states():
            budget_id = state.account.budget_id
            ledger = spend_limits.account_with_limit(
                self._table, budget_id, document.account_by_budget_id
            )
            if ledger is None:
                continue
            document = document.with_account(budget_id, ledger)
            counters = ledger.counters(zone)
            changed = self._updated_counters(state, ledger, counters)
            if changed != counters:
                document = document.with_account(
                    budget_id, ledger.with_counters(zone, changed)
                )
        return document

    def vacate(self, now_ms: int) -> Iterator[effects.Effects]:
        """Returns unused rights before the last instance of the zone stops."""
        del now_ms
        self._vacating = True
        for state in self.states():
            account = state.account
            if not account.needs_backup and account.unused > 0:
                account.return_rights(account.unused)
        yield registries.DocumentRequested()

    def is_vacant(self) -> bool:
        """Returns whether all of the zone's rights are settled."""
        return all(map(self._is_vacant, self.states()))

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Evicts ended reservations and processes accounts with waiters."""
        self._ended_reservations.evict_expired(now_ms)
        for state in list(self.states()):
            state.meter.tick(now_ms)
            if state.waiters:
                yield from self._process_waiters(state, now_ms)

    # Operations on one account.

    def _is_vacant(self, state: account_state.AccountState) -> bool:
        if state.ledger is None:
            return state.account.granted == 0
        counters = state.ledger.counters(self._zone_shard.availability_zone)
        return counters.outstanding == counters.settled

    def _apply_ledger(
        self,
        state: account_state.AccountState,
        document: documents.ShardDocument,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        account = state.account
        state.ledger = document.account_by_budget_id.get(account.budget_id)
        state.ledger_read_ms = now_ms
        if state.ledger is not None:
            zone = self._zone_shard.availability_zone
            account.merge_counters(state.ledger.counters(zone))
            if self._uncopied_epoch is not None:
                settlement.hold_all_unsettled(account, self._uncopied_epoch)
            yield from recalls.complete_returns(state, zone)
        yield from self._process_waiters(state, now_ms)

    def _updated_counters(
        self,
        state: account_state.AccountState,
        ledger: documents.Account,
        counters: documents.ZoneCounters,
    ) -> documents.ZoneCounters:
        account = state.account
        granted = counters.granted
        if not state.pending_return_by_zone and not self._vacating:
            wanted = refill_policy.grant(self._refill_inputs(state))
            granted += min(wanted, max(0, ledger.free_tokens))
        returned = counters.returned
        if account.can_write_returned:
            returned = max(returned, account.returned)
        return documents.ZoneCounters(
            granted=granted,
            returned=returned,
            settled=max(counters.settled, account.replicated_settled),
        )

    def _process_waiters(
        self, state: account_state.AccountState, now_ms: int
    ) -> Iterator[effects.Effects]:
        yield from self._reserve_for_waiters(state)
        yield from usage_limit.adjust(state)
        if state.waiters:
            yield from self._request_rights(state, now_ms)
            yield from self._refuse_waiters(state, now_ms)
        elif not self._vacating and refill_policy.is_low(
            self._refill_inputs(state)
        ):
            yield registries.DocumentRequested(
                max_delay_ms=REFILL_WRITE_DELAY_MS
            )

    def _reserve_for_waiters(
        self, state: account_state.AccountState
    ) -> Iterator[effects.Effects]:
        account = state.account
        for waiter in list(state.waiters):
            request = waiter.request
            if request.bound_tokens > account.free:
                continue
            state.waiters.remove(waiter)
            record = account.reserve(
                request.reservation_id, request.bound_tokens
            )
            yield registries.RecordChanged(record_id=record.record_id)
            yield from account_effects.account_changed(account)
            yield responses.reserved(
                request,
                record.number,
                waiter.sender,
                self._zone_shard.availability_zone,
            )

    def _request_rights(
        self, state: account_state.AccountState, now_ms: int
    ) -> Iterator[effects.Effects]:
        if state.waiting_tokens <= state.account.unused:
            return
        newest_ms = state.waiters[-1].since_ms
        if not state.has_fresh_ledger(newest_ms):
            yield registries.DocumentRequested(fresh=True)
        elif self._limit_pending(state) or (
            state.ledger is not None and state.ledger.free_tokens > 0
        ):
            yield registries.DocumentRequested()
        yield from recalls.send_recalls(
            state, self._zone_shard, self._assignments, now_ms
        )

    def _refuse_waiters(
        self, state: account_state.AccountState, now_ms: int
    ) -> Iterator[effects.Effects]:
        context = refusals.RefusalContext(
            self._zone_shard.availability_zone,
            self._service_failures,
            self._limit_pending(state),
        )
        for waiter in list(state.waiters):
            refusal = refusals.refusal(state, waiter, context, now_ms)
            if refusal is None:
                continue
            state.waiters.remove(waiter)
            yield responses.refused(waiter, refusal)

    def _refill_inputs(
        self, state: account_state.AccountState
    ) -> refill_policy.RefillInputs:
        return state.refill_inputs(
            reserve_share=reserve_share.reserve_share(
                self._table, state.account.budget_id
            ),
            zone_count=self._zone_count,
        )

    def _limit_pending(self, state: account_state.AccountState) -> bool:
        if self._document is None:
            return False
        by_budget_id = self._document.account_by_budget_id
        limited = spend_limits.account_with_limit(
            self._table, state.account.budget_id, by_budget_id
        )
        return limited != by_budget_id.get(state.account.budget_id)

    def _get_or_create_state(
        self, budget_id: identifiers.BudgetId
    ) -> account_state.AccountState:
        state = self._state_by_budget_id.get(budget_id)
        if state is None:
            account = accounts.ZoneAccount(
                budget_id=budget_id, epoch=self._epoch
            )
            account.set_backup_required(required=self._needs_backup)
            state = account_state.AccountState(account=account)
            if self._fleet is not None:
                state.is_suspected = self._fleet.is_suspected
            self._state_by_budget_id[budget_id] = state
        return state

    def __repr__(self) -> str:
        return (
            f"AccountRegistry({self._zone_shard.shard}, epoch={self._epoch}, "
            f"accounts={len(self._state_by_budget_id)})"
        )
