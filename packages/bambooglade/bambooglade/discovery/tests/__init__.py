"""Tests of `bambooglade.discovery`."""
