"""Operators' command line for bambooglade."""
