"""Tests of the metrics."""

from __future__ import annotations

from bambooglade.router import metrics


def test_requests_and_gauges_are_rendered() -> None:
    registry = metrics.Metrics()
    for latency_ms in (20, 2_000):
        registry.record_request_end(
            metrics.RequestEnd(
                service="pantry-llm",
                request_kind="plan",
                outcome=metrics.Outcome.REFUSED,
                cause="overloaded",
                availability_zone="scot-a",
                latency_ms=latency_ms,
            )
        )
    registry.set_gauge(metrics.HELD_TOKENS, 40)
    registry.record_platform_call(call="read", outcome="answered")
    text = registry.render().body.decode()
    assert 'cause="overloaded"' in text
    lines = dict(line.rsplit(" ", 1) for line in text.splitlines())
    assert lines["bambooglade_held_tokens"] == "40"
    calls = 'bambooglade_platform_calls_total{call="read",outcome="answered"}'
    assert lines[calls] == "1"
    bucket_lines = [line for line in lines if 'le="0.025"' in line]
    assert [float(lines[line]) for line in bucket_lines] == [1.0]
