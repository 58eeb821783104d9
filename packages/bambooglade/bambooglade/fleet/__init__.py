"""Aggregate: instances, membership and handover."""
