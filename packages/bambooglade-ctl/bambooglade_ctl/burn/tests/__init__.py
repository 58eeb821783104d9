"""Tests of the burn rate report."""
