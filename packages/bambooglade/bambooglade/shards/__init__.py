"""Shards with their primary, backup and document."""
