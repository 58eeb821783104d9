"""Tests of `bambooglade.gateway`."""
