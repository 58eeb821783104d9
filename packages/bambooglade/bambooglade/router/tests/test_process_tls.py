"""Tests of processes that speak TLS to callers and to each other."""

from __future__ import annotations

import pytest
import trustme

from bambooglade.core import identifiers
from bambooglade_standins import local_caller
from bambooglade_standins import local_fleet


@pytest.fixture
def tls(tmp_path):
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    issued.private_key_pem.write_to_path(tmp_path / "key.pem")
    for part in issued.cert_chain_pems:
        part.write_to_path(tmp_path / "cert.pem", append=True)
    return local_fleet.TlsSettings(
        certificate_file=str(tmp_path / "cert.pem"),
        key_file=str(tmp_path / "key.pem"),
        ca_file=str(tmp_path / "ca.pem"),
    )


def test_callers_and_instances_speak_tls(tls):
    with local_fleet.LocalFleet(tls=tls) as fleet:
        instances = [fleet.start_instance(zone) for zone in fleet.zones]
        fleet.wait_until_ready()
        team_key = fleet.create_team("hall-3", tokens=100)
        trusting = local_caller.LocalCaller(team_key, ca_file=tls.ca_file)
        key = identifiers.new_request_key()
        answers = [trusting.deduct(each.url, key=key) for each in instances]
        plain_url = instances[0].url.replace("https://", "http://")
        refused = [
            local_caller.LocalCaller(team_key).status(instances[0].url),
            trusting.status(plain_url),
        ]
    assert [answer.status for answer in answers] == [200, 200]
    assert [answer.status for answer in refused] == [0, 0]
    assert fleet.till.runs.by_key() == {key: 1}
