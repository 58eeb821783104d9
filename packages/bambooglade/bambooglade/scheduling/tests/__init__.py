"""Tests of the routing policy."""
