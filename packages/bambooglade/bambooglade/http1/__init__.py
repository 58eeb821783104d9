"""HTTP/1.1 messages: strict parsing and encoding, without I/O."""
