"""The router process: connects the aggregates with the transport."""
