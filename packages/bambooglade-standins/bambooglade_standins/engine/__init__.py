"""Stand-in for a model engine, with faults on request."""
