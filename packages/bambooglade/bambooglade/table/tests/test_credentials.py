"""Tests of keys: each way of being let in wrongly."""

from __future__ import annotations

import threading

import argon2
import pytest

from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade.table import view

KEY = credentials.new_key("team_1")
PREVIOUS = credentials.new_key("team_1")
OTHER = credentials.new_key("t2")
TABLE = view.FixedTable(
    [
        rows.TeamRow(
            team_id="team_1",
            key_hash=KEY.key_hash,
            previous_key_hash=PREVIOUS.key_hash,
        ),
        rows.TeamRow(team_id="t2", key_hash=OTHER.key_hash),
        rows.TeamRow(team_id="broken", key_hash="not a hash"),
    ]
)


def _secret(key):
    return key.key.rpartition("_")[2]


def _authenticate(template):
    authorization = template.format(
        key=KEY.key,
        previous=PREVIOUS.key,
        other=OTHER.key,
        secret=_secret(KEY),
        cut=KEY.key[:-1],
        hash=KEY.key_hash,
        long="x" * 1_000,
    )
    authenticator = credentials.TeamAuthenticator(TABLE, credentials.Verifier())
    return authenticator.authenticate(authorization)


@pytest.mark.parametrize(
    ("template", "team_id"),
    [
        ("Bearer {key}", "team_1"),
        ("bearer {key}", "team_1"),
        ("Bearer {previous}", "team_1"),
        ("Bearer {other}", "t2"),
    ],
)
def test_current_and_previous_keys_are_accepted(template, team_id):
    assert _authenticate(template).unwrap().team_id == team_id


@pytest.mark.parametrize(
    "template",
    [
        "",
        "Bearer ",
        "{key}",
        "Basic {key}",
        "Bearer {secret}",
        "Bearer bg_t2_{secret}",
        "Bearer bg_nobody_{secret}",
        "Bearer {key}0",
        "Bearer {cut}",
        "Bearer bg_team_1_",
        "Bearer bg_team_1",
        "Bearer bg_broken_{secret}",
        "Bearer bg_team_1_{hash}",
        "Bearer bg_team_1_{long}",
    ],
)
def test_everything_else_is_refused_without_showing_the_key(template):
    failure = _authenticate(template).unwrap_err()
    assert failure.kind == "invalid_key"
    assert _secret(KEY) not in str(failure)


def test_a_rotation_keeps_one_previous_key():
    team = TABLE.get("team/t2")
    first, second = credentials.new_key("t2"), credentials.new_key("t2")
    twice = credentials.with_rotated_key(
        credentials.with_rotated_key(team, first), second
    )
    authenticator = credentials.TeamAuthenticator(
        view.FixedTable([twice]), credentials.Verifier()
    )
    accepted = [
        authenticator.authenticate(f"Bearer {key.key}").is_ok()
        for key in (second, first, OTHER)
    ]
    assert accepted == [True, True, False]


def test_a_known_key_is_not_hashed_again(monkeypatch):
    verifier = credentials.Verifier()
    assert verifier.matches(_secret(KEY), KEY.key_hash).unwrap()
    assert not verifier.matches("wrong", KEY.key_hash).unwrap()

    def refuse(*args):
        raise AssertionError("hashed again")

    monkeypatch.setattr(argon2.PasswordHasher, "verify", refuse)
    assert verifier.matches(_secret(KEY), KEY.key_hash).unwrap()
    assert not verifier.matches("wrong", KEY.key_hash).unwrap()


def test_a_flood_of_wrong_keys_is_shed(monkeypatch):
    release = threading.Event()
    entered = threading.Semaphore(0)

    def slow(*args):
        entered.release()
        release.wait(timeout=5)
        return False

    monkeypatch.setattr(argon2.PasswordHasher, "verify", slow)
    verifier = credentials.Verifier()
    threads = [
        threading.Thread(target=verifier.matches, args=(str(n), "hash"))
        for n in range(credentials.MAX_CONCURRENT_VERIFICATIONS)
    ]
    for thread in threads:
        thread.start()
    for _ in threads:
        assert entered.acquire(timeout=5)
    shed = verifier.matches("one more", "hash")
    release.set()
    for thread in threads:
        thread.join()
    assert shed.unwrap_err().kind == "verification_overloaded"
