"""Tests of `bambooglade.eventloop`."""
