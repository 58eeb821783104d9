"""Single-threaded fleet simulation on virtual time, with fault injection."""
