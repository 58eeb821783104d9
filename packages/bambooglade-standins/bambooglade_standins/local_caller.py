"""A caller of a local fleet, for tests."""

from __future__ import annotations

from collections.abc import Iterator
import json

import msgspec

from bambooglade.core import identifiers
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade.transport import sse
from bambooglade_standins import local_fleet

TIMEOUT_MS = 30_000


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer, as far as it came.

    Attributes:
        status: HTTP status; 0 when no answer came.
        body: The body.
        is_whole: Whether it ended as it should.
    """

    status: int
    body: bytes
    is_whole: bool

    @property
    def problem(self) -> dict[str, object]:
        """The body of a refusal."""
        return json.loads(self.body)


class LocalCaller:
    """Sends requests of one team.

    Args:
        team_key: API key of the team.
        ca_file: Certificates to trust for TLS; None for plain TCP.
    """

    def __init__(self, team_key: str, *, ca_file: str | None = None) -> None:
        self._team_key = team_key
        self._client = client_lib.HttpClient(ca_file=ca_file)

    def chat(
        self,
        url: str,
        *,
        prompt: str = "Review this portfolio.",
        max_tokens: int = 20,
        stream: bool = True,
        key: identifiers.RequestKey | None = None,
    ) -> Iterator[bytes]:
        """Yields the pieces of a completion's answer as they come."""
        body = {
            "model": local_fleet.MODEL,
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        request = self._request(
            "POST", f"{url}/v1/chat/completions", body=body, key=key
        )
        return (
            part
            for part in self._client.stream(request)
            if isinstance(part, bytes)
        )

    def deduct(
        self, url: str, *, key: identifiers.RequestKey, amount: int = 1
    ) -> Answer:
        """Sends a deduction, which may not be repeated."""
        body = {"account": "student-7", "amount": amount}
        return self.send(
            "POST", f"{url}/services/till/deduct", body=body, key=key
        )

    def status(self, url: str) -> Answer:
        """Sends a status check."""
        return self.send("GET", f"{url}/services/till/status")

    def outcome(self, url: str, key: identifiers.RequestKey) -> Answer:
        """Asks what became of a request."""
        return self.send("GET", f"{url}/v1/requests/{key}")

    def send(
        self,
        method: str,
        url: str,
        *,
        body: object = None,
        key: identifiers.RequestKey | None = None,
    ) -> Answer:
        """Sends a request and collects its answer."""
        sent = self._client.request(
            self._request(method, url, body=body, key=key)
        )
        if sent.is_err():
            return Answer(status=0, body=b"", is_whole=False)
        answer = sent.unwrap()
        return Answer(
            status=answer.head.status, body=answer.body, is_whole=True
        )

    def _request(
        self,
        method: str,
        url: str,
        *,
        body: object,
        key: identifiers.RequestKey | None,
    ) -> messages.Request:
        headers = [messages.Header("Authorization", f"Bearer {self._team_key}")]
        if body is not None:
            headers.append(messages.Header("Content-Type", "application/json"))
        if key is not None:
            headers.append(messages.Header("Idempotency-Key", key))
        return messages.Request(
            method=method,
            url=url,
            headers=tuple(headers),
            body=json.dumps(body).encode() if body is not None else None,
            may_be_resent=False,
            total_timeout_ms=TIMEOUT_MS,
            first_byte_timeout_ms=TIMEOUT_MS,
        )

    def __repr__(self) -> str:
        return "LocalCaller()"


def text_of(pieces: Iterator[bytes]) -> str:
    """Returns the text of a streamed answer, with a mark at its end.

    The end mark `[DONE]` is part of the text, so that a cut answer differs.
    """
    return "".join(map(_content, sse.parse(pieces)))


def _content(event: bytes) -> str:
    if event == sse.DONE:
        return event.decode()
    choices = json.loads(event).get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""
