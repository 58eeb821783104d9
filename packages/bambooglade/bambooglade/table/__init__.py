"""Aggregate: the operators' rows, pages and edits."""
