"""Stand-in for a service of the platform."""
