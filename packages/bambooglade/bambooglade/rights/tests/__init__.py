"""Tests for `bambooglade.rights`."""
