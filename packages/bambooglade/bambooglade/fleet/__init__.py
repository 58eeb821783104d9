"""Instances of the fleet: membership, gossip and graceful shutdown."""
