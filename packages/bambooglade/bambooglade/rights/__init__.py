"""Spending rights of one instance: draws, loans and reservations."""
