"""Stand-in for a plain service, with faults on request."""
