"""Spending rights of an instance: draws, loans and reservations."""
