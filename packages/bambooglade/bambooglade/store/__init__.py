"""Ports to the platform's services, their adapters, and pacing of calls."""
