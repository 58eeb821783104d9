"""Discovery of the configuration, targets and peers of an instance."""
