"""Tests of `bambooglade.platform`."""
