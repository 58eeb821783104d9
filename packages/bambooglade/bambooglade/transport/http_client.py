"""Blocking HTTP POST and GET of small bodies, with time-outs, by pycurl."""

from __future__ import annotations

from collections.abc import Mapping
import io
import threading

import msgspec
import pycurl

MAX_ANSWER_BYTES = 16_000_000


class HttpAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer of a server."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class HttpClient:
    """One connection cache per thread; answers that are cut count as none.

    Args:
        connect_timeout_ms: Limit on the time to connect.
        timeout_ms: Limit on the whole exchange.
    """

    __slots__ = ("_connect_timeout_ms", "_local", "_timeout_ms")

    def __init__(self, *, connect_timeout_ms: int, timeout_ms: int) -> None:
        self._connect_timeout_ms = connect_timeout_ms
        self._timeout_ms = timeout_ms
        self._local = threading.local()

    def post(
        self,
        url: str,
        body: bytes,
        *,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer | None:
        """Posts a JSON body; None when there was no whole answer."""
        handle = self._handle()
        handle.setopt(pycurl.POSTFIELDS, body)
        return self._perform(
            handle, url, {"Content-Type": "application/json", **(headers or {})}
        )

    def get(self, url: str) -> HttpAnswer | None:
        """Gets a URL; None when there was no whole answer."""
        handle = self._handle()
        handle.setopt(pycurl.HTTPGET, 1)
        return self._perform(handle, url, {})

    def _handle(self) -> pycurl.Curl:
        handle = getattr(self._local, "handle", None)
        if handle is None:
            handle = self._local.handle = pycurl.Curl()
        handle.reset()
        return handle

    def _perform(
        self, handle: pycurl.Curl, url: str, headers: Mapping[str, str]
    ) -> HttpAnswer | None:
        sink = io.BytesIO()
        answer_headers: dict[str, str] = {}
        handle.setopt(pycurl.URL, url)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, self._connect_timeout_ms)
        handle.setopt(pycurl.TIMEOUT_MS, self._timeout_ms)
        handle.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
        handle.setopt(pycurl.HTTPHEADER, _lines(headers))
        handle.setopt(pycurl.WRITEFUNCTION, sink.write)
        handle.setopt(
            pycurl.HEADERFUNCTION, lambda line: _collect(line, answer_headers)
        )
        try:
            handle.perform()
        except pycurl.error:
            return None
        return HttpAnswer(
            status=handle.getinfo(pycurl.RESPONSE_CODE),
            body=sink.getvalue(),
            headers=answer_headers,
        )

    def __repr__(self) -> str:
        return f"HttpClient(timeout_ms={self._timeout_ms})"


def _lines(headers: Mapping[str, str]) -> list[str]:
    # An empty Expect header keeps curl from waiting for "100 Continue".
    return ["Expect:", *(f"{name}: {text}" for name, text in headers.items())]


def _collect(line: bytes, headers: dict[str, str]) -> None:
    name, separator, text = line.decode("latin-1").partition(":")
    if separator:
        headers[name.strip().lower()] = text.strip()
