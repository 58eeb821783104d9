"""Aggregate: idempotency keys, claims and outcomes of requests."""
