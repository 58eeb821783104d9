"""Tests of the aggregate."""
