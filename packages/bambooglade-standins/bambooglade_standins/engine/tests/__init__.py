"""Tests of the stand-in engine."""
