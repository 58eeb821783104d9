"""Routing policy: load, health and choice of targets, and orders to engines."""
