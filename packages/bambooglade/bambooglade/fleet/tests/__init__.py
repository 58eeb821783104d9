"""Tests of membership, gossip and graceful shutdown."""
