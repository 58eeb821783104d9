"""Measurements; one module per question."""
