"""Ports to the platform's services, and their HTTP adapters."""
