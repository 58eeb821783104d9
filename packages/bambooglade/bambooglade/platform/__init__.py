"""Adapters to the platform on which users run gateways.

They only translate names, formats and calls. All decisions are made in other
packages.
"""
