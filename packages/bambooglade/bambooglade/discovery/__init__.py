"""What an instance believes about the configuration, targets and peers."""
