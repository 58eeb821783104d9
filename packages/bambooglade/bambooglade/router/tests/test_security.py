"""Tests of authentication and authorization, and that no secret is disclosed.

See Also:
    bambooglade.transport.tests.test_signing: signatures of other instances.
"""

from __future__ import annotations

import socket

from absl import logging
import msgspec
import pytest
import trustme

from bambooglade.core import identifiers
from bambooglade.router import process
from bambooglade.router import settings as settings_lib
from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade.transport import peers
from bambooglade.transport import sealing
from bambooglade_standins import local_caller
from bambooglade_standins import local_fleet

_ZONE = "zone-a"
_TIMEOUT_S = 5
_EXPIRED_KEY = credentials.new_key("rotated")
_PREVIOUS_KEY = credentials.new_key("rotated")
_CURRENT_KEY = credentials.new_key("rotated")
_DISABLED_TEAM_KEY = credentials.new_key("closed")
_VIEWER_KEY = credentials.new_key("vera")
_ROWS = (
    rows.TeamRow(
        team_id="rotated",
        key_hash=_CURRENT_KEY.key_hash,
        previous_key_hash=_PREVIOUS_KEY.key_hash,
    ),
    rows.TeamRow(
        team_id="closed", key_hash=_DISABLED_TEAM_KEY.key_hash, enabled=False
    ),
    rows.OperatorRow(operator="vera", key_hash=_VIEWER_KEY.key_hash),
)


class _Deployment:
    """One instance with a team that has a budget."""

    def __init__(self, fleet: local_fleet.LocalFleet) -> None:
        self.fleet = fleet
        self.url = fleet.start_instance(_ZONE).url
        fleet.wait_until_ready()
        self.team_key = fleet.create_team("hall-3", tokens=1_000)
        fleet.edit_rows(*_ROWS)

    def send(
        self,
        path: str,
        authorization: str | None,
        *,
        body: bytes | None = None,
        signature: str | None = None,
    ) -> messages.Response:
        """Sends a request, as a POST if it has a body."""
        text_by_name = {
            "Authorization": authorization,
            sealing.SIGNATURE_HEADER: signature,
        }
        headers = tuple(
            messages.Header(name, text)
            for name, text in text_by_name.items()
            if text
        )
        request = messages.Request(
            method="GET" if body is None else "POST",
            url=self.url + path,
            headers=headers,
            body=body,
        )
        return client_lib.HttpClient().request(request).unwrap()


@pytest.fixture(name="deployed", scope="module")
def fixture_deployed():
    with local_fleet.LocalFleet(zones=(_ZONE,)) as fleet:
        yield _Deployment(fleet)


def _bearer(key: credentials.NewKey) -> str:
    return f"Bearer {key.key}"


_CALLER_CASES = {
    "none": (None, 401),
    "empty": ("", 401),
    "scheme_only": ("Bearer", 401),
    "empty_secret": ("Bearer bg_hall-3_", 401),
    "wrong_secret": ("Bearer bg_hall-3_0000", 401),
    "unknown_team": ("Bearer bg_nobody_0000", 401),
    "other_scheme": ("Basic aGFsbC0zOjAwMDA=", 401),
    "secret_of_another_team": (
        f"Bearer bg_hall-3_{_CURRENT_KEY.key.rpartition('_')[2]}",
        401,
    ),
    "expired_key": (_bearer(_EXPIRED_KEY), 401),
    "key_of_an_operator": (_bearer(_VIEWER_KEY), 401),
    "disabled_team": (_bearer(_DISABLED_TEAM_KEY), 403),
    "previous_key": (_bearer(_PREVIOUS_KEY), 200),
    "current_key": (_bearer(_CURRENT_KEY), 200),
}


@pytest.mark.parametrize(
    ("authorization", "status"),
    _CALLER_CASES.values(),
    ids=_CALLER_CASES.keys(),
)
def test_callers_need_the_key_of_an_enabled_team(
    deployed: _Deployment, authorization: str | None, status: int
) -> None:
    deployed.fleet.top_up("team/rotated", 10)
    response = deployed.send("/services/till/status", authorization)
    assert response.head.status == status, response.body


_OPERATOR_CASES = {
    "none": (None, "/operator/rows", None, 401),
    "wrong_secret": ("Bearer bg_bootstrap_0000", "/operator/rows", None, 401),
    "key_of_a_team": (_bearer(_CURRENT_KEY), "/operator/rows", None, 401),
    "viewer_reads": (_bearer(_VIEWER_KEY), "/operator/rows", None, 200),
    "viewer_tops_up": (_bearer(_VIEWER_KEY), "/operator/top-ups", b"{}", 403),
    "viewer_edits": (_bearer(_VIEWER_KEY), "/operator/rows", b"{}", 403),
    "viewer_releases": (_bearer(_VIEWER_KEY), "/operator/releases", b"{}", 403),
}


