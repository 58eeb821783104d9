"""Forwards callers' requests to targets, byte for byte."""
