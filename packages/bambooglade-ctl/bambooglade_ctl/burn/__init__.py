"""Report on the burn rates of service-level objectives."""
