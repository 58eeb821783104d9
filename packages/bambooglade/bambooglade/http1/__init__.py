"""Strict parsers and encoders of HTTP/1.1 messages, without I/O."""
