"""Accounts of prepaid budgets: reservations, settlements and refills."""
