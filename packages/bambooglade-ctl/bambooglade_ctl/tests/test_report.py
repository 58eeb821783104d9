"""Tests of the report's commands, against an instance in memory."""

from __future__ import annotations

import json
import pathlib

import pytest

from bambooglade.router import metrics
from bambooglade_ctl import access
from bambooglade_ctl import main
from bambooglade_ctl import outcomes
from bambooglade_ctl.burn.tests import generated
from bambooglade_ctl.tests import memory_instance


def _plan(port: memory_instance.MemoryPort, *, latency_ms: int) -> None:
    port.metrics.record_request_end(
        metrics.RequestEnd(
            service="pantry-llm",
            request_kind="plan",
            outcome=metrics.Outcome.FINISHED,
            availability_zone="scot-a",
            target_id="e1",
            latency_ms=latency_ms,
        )
    )


def test_report_is_collected_and_written(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture,
    tmp_path: pathlib.Path,
) -> None:
    port = memory_instance.MemoryPort()
    port.put(generated.PLAN, generated.PLAN.row_key, 1, "ana")
    history = str(tmp_path / "burn.jsonl")
    html = tmp_path / "burn.html"
    with memory_instance.serve(port) as url:
        monkeypatch.setenv(access.URL_VARIABLE, url)
        monkeypatch.setenv(access.KEY_VARIABLE, memory_instance.BOOTSTRAP_KEY)
        port.instances = tuple(
            memory_instance.alive(name, instance_url)
            for name, instance_url in (
                ("i1", url),
                ("i2", "http://127.0.0.1:1"),
            )
        )
        _plan(port, latency_ms=20)
        assert main.run(["report", "collect", history]) == 0
        _plan(port, latency_ms=9_000)
        assert main.run(["report", "collect", history]) == 0
    capsys.readouterr()
    burn = ["report", "burn", "--history", history]
    code = main.run([*burn, "--html", str(html), "--json"])
    assert code is outcomes.ExitCode.BURNING
    report = json.loads(capsys.readouterr().out)
    (objective,) = report["objectives"]
    assert objective["windows"][0]["bad"] == 1
    assert objective["windows"][0]["good"] == 0
    assert report["unreachable"] == ["i2"]
    assert "pantry-llm / plan" in html.read_text()
    assert main.run(burn) is outcomes.ExitCode.BURNING
    assert "late target=e1 zone=scot-a" in capsys.readouterr().out


@pytest.mark.parametrize(
    "arguments",
    [
        ("burn", "--history", "/nonexistent"),
        ("burn", "--pause-s", "0"),
        ("collect", "burn.jsonl", "--count", "none"),
    ],
)
def test_mistaken_report_names_a_remedy(
    arguments: tuple[str, ...], capsys: pytest.CaptureFixture
) -> None:
    assert main.run(["report", *arguments]) is outcomes.ExitCode.REFUSED
    assert len(capsys.readouterr().err.splitlines()) == 2
