"""Tests of processes that use TLS with callers and with each other."""

from __future__ import annotations

import pytest
import trustme

from bambooglade.core import identifiers
from bambooglade_standins import local_caller
from bambooglade_standins import local_fleet


@pytest.fixture
def tls(tmp_path):
    authority = trustme.CA()
    server_certificate = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    server_certificate.private_key_pem.write_to_path(tmp_path / "key.pem")
    for certificate in server_certificate.cert_chain_pems:
        certificate.write_to_path(tmp_path / "cert.pem", append=True)
    return local_fleet.TlsSettings(
        certificate_file=str(tmp_path / "cert.pem"),
        key_file=str(tmp_path / "key.pem"),
        ca_file=str(tmp_path / "ca.pem"),
    )


def test_callers_and_instances_connect_over_tls_only(tls):
    with local_fleet.LocalFleet(tls=tls) as fleet:
        instances = [fleet.start_instance(zone) for zone in fleet.zones]
        fleet.wait_until_ready()
        team_key = fleet.create_team("hall-3", tokens=100)
        trusting_caller = local_caller.LocalCaller(
            team_key, ca_file=tls.ca_file
        )
        key = identifiers.new_request_key()
        responses = [
            trusting_caller.deduct(each.url, key=key) for each in instances
        ]
        plain_url = instances[0].url.replace("https://", "http://")
        refused = [
            local_caller.LocalCaller(team_key).status(instances[0].url),
            trusting_caller.status(plain_url),
        ]
    assert [response.status for response in responses] == [200, 200]
    assert [response.status for response in refused] == [0, 0]
    assert fleet.till.runs.by_key() == {key: 1}
