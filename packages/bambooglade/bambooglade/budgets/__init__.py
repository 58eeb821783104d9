"""Aggregate: accounts, shards, reservations and bills."""
