"""Identity of a request as a whole, the same for each time that it is sent."""

from __future__ import annotations

import hashlib

PREFIX = "request:"
"""Tells identities from ids of prompt parts, which contain no colon."""

_DIGEST_BYTES = 16


def identify(*, caller: str, method: bytes, target: bytes, body: bytes) -> str:
    """Returns what all repetitions of a request have in common.

    Args:
        caller: Name of the caller's team; empty if it is unknown.
        method: HTTP method.
        target: Host and path with the query.
        body: The whole body.

    Returns:
        `PREFIX` and 32 hexadecimal digits.

    Examples:
        >>> same = [identify(caller="t", method=b"GET", target=b"/1", body=b"")
        ...     for _ in range(2)]
        >>> same[0] == same[1]
        True
        >>> identify(caller="u", method=b"GET", target=b"/1", body=b"") in same
        False
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (caller.encode(), method, target):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(body)
    return PREFIX + digest.hexdigest()
