"""Instances on virtual time, in one thread, with faults at the interfaces."""
