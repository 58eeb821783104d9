"""Adapters to the names, formats and calls of the users' platform.

They only translate. All decisions are made in other packages.
"""
