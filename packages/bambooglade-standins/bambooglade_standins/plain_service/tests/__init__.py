"""Tests of the stand-in plain service."""
