"""Deterministic text, so that a resumed stream can be checked to be whole."""

from __future__ import annotations

from collections.abc import Iterator
import hashlib

_WORDS = (
    "clay", "bronze", "paper", "light", "weave", "stone", "oats", "lentil",
    "salad", "soup", "apple", "bread", "colour", "form", "line", "scale",
)  # fmt: skip


def prompt_digest(prompt: str) -> bytes:
    """Returns the digest that the text is derived from."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()


def token(prompt: str, index: int) -> str:
    """Returns the token of an answer at an index.

    Examples:
        >>> token("hello", 3) == token("hello", 3)
        True
    """
    seed = prompt_digest(prompt) + index.to_bytes(4, "big")
    digest = hashlib.blake2b(seed, digest_size=4).digest()
    word = _WORDS[digest[0] % len(_WORDS)]
    return f"{word}{index} "


def text(prompt: str, count: int) -> str:
    """Returns the whole answer of `count` tokens."""
    return "".join(tokens(prompt, 0, count))


def tokens(prompt: str, start: int, end: int) -> Iterator[str]:
    """Yields the tokens from `start` up to `end`."""
    return (token(prompt, index) for index in range(start, end))


def prompt_tokens(prompt: str) -> int:
    """Returns the size of a prompt in tokens; about four bytes each."""
    return max(1, -(-len(prompt.encode()) // 4))
