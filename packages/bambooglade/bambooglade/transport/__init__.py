"""HTTP in and out, and the messages between instances."""
