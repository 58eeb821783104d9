"""HTTP API of an instance for its peers."""

from __future__ import annotations

from concurrent import futures

import msgspec

from bambooglade.core import event_log
from bambooglade.core import json_documents
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import view as view_lib
from bambooglade.discovery import view_messages
from bambooglade.eventloop import http_server
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.gateway import brittle_replication
from bambooglade.gateway import leaving_replication
from bambooglade.gateway import limit_replication
from bambooglade.gateway import origin_replication
from bambooglade.gateway import request_quarantine
from bambooglade.http1 import messages
from bambooglade.rights import ledger_copies
from bambooglade.rights import lending
from bambooglade.rights import manager as manager_lib
from bambooglade.store import store_era


class PeerApi:
    """Serves the view of the fleet, loans and origins of streams to peers.

    It also takes what peers share: copies of ledgers, suspicions, limits, and
    targets that leave or are busy.

    Args:
        view: View of configuration and targets of this instance.
        era: Era of the store, which peers may have observed first.
        peers: The known peers.
        local_instance: This instance as a peer.
        rights: Rights of this instance, from which loans are granted; keeps
            the copies of ledgers.
        origins: Origins of streams, some of which this instance holds.
        quarantine: Crash suspicions of this instance.
        limits: Request limits of targets that this instance knows.
        leaving: Targets that leave, as this instance knows.
        brittle: Brittle targets that this instance knows.
        log: Records loans.
        loop: The event loop.
    """

    __slots__ = (
        "_brittle",
        "_change_waiters",
        "_era",
        "_leaving",
        "_limits",
        "_local_instance",
        "_log",
        "_loop",
        "_origins",
        "_peers",
        "_quarantine",
        "_rights",
        "_view",
    )

    def __init__(
        self,
        *,
        view: view_lib.FleetView,
        era: store_era.StoreEra,
        peers: peers_lib.PeerList,
        local_instance: peers_lib.Peer,
        rights: manager_lib.RightsManager,
        origins: origin_replication.OriginReplicator,
        quarantine: request_quarantine.RequestQuarantine,
        limits: limit_replication.LimitReplicator,
        leaving: leaving_replication.LeavingReplicator,
        brittle: brittle_replication.BrittleReplicator,
        log: event_log.EventLog,
        loop: loop_lib.EventLoop,
    ) -> None:
        self._view = view
        self._era = era
        self._peers = peers
        self._local_instance = local_instance
        self._rights = rights
        self._origins = origins
        self._quarantine = quarantine
        self._limits = limits
        self._leaving = leaving
        self._brittle = brittle
        self._log = log
        self._loop = loop
        self._change_waiters: list[futures.Future] = []
        view.listeners.append(self._notify_waiters)
        quarantine.listeners.append(self._notify_waiters)

    def handle(
        self, request: messages.Request
    ) -> http_server.Reply | futures.Future:
        """Returns the response to a request of a peer, or a future with it."""
        handlers = {
            view_messages.VIEW_PATH: self._handle_view,
            lending.LOAN_PATH: self._handle_loan,
            lending.REPAYMENT_PATH: self._handle_repayment,
            ledger_copies.PATH: self._handle_ledger_copies,
            origin_replication.RECORD_PATH: self._handle_origins,
            origin_replication.LOOKUP_PATH: self._handle_origin_lookup,
            request_quarantine.PATH: self._handle_suspicions,
            limit_replication.PATH: self._handle_limits,
            leaving_replication.PATH: self._handle_leaving,
            brittle_replication.PATH: self._handle_busy_targets,
        }
        handler = handlers.get(request.path.decode("latin-1"))
        if handler is None or request.method != b"POST":
            return http_server.Reply(404)
        try:
            return handler(request.body)
        except msgspec.DecodeError as error:
            self._log.event("peer_request_malformed", error=error)
            return http_server.Reply(400)

    def _handle_view(self, body: bytes) -> futures.Future:
        request = json_documents.decode(body, view_messages.ViewRequest)
        self._peers.mark_seen([request.asker], now_ms=self._loop.now_ms())
        return tasks.spawn(self._respond_with_view(request))

    def _respond_with_view(
        self, request: view_messages.ViewRequest
    ) -> tasks.Task:
        """Responds once there are updates or the requested wait has passed."""
        self._era.observe(
            request.store_era, source=f"peer:{request.asker.name}"
        )
        requested_at_ms = self._loop.now_ms()
        self._view.evacuations.merge(
            request.evacuations or (),
            now_ms=requested_at_ms,
            source=f"peer:{request.asker.name}",
        )
        due_ms = requested_at_ms + request.wait_ms
        suspicions = self._quarantine.suspicions
        digest = suspicions.digest
        # A requester that knows other suspicions gets these with the response,
        # but only a change ends the wait: the two sets may differ for long.
        while (
            not view_messages.has_updates(
                request, self._view, store_era=self._era.number
            )
            and suspicions.digest == digest
        ):
            remaining_ms = due_ms - self._loop.now_ms()
            if remaining_ms <= 0:
                break
            yield tasks.with_timeout(
                self._loop, self._wait_for_view_change(), remaining_ms
            )
        now_ms = self._loop.now_ms()
        response = view_messages.build_response(
            request,
            self._view,
            [*self._peers.recent(now_ms=now_ms), self._local_instance],
            suspicions,
            now_ms=now_ms,
            store_era=self._era.number,
            waited_ms=now_ms - requested_at_ms,
        )
        return http_server.Reply(200, msgspec.json.encode(response))

    def _wait_for_view_change(self) -> futures.Future:
        changed: futures.Future = futures.Future()
        self._change_waiters.append(changed)
        return changed

    def _notify_waiters(self) -> None:
        waiters, self._change_waiters = self._change_waiters, []
        for changed in waiters:
            tasks.complete(changed, None)

    def _handle_loan(self, body: bytes) -> futures.Future:
        request = json_documents.decode(body, lending.LoanRequest)
        self._peers.mark_seen([request.borrower], now_ms=self._loop.now_ms())
        return tasks.spawn(self._lend(request))

    def _handle_repayment(self, body: bytes) -> http_server.Reply:
        request = json_documents.decode(body, lending.Repayment)
        self._peers.mark_seen([request.sender], now_ms=self._loop.now_ms())
        self._rights.apply_repayment(request.tokens_by_team)
        return http_server.Reply(200, b"{}")

    def _handle_ledger_copies(self, body: bytes) -> http_server.Reply:
        message = json_documents.decode(body, ledger_copies.CopiesMessage)
        self._peers.mark_seen([message.sender], now_ms=self._loop.now_ms())
        source = f"peer:{message.sender.name}"
        for copy in message.copies:
            self._era.observe(copy.store_era, source=source)
        self._rights.record_ledger_copies(message.copies)
        return http_server.Reply(200, b"{}")

    def _handle_origins(self, body: bytes) -> http_server.Reply:
        message = json_documents.decode(body, origin_replication.OriginRecords)
        self._peers.mark_seen([message.sender], now_ms=self._loop.now_ms())
        self._origins.apply_records(message)
        return http_server.Reply(200, b"{}")

    def _handle_origin_lookup(self, body: bytes) -> futures.Future:
        lookup = json_documents.decode(body, origin_replication.OriginLookup)
        return tasks.spawn(self._respond_to_lookup(lookup))

    def _respond_to_lookup(
        self, lookup: origin_replication.OriginLookup
    ) -> tasks.Task:
        response = yield self._origins.respond_to_lookup(lookup)
        return http_server.Reply(200, msgspec.json.encode(response))

    def _handle_suspicions(self, body: bytes) -> http_server.Reply:
        message = json_documents.decode(
            body, request_quarantine.SuspicionMessage
        )
        self._peers.mark_seen([message.sender], now_ms=self._loop.now_ms())
        self._quarantine.apply_message(message)
        return http_server.Reply(200, b"{}")

    def _handle_limits(self, body: bytes) -> http_server.Reply:
        message = json_documents.decode(body, limit_replication.LimitMessage)
        self._peers.mark_seen([message.sender], now_ms=self._loop.now_ms())
        self._limits.apply_message(message)
        return http_server.Reply(200, b"{}")

    def _handle_leaving(self, body: bytes) -> http_server.Reply:
        message = json_documents.decode(
            body, leaving_replication.LeavingMessage
        )
        self._peers.mark_seen([message.sender], now_ms=self._loop.now_ms())
        self._leaving.apply_message(message)
        return http_server.Reply(200, b"{}")

    def _handle_busy_targets(self, body: bytes) -> http_server.Reply:
        message = json_documents.decode(body, brittle_replication.BusyMessage)
        self._peers.mark_seen([message.sender], now_ms=self._loop.now_ms())
        self._brittle.apply_message(message)
        return http_server.Reply(200, b"{}")

    def _lend(self, request: lending.LoanRequest) -> tasks.Task:
        lent = yield self._rights.lend(
            request.team, request.tokens, ahead_tokens=request.ahead_tokens
        )
        available = self._rights.available_tokens(request.team)
        if lent:
            self._log.event(
                "rights_lent",
                team=request.team,
                borrower=request.borrower.name,
                wanted_tokens=request.tokens,
                lent_tokens=lent,
                available_tokens=available,
            )
        response = lending.LoanResponse(
            tokens=lent,
            available_tokens=available,
            is_exhausted=self._rights.is_exhausted(request.team),
            may_draw=self._rights.can_draw_for_peers(request.team),
        )
        return http_server.Reply(200, msgspec.json.encode(response))

    def __repr__(self) -> str:
        return f"PeerApi(view={self._view!r})"
