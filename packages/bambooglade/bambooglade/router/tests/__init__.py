"""Tests of the router process."""
