"""Clocks, typed failures, effects and identifiers.

This package imports no other package of the project.
"""
