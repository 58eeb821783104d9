"""Idempotency keys of requests: claims, outcomes and billing of runs."""
