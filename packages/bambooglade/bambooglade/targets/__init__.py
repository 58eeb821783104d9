"""Aggregate: targets, load, choice and orders."""
