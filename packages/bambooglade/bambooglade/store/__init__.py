"""Clients of the platform's services, and rate limiting of their calls."""
