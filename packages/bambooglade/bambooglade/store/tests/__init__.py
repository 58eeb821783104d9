"""Tests of `bambooglade.store`."""
