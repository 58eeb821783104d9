"""HTTP gateway that forwards callers' requests to targets unchanged."""
