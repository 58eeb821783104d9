"""Tests of the HTTP transport."""
