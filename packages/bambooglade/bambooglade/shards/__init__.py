"""Aggregate: shards, their primary and backup, and their documents."""
