"""One HTTP exchange with pycurl."""

from __future__ import annotations

import io

import msgspec
import pycurl
import result

CONNECT_TIMEOUT_MS = 2_000


class HttpAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a request."""

    status: int
    body: bytes


class ExchangeFailed(msgspec.Struct, frozen=True, kw_only=True):
    """No answer came.

    Attributes:
        detail: What the library reported.
        sent: Whether the request may have reached the server.
    """

    detail: str
    sent: bool


_NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
        pycurl.E_SSL_CACERT_BADFILE,
        pycurl.E_PEER_FAILED_VERIFICATION,
        pycurl.E_SSL_CONNECT_ERROR,
    }
)


def exchange(
    url: str,
    *,
    headers: tuple[str, ...] = (),
    body: bytes | None = None,
    ca_file: str | None = None,
    timeout_ms: int,
) -> result.Result[HttpAnswer, ExchangeFailed]:
    """Sends one request; a POST when there is a body.

    Args:
        url: Where to send it.
        headers: Header lines.
        body: What to send.
        ca_file: PEM certificates to check the server's against.
        timeout_ms: When to give up.
    """
    received = io.BytesIO()
    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.HTTPHEADER, list(headers))
        curl.setopt(pycurl.WRITEDATA, received)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        if ca_file:
            curl.setopt(pycurl.CAINFO, ca_file)
        if body is not None:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, body)
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        return result.Ok(HttpAnswer(status=status, body=received.getvalue()))
    except pycurl.error as error:
        code, text = error.args
        sent = code not in _NOT_SENT and not _connect_timed_out(curl, code)
        return result.Err(ExchangeFailed(detail=text, sent=sent))
    finally:
        curl.close()


def _connect_timed_out(curl: pycurl.Curl, code: int) -> bool:
    if code != pycurl.E_OPERATION_TIMEDOUT:
        return False
    return curl.getinfo(pycurl.CONNECT_TIME) == 0