@pytest.mark.parametrize(
    ("authorization", "path", "body", "status"),
    _OPERATOR_CASES.values(),
    ids=_OPERATOR_CASES.keys(),
)
def test_operators_need_their_own_key_and_the_role(
    deployed: _Deployment,
    authorization: str | None,
    path: str,
    body: bytes | None,
    status: int,
) -> None:
    response = deployed.send(path, authorization, body=body)
    assert response.head.status == status, response.body


@pytest.mark.parametrize(
    ("body", "signature"),
    [
        (b"{}", None),
        (b"{}", "0" * 64),
        (b"", "0" * 64),
        (b"\xff" * 100, "not hexadecimal"),
    ],
)
def test_messages_of_instances_need_a_signature(
    deployed: _Deployment, body: bytes, signature: str | None
) -> None:
    for authorization in (None, _bearer(_CURRENT_KEY)):
        response = deployed.send(
            peers.PATH, authorization, body=body, signature=signature
        )
        assert response.head.status == 401, response.body


def test_request_status_is_hidden_from_other_teams(
    deployed: _Deployment,
) -> None:
    key = identifiers.new_request_key()
    caller = local_caller.LocalCaller(deployed.team_key)
    assert caller.deduct(deployed.url, key=key).status == 200
    own = deployed.send(f"/v1/requests/{key}", f"Bearer {deployed.team_key}")
    assert b"finished" in own.body
    other = deployed.send(f"/v1/requests/{key}", _bearer(_CURRENT_KEY))
    assert b"finished" not in other.body
    assert b"target" not in other.body


def _secrets(deployed: _Deployment) -> list[str]:
    keys = [
        deployed.team_key,
        _CURRENT_KEY.key,
        _VIEWER_KEY.key,
        _EXPIRED_KEY.key,
    ]
    hashes = [_CURRENT_KEY.key_hash, _VIEWER_KEY.key_hash]
    texts = [key.rpartition("_")[2] for key in keys]
    return [*texts, *hashes, local_fleet.SHARED_KEY]


def test_no_secret_appears_in_responses_logs_or_reprs(
    deployed: _Deployment,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(logging.get_absl_logger(), "propagate", True)
    caplog.set_level("DEBUG")
    bodies = []
    key = identifiers.new_request_key()
    caller = local_caller.LocalCaller(deployed.team_key)
    bodies.append(caller.deduct(deployed.url, key=key).body)
    bodies += caller.chat(deployed.url, prompt="hello", max_tokens=3)
    for path in (
        "/metrics",
        "/operator/rows",
        "/operator/fleet",
        "/operator/targets",
        "/operator/shards",
        f"/operator/requests/{key}",
        "/operator/budgets/team/hall-3",
        "/operator/none",
        f"/v1/requests/{key}",
    ):
        for credential in (_VIEWER_KEY, _CURRENT_KEY, _EXPIRED_KEY):
            bodies.append(deployed.send(path, _bearer(credential)).body)
    bodies.append(deployed.send(peers.PATH, None, body=b"{}").body)
    text = b"\n".join(bodies).decode() + caplog.text
    assert "bambooglade_requests_total" in text
    assert "event=envelope_refused" in caplog.text
    assert [secret for secret in _secrets(deployed) if secret in text] == []
    assert [
        secret
        for secret in _secrets(deployed)
        if any(
            secret in repr(instance) for instance in deployed.fleet.instances
        )
    ] == []


def test_tls_is_required_if_a_certificate_is_configured(tmp_path) -> None:
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    issued.cert_chain_pems[0].write_to_path(tmp_path / "cert.pem")
    issued.private_key_pem.write_to_path(tmp_path / "key.pem")
    settings = settings_lib.Settings(
        instance=settings_lib.InstanceSettings(
            name="tls",
            availability_zone=_ZONE,
            host="127.0.0.1",
            port=0,
            arbiter_zones=(_ZONE,),
        ),
        security=settings_lib.SecuritySettings(
            shared_key=settings_lib.Secret(local_fleet.SHARED_KEY),
            certificate_file=str(tmp_path / "cert.pem"),
            key_file=str(tmp_path / "key.pem"),
            ca_file=str(tmp_path / "ca.pem"),
        ),
    )
    instance = process.RouterProcess(settings)
    instance.start()
    try:
        request = messages.Request(method="GET", url=f"{instance.url}/healthz")
        trusting = client_lib.HttpClient(ca_file=str(tmp_path / "ca.pem"))
        assert trusting.request(request).unwrap().head.status == 200
        assert client_lib.HttpClient().request(request).is_err()
        plain = msgspec.structs.replace(
            request, url=request.url.replace("https", "http")
        )
        assert client_lib.HttpClient().request(plain).is_err()
        assert _response_to_plain_text(instance.url) == b""
    finally:
        instance.kill()


def _response_to_plain_text(url: str) -> bytes:
    port = int(url.rpartition(":")[2])
    with socket.create_connection(("127.0.0.1", port), _TIMEOUT_S) as sock:
        sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            return sock.recv(1_000)
        except ConnectionResetError:
            return b""
