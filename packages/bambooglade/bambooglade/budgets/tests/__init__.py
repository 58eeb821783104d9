"""Tests of the budgets package."""
