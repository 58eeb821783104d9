"""Tests of reading and validating settings files."""

from __future__ import annotations

import pathlib

import pytest

from bambooglade.core import clock as clocks
from bambooglade.router import construction
from bambooglade.router import settings_reader

_KEY = "k" * 32
_VALID = f"""
[instance]
name = "scot-a-1"
availability_zone = "scot-a"
host = "127.0.0.1"
port = 8080
arbiter_zones = ["scot-a", "scot-b"]
seeds = ["127.0.0.1:8081"]

[security]
shared_key = "{_KEY}"
"""


def _mistaken_keys(text: str) -> list[str]:
    failure = settings_reader.parse(text, file="bg.toml").unwrap_err()
    return [mistake.key for mistake in failure.mistakes]


def test_valid_file_is_read_with_defaults(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "bg.toml"
    path.write_text(_VALID)
    loaded = settings_reader.load(path).unwrap()
    assert loaded.instance.seeds == ("127.0.0.1:8081",)
    assert loaded.instance.shard_count == 64
    assert loaded.security.shared_key.reveal() == _KEY


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("port = 8080", "port = 99999", "instance.port"),
        ("port = 8080", 'port = "http"', "instance.port"),
        ("port = 8080", "", "instance.port"),
        ("port = 8080", "port = 1\nprot = 2", "instance.prot"),
        ('host = "127.0.0.1"', 'host = "router.local"', "instance.host"),
        ("127.0.0.1:8081", "peer:8081", "instance.seeds"),
        ("127.0.0.1:8081", "127.0.0.1", "instance.seeds"),
        ('["scot-a", "scot-b"]', "[]", "instance.arbiter_zones"),
        ('name = "scot-a-1"', 'name = "a b"', "instance.name"),
        (_KEY, "short", "security.shared_key"),
        ("[security]", "[securitee]", "securitee"),
        ("[instance]", "instance = 3\n[other]", "instance"),
        (_KEY + '"', _KEY + '"\nkey_file = "/no"', "security.key_file"),
        (
            _KEY + '"',
            _KEY + '"\n[limits]\ndrain_bound_ms = 0',
            "limits.drain_bound_ms",
        ),
        (
            _KEY + '"',
            _KEY + '"\n[limits]\nmemory_mb = 10',
            "limits.memory_mb",
        ),
        (
            _KEY + '"',
            _KEY + '"\n[platform]\nkey_value_url = "kv"',
            "platform.key_value_url",
        ),
        ("[instance]", "[instance", "(file)"),
    ],
)
def test_mistake_reports_its_key_and_a_remedy(
    old: str, new: str, key: str
) -> None:
    assert old in _VALID
    text = _VALID.replace(old, new, 1)
    failure = settings_reader.parse(text, file="bg.toml").unwrap_err()
    by_key = {mistake.key: mistake for mistake in failure.mistakes}
    assert by_key[key].file == "bg.toml"
    assert by_key[key].remedy.endswith((".", "?"))


@pytest.mark.parametrize(
    ("lines", "limit_bytes"),
    [
        ("", 39_470_400),
        ("memory_mb = 150", 12_470_400),
        ("request_threads = 100", 43_920_000),
        ("memory_mb = 64", 4_259_840),
    ],
)
def test_memory_of_the_settings_limits_the_bytes_of_requests(
    lines: str, limit_bytes: int
) -> None:
    """Guards against a setting of the memory that has no effect."""
    text = f"{_VALID}\n[limits]\n{lines}\n"
    settings = settings_reader.parse(text, file="bg.toml").unwrap()
    budget = construction.message_budget(settings, clocks.Clock())
    assert budget.limit_bytes == limit_bytes


def test_all_mistakes_are_reported_at_once() -> None:
    text = _VALID.replace("8080", "-1").replace('"127.0.0.1"', '"x"')
    text = text.replace(_KEY, "short")
    assert _mistaken_keys(text) == [
        "instance.port",
        "instance.host",
        "security.shared_key",
    ]


@pytest.mark.parametrize("shared_key", ['"hunter2"', "[1, 2]"])
def test_secrets_do_not_appear_in_messages_or_reprs(shared_key: str) -> None:
    text = _VALID.replace(f'"{_KEY}"', shared_key)
    failure = settings_reader.parse(text, file="bg.toml").unwrap_err()
    assert "hunter2" not in f"{failure} {failure!r}"
    loaded = settings_reader.parse(_VALID, file="bg.toml").unwrap()
    assert _KEY not in repr(loaded)
