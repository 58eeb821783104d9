"""Predicts and places requests; without I/O."""
