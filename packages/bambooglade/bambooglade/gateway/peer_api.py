"""What an instance answers to its peers."""

from __future__ import annotations

from concurrent import futures

import msgspec

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import view as view_lib
from bambooglade.discovery import view_messages
from bambooglade.eventloop import http_server
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.http1 import messages
from bambooglade.rights import lending
from bambooglade.rights import manager as manager_lib


class PeerApi:
    """Serves the view and loans of rights.

    Args:
        view: What this instance knows.
        peers: The known peers.
        own: This instance, as peers know it.
        rights: Accounts that are lent from.
        log: Told of loans.
        loop: The event loop.
    """

    __slots__ = (
        "_log",
        "_loop",
        "_own",
        "_peers",
        "_rights",
        "_view",
        "_waiting",
    )

    def __init__(
        self,
        *,
        view: view_lib.FleetView,
        peers: peers_lib.PeerList,
        own: peers_lib.Peer,
        rights: manager_lib.RightsManager,
        log: event_log.EventLog,
        loop: loop_lib.EventLoop,
    ) -> None:
        self._view = view
        self._peers = peers
        self._own = own
        self._rights = rights
        self._log = log
        self._loop = loop
        self._waiting: list[futures.Future] = []
        view.listeners.append(self._view_changed)

    def handle(
        self, request: messages.Request
    ) -> http_server.Reply | futures.Future:
        """Answers one request of a peer."""
        handlers = {
            view_messages.VIEW_PATH: self._view_answer,
            lending.LOAN_PATH: self._loan_answer,
            lending.REPAYMENT_PATH: self._repayment_answer,
        }
        handler = handlers.get(request.path.decode("latin-1"))
        if handler is None or request.method != b"POST":
            return http_server.Reply(404)
        try:
            return handler(request.body)
        except msgspec.DecodeError as error:
            self._log.event("peer_request_malformed", error=error)
            return http_server.Reply(400)

    def _view_answer(self, body: bytes) -> futures.Future:
        request = msgspec.json.decode(body, type=view_messages.ViewRequest)
        self._peers.mark_seen([request.asker], now_ms=self._loop.now_ms())
        return tasks.spawn(self._answer_view(request))

    def _answer_view(self, request: view_messages.ViewRequest) -> tasks.Task:
        """Answers once there is news, or when the asker's wait is over."""
        asked_at_ms = self._loop.now_ms()
        due_ms = asked_at_ms + request.wait_ms
        while not view_messages.has_updates(request, self._view):
            left_ms = due_ms - self._loop.now_ms()
            if left_ms <= 0:
                break
            yield tasks.within(self._loop, self._next_change(), left_ms)
        now_ms = self._loop.now_ms()
        answered = view_messages.build_response(
            request,
            self._view,
            [*self._peers.recent(now_ms=now_ms), self._own],
            now_ms=now_ms,
            waited_ms=now_ms - asked_at_ms,
        )
        return http_server.Reply(200, msgspec.json.encode(answered))

    def _next_change(self) -> futures.Future:
        changed: futures.Future = futures.Future()
        self._waiting.append(changed)
        return changed

    def _view_changed(self) -> None:
        waiting, self._waiting = self._waiting, []
        for changed in waiting:
            tasks.complete(changed, None)

    def _loan_answer(self, body: bytes) -> futures.Future:
        request = msgspec.json.decode(body, type=lending.LoanRequest)
        self._peers.mark_seen([request.borrower], now_ms=self._loop.now_ms())
        return tasks.spawn(self._lend(request))

    def _repayment_answer(self, body: bytes) -> http_server.Reply:
        request = msgspec.json.decode(body, type=lending.Repayment)
        self._peers.mark_seen([request.sender], now_ms=self._loop.now_ms())
        self._rights.apply_repayment(request.tokens_by_team)
        return http_server.Reply(200, b"{}")

    def _lend(self, request: lending.LoanRequest) -> tasks.Task:
        lent = yield self._rights.lend(request.team, request.tokens)
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
        answered = lending.LoanResponse(
            tokens=lent,
            available_tokens=available,
            is_exhausted=self._rights.is_exhausted(request.team),
            may_draw=self._rights.can_draw_for_peers(request.team),
        )
        return http_server.Reply(200, msgspec.json.encode(answered))

    def __repr__(self) -> str:
        return f"PeerApi(view={self._view!r})"
