"""Tests of `bambooglade.rights`."""
