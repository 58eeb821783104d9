"""Speaks the users' platform: names, formats and calls; decides nothing."""
