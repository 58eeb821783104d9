"""Tests against the emulated platform."""
