"""A till and an office desk: status, balance, deduct, top up.

It counts every run per key and does not recognise a repeated key, so that a
doubled run shows in its books.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import functools
import threading
import time

import msgspec
from werkzeug import wrappers

from bambooglade.transport import request_handler
from bambooglade_standins import faults as faults_lib
from bambooglade_standins import standin_app

_MS_PER_S = 1_000
_POLL_MS = 50


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a deduction or a top-up."""

    account: str
    amount: int = 1


class Balance(msgspec.Struct, frozen=True, kw_only=True):
    """Answer about an account, after a change if there was one."""

    account: str
    balance: int
    key: str = ""


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a status check."""

    status: str
    target_id: str


class PlainServiceApp(standin_app.StandinApp):
    """WSGI application of one plain service.

    Args:
        target_id: Name of the target.
        opening_balance: Balance of an account that was never seen.
        faults: Faults in force from the start.
    """

    def __init__(
        self,
        target_id: str = "till-1",
        *,
        opening_balance: int = 1_000,
        faults: faults_lib.Faults | None = None,
    ) -> None:
        self.target_id = target_id
        self._opening_balance = opening_balance
        self._balance_by_account: dict[str, int] = {}
        self._lock = threading.Lock()
        super().__init__(faults)

    def endpoints(self) -> Iterator[standin_app.Endpoint]:
        """Yields the end points of a plain service."""
        yield from super().endpoints()
        yield standin_app.Endpoint("GET", "/load", self._load)
        for method, path, serve in (
            ("GET", "/status", self._status),
            ("GET", "/balance", self._balance),
            ("POST", "/deduct", self._deduct),
            ("POST", "/topup", self._top_up),
        ):
            yield standin_app.Endpoint(
                method, path, functools.partial(self._with_faults, serve)
            )

    def balance_of(self, account: str) -> int:
        """Returns the balance of an account."""
        with self._lock:
            return self._balance_by_account.get(account, self._opening_balance)

    def _with_faults(
        self,
        serve: Callable[[wrappers.Request], wrappers.Response],
        request: wrappers.Request,
    ) -> wrappers.Response:
        faults = self.faults.next()
        if faults.refuse_status:
            return wrappers.Response(
                "refused",
                status=faults.refuse_status,
                headers=faults.refusal_headers(),
            )
        if faults.die_before_answer:
            raise faults_lib.InjectedCloseError
        response = serve(request)
        self.runs.add(request.headers.get("Idempotency-Key", ""))
        _sleep(faults.delay_ms, request)
        if faults.die_after_run:
            raise faults_lib.InjectedCloseError
        response.headers["X-Request-Id"] = (
            "crossed"
            if faults.crossed
            else request.headers.get("X-Request-Id", "")
        )
        if faults.truncated:
            return _truncated(response)
        return response

    def _status(self, request: wrappers.Request) -> wrappers.Response:
        del request
        return standin_app.json_response(
            Status(status="received", target_id=self.target_id)
        )

    def _balance(self, request: wrappers.Request) -> wrappers.Response:
        account = request.args.get("account", "")
        return standin_app.json_response(
            Balance(account=account, balance=self.balance_of(account))
        )

    def _deduct(self, request: wrappers.Request) -> wrappers.Response:
        return self._change(request, sign=-1)

    def _top_up(self, request: wrappers.Request) -> wrappers.Response:
        return self._change(request, sign=1)

    def _change(
        self, request: wrappers.Request, *, sign: int
    ) -> wrappers.Response:
        change = msgspec.json.decode(request.get_data(), type=Change)
        with self._lock:
            balance = self._balance_by_account.get(
                change.account, self._opening_balance
            )
            balance += sign * change.amount
            self._balance_by_account[change.account] = balance
        key = request.headers.get("Idempotency-Key", "")
        return standin_app.json_response(
            Balance(account=change.account, balance=balance, key=key)
        )

    def _load(self, request: wrappers.Request) -> wrappers.Response:
        del request
        return standin_app.json_response(
            standin_app.Leaving(leaving=self.leaving)
        )

    def __repr__(self) -> str:
        return f"PlainServiceApp({self.target_id!r})"


def _truncated(response: wrappers.Response) -> wrappers.Response:
    body = response.get_data()
    response.response = _cut(body[: len(body) // 2])
    response.headers["Content-Length"] = str(len(body))
    return response


def _cut(body: bytes) -> Iterator[bytes]:
    yield body
    raise faults_lib.InjectedCloseError


def _sleep(duration_ms: int, request: wrappers.Request) -> None:
    gone = request.environ.get(request_handler.CLIENT_GONE)
    while duration_ms > 0:
        if gone is not None and gone():
            raise faults_lib.InjectedCloseError
        time.sleep(min(_POLL_MS, duration_ms) / _MS_PER_S)
        duration_ms -= _POLL_MS
