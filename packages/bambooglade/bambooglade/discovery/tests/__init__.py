"""Tests for `bambooglade.discovery`."""
