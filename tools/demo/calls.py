"""Sends the example requests of the demonstration, and prints the answers."""

from __future__ import annotations

import json
import sys
import time

from bambooglade.core import identifiers
from bambooglade.transport import client
from bambooglade.transport import messages

TIMEOUT_MS = 20_000
READY_TIMEOUT_S = 20.0
_POLL_S = 0.1
_OK = 200


def main(team_key: str, urls: list[str]) -> int:
    """Sends a completion, a status check and a deduction twice.

    Args:
        team_key: API key of the team.
        urls: Base URLs of instances, the first of which gets most requests.

    Returns:
        The number of answers that are not as expected.
    """
    caller = _Caller(team_key)
    one, other = urls[0], urls[-1]
    caller.show(
        "completion",
        "POST",
        f"{one}/v1/chat/completions",
        body={
            "model": "critique",
            "stream": True,
            "max_tokens": 12,
            "messages": [{"role": "user", "content": "Review this portfolio."}],
        },
    )
    caller.show("status", "GET", f"{one}/services/till/status")
    key = identifiers.new_request_key()
    deduction = {"account": "student-7", "amount": 1}
    for url in (one, other):
        caller.show(
            "deduction",
            "POST",
            f"{url}/services/till/deduct",
            body=deduction,
            key=key,
        )
    caller.show("outcome", "GET", f"{other}/v1/requests/{key}")
    return caller.failed


class _Caller:
    """Sends requests of one team and prints what comes back."""

    def __init__(self, team_key: str) -> None:
        self._client = client.HttpClient()
        self._team_key = team_key
        self.failed = 0

    def show(
        self,
        title: str,
        method: str,
        url: str,
        *,
        body: object = None,
        key: str | None = None,
    ) -> None:
        """Sends one request and prints its answer."""
        headers = [messages.Header("Authorization", f"Bearer {self._team_key}")]
        if body is not None:
            headers.append(messages.Header("Content-Type", "application/json"))
        if key is not None:
            headers.append(messages.Header("Idempotency-Key", key))
        sent = self._client.request(
            messages.Request(
                method=method,
                url=url,
                headers=tuple(headers),
                body=json.dumps(body).encode() if body is not None else None,
                total_timeout_ms=TIMEOUT_MS,
            )
        )
        if sent.is_err():
            self.failed += 1
            print(f"{title}: {sent.unwrap_err()}")
            return
        answer = sent.unwrap()
        self.failed += answer.head.status != _OK
        print(f"{title}: HTTP {answer.head.status}")
        print(answer.body.decode().strip())


def wait_until_ready(urls: list[str]) -> bool:
    """Waits until every instance is ready for requests."""
    caller = client.HttpClient()
    end = time.monotonic() + READY_TIMEOUT_S
    waiting = set(urls)
    while waiting and time.monotonic() < end:
        waiting -= {url for url in waiting if _is_ready(caller, url)}
        time.sleep(_POLL_S)
    return not waiting


def _is_ready(caller: client.HttpClient, url: str) -> bool:
    sent = caller.request(messages.Request(method="GET", url=f"{url}/readyz"))
    return sent.is_ok() and sent.unwrap().head.status == _OK


if __name__ == "__main__":
    if sys.argv[1] == "--wait":
        sys.exit(0 if wait_until_ready(sys.argv[2:]) else 1)
    sys.exit(main(sys.argv[1], sys.argv[2:]))
