"""HTTP exchanges on one connection, driven by libcurl's multi interface."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
import contextlib
import select

import msgspec
import pycurl
import result

from bambooglade.core import clock as clocks
from bambooglade.transport import messages

POLL_MS = 100
"""Longest interval between two checks of the time-outs and of `cancelled`."""

MAX_HEADER_LINES = 512
"""Most lines of a head; each takes far more memory than bytes."""

CHECK_PERIOD_MS = 20
"""Shortest interval between two checks; socket events are more frequent."""

_USER_AGENT = "bambooglade"
_PROTOCOLS = pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS
_ERRORS_AFTER_CONNECTING = frozenset(
    {pycurl.E_SEND_ERROR, pycurl.E_RECV_ERROR, pycurl.E_GOT_NOTHING}
)
_POLL_EVENTS_BY_ACTION = {
    pycurl.POLL_NONE: 0,
    pycurl.POLL_IN: select.POLLIN,
    pycurl.POLL_OUT: select.POLLOUT,
    pycurl.POLL_INOUT: select.POLLIN | select.POLLOUT,
}

ExchangeResult = result.Result[None, messages.TransferFailure]


def never_cancelled() -> bool:
    """Returns False: the exchange is never cancelled."""
    return False


class Channel:
    """A connection with its libcurl handles.

    A channel runs one exchange at a time. It has to be closed after an exchange
    without a complete response.

    Args:
        ca_file: File of the trusted CA certificates; None for the system's.
        clock: The clock for time-outs.
    """

    __slots__ = (
        "_ca_file",
        "_clock",
        "_curl",
        "_multi",
        "_poller",
        "_response",
        "_response_id",
    )

    def __init__(self, *, ca_file: str | None, clock: clocks.Clock) -> None:
        self._ca_file = ca_file
        self._clock = clock
        self._curl = pycurl.Curl()
        self._poller = select.poll()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._response = _ResponseBuffer()
        self._response_id: messages.Header | None = None

    @property
    def is_identified(self) -> bool:
        """Whether the response bears the header that its request asks for."""
        expected, head = self._response_id, self._response.head
        return expected is None or (
            head is not None and head.header(expected.name) == expected.value
        )

    def run(
        self, request: messages.Request, *, cancelled: Callable[[], bool]
    ) -> Generator[messages.ResponseHead | bytes, None, ExchangeResult]:
        """Yields the head and the parts of the body; returns the result."""
        self._response = _ResponseBuffer(request.max_response_bytes)
        self._response_id = request.response_id
        self._prepare(request)
        started_ms = self._clock.now_ms()
        next_check_ms = 0
        self._multi.add_handle(self._curl)
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        try:
            while True:
                yield from map(self._complete_part, self._response.pop_parts())
                exchange_result = self._result()
                if exchange_result is not None:
                    return exchange_result
                elapsed_ms = self._clock.now_ms() - started_ms
                if elapsed_ms >= next_check_ms:
                    next_check_ms = elapsed_ms + CHECK_PERIOD_MS
                    failure_result = self._timeout_or_cancellation(
                        request, elapsed_ms, cancelled
                    )
                    if failure_result is not None:
                        return failure_result
                self._wait(request, elapsed_ms)
        finally:
            self._multi.remove_handle(self._curl)

    def _complete_part(
        self, part: messages.ResponseHead | bytes
    ) -> messages.ResponseHead | bytes:
        """Adds what libcurl does not tell within its callbacks to a head."""
        if isinstance(part, bytes):
            return part
        return msgspec.structs.replace(
            part,
            is_first_on_connection=self._curl.getinfo(pycurl.NUM_CONNECTS) > 0,
        )

    def close(self) -> None:
        """Closes the connection."""
        self._multi.close()
        self._curl.close()

    def _prepare(self, request: messages.Request) -> None:
        curl = self._curl
        curl.reset()
        curl.setopt(pycurl.URL, request.url)
        curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        curl.setopt(pycurl.USERAGENT, _USER_AGENT)
        curl.setopt(pycurl.PROTOCOLS, _PROTOCOLS)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, True)
        curl.setopt(pycurl.FOLLOWLOCATION, False)
        curl.setopt(pycurl.PATH_AS_IS, True)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.TCP_NODELAY, True)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, request.connect_timeout_ms)
        if not request.may_be_resent:
            curl.setopt(pycurl.FRESH_CONNECT, True)
        if self._ca_file:
            curl.setopt(pycurl.CAINFO, self._ca_file)
        if request.method == "HEAD":
            curl.setopt(pycurl.NOBODY, True)
        if request.body is not None:
            curl.setopt(pycurl.POSTFIELDS, request.body)
        lines = [f"{h.name}: {h.value}" for h in request.headers]
        curl.setopt(pycurl.HTTPHEADER, ["Expect:", *lines])
        curl.setopt(pycurl.HEADERFUNCTION, self._response.append_header_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._response.append_body)

    def _result(self) -> ExchangeResult | None:
        _, succeeded, failed = self._multi.info_read()
        if succeeded and self._response.status:
            return result.Ok(None)
        if succeeded:  # libcurl reports success for a truncated head
            return result.Err(
                messages.TransferFailure(
                    detail="The head of the response is truncated.", sent=True
                )
            )
        for _, code, text in failed:
            return result.Err(self._failure(code, text))
        return None

    def _failure(self, code: int, text: str) -> messages.TransferFailure:
        sent = self._may_have_sent(code)
        detail = f"{text or 'The connection failed'} (curl {code})."
        if code == pycurl.E_OPERATION_TIMEDOUT:
            return messages.TransferTimeout(detail=detail, sent=sent)
        return messages.TransferFailure(detail=detail, sent=sent)

    def _may_have_sent(self, code: int) -> bool:
        if self._response.status or code in _ERRORS_AFTER_CONNECTING:
            return True
        return self._curl.getinfo(pycurl.REQUEST_SIZE) > 0

    def _timeout_or_cancellation(
        self,
        request: messages.Request,
        elapsed_ms: int,
        cancelled: Callable[[], bool],
    ) -> ExchangeResult | None:
        sent = self._may_have_sent(pycurl.E_OK)
        if cancelled():
            return result.Err(
                messages.TransferCancelled(
                    detail="The caller cancelled the exchange.", sent=sent
                )
            )
        if elapsed_ms >= request.total_timeout_ms:
            return result.Err(
                messages.TransferTimeout(
                    detail=f"No complete response within {elapsed_ms} ms.",
                    sent=sent,
                )
            )
        response_timeout_ms = request.first_byte_timeout_ms
        if not self._response.status and elapsed_ms >= response_timeout_ms:
            return result.Err(
                messages.TransferTimeout(
                    detail=f"No response within {elapsed_ms} ms.", sent=sent
                )
            )
        return None

    def _wait(self, request: messages.Request, elapsed_ms: int) -> None:
        timeout_ms = request.total_timeout_ms
        if not self._response.status:
            timeout_ms = min(timeout_ms, request.first_byte_timeout_ms)
        wait_ms = max(1, min(POLL_MS, timeout_ms - elapsed_ms))
        curl_ms = self._multi.timeout()
        if curl_ms >= 0:
            wait_ms = min(wait_ms, curl_ms)
        ready = self._poller.poll(wait_ms)
        for descriptor, events in ready:
            self._multi.socket_action(descriptor, _curl_events(events))
        if not ready:
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _watch_socket(
        self, action: int, descriptor: int, multi: object, data: object
    ) -> None:
        del multi, data
        if action == pycurl.POLL_REMOVE:
            with contextlib.suppress(KeyError):
                self._poller.unregister(descriptor)
            return
        self._poller.register(descriptor, _POLL_EVENTS_BY_ACTION[action])

    def __repr__(self) -> str:
        return f"Channel(status={self._response.status})"


class _ResponseBuffer:
    """Buffers the parts of a response between libcurl's callbacks and `run`."""

    __slots__ = (
        "_lines",
        "_parts",
        "_remaining_bytes",
        "head",
        "status",
    )

    def __init__(self, max_bytes: int = 0) -> None:
        self._remaining_bytes = max_bytes
        self._lines: list[str] = []
        self._parts: collections.deque[messages.ResponseHead | bytes] = (
            collections.deque()
        )
        self.head: messages.ResponseHead | None = None
        self.status = 0

    def append_header_line(self, raw: bytes) -> int | None:
        """Appends one line of the head; called by libcurl.

        If the connection ends within a line, libcurl passes what there is of
        it. That is no line, nor is a lone carriage return the end of the head.

        Returns:
            None, or 0 to abort the transfer of a head with too many lines.
        """
        if not raw.endswith(b"\n"):
            return None
        if line := raw.decode("latin-1").strip():
            self._lines.append(line)
            return 0 if len(self._lines) > MAX_HEADER_LINES else None
        lines, self._lines = self._lines, []
        self._append_head(lines)
        return None

    def _append_head(self, lines: list[str]) -> None:
        """Appends a head, unless it is malformed or interim."""
        status_line = lines[0].split(None, 2) if lines else []
        if len(status_line) < 2 or not status_line[1].isdigit():
            return
        status = int(status_line[1])
        if status < 200:
            return
        self.status = status
        headers = tuple(_header(text) for text in lines[1:])
        self.head = messages.ResponseHead(status=status, headers=headers)
        self._parts.append(self.head)

    def append_body(self, data: bytes) -> int | None:
        """Appends a part of the body; called by libcurl.

        Returns:
            None, or 0 to abort the transfer of a body that is too large.
        """
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < 0:
            return 0  # libcurl fails with a write error
        self._parts.append(data)
        return None

    def pop_parts(self) -> Iterator[messages.ResponseHead | bytes]:
        """Yields and removes the buffered parts."""
        while self._parts:
            yield self._parts.popleft()


def _header(line: str) -> messages.Header:
    name, _, value = line.partition(":")
    return messages.Header(name.strip().lower(), value.strip())


def _curl_events(events: int) -> int:
    mask = 0
    if events & (select.POLLIN | select.POLLHUP):
        mask |= pycurl.CSELECT_IN
    if events & select.POLLOUT:
        mask |= pycurl.CSELECT_OUT
    if events & (select.POLLERR | select.POLLNVAL):
        mask |= pycurl.CSELECT_ERR
    return mask
