"""Tests of `bambooglade.http1`."""
