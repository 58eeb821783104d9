"""Broken rules, as the judges of the fleet soak report them."""

from __future__ import annotations


class Violation:
    """One broken rule.

    Attributes:
        rule: Name of the rule.
        at_ms: Time at which it shows.
        detail: What was seen.
    """

    __slots__ = ("at_ms", "detail", "rule")

    def __init__(self, rule: str, at_ms: int, detail: str) -> None:
        self.rule = rule
        self.at_ms = at_ms
        self.detail = detail

    def __repr__(self) -> str:
        return f"{self.rule} at {self.at_ms} ms: {self.detail}"
