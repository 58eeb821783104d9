"""Operators' table: rows, pages, edits and replication."""
