"""Tests of `bambooglade.table`."""
