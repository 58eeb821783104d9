"""Port to a transactional key-value service, and pacing of its calls."""
