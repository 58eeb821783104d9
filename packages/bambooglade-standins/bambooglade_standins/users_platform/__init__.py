"""Emulates the users' platform: its store, its engines and its callers."""
