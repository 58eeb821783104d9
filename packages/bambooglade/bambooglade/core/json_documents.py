"""Decodes JSON documents that other processes have written."""

from __future__ import annotations

import re
from typing import TypeVar

import msgspec

DocumentType = TypeVar("DocumentType")


MAX_KEPT_LEVELS = 32
"""Levels that `without_deep_values` keeps; the project's own documents have
fewer."""

_STRINGS_AND_BRACKETS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


class NestedTooDeeplyError(msgspec.DecodeError):
    """A document has more levels than can be decoded."""


def decode(
    document: bytes | str, document_type: type[DocumentType]
) -> DocumentType:
    """Returns the value of a document.

    Args:
        document: The document, in JSON.
        document_type: Type of the value.

    Raises:
        msgspec.DecodeError: The document is malformed, of another type, or
            nested too deeply.

    Examples:
        >>> decode(b"[1, 2]", list[int])
        [1, 2]
        >>> decode(b"[" * 9_999 + b"]" * 9_999, list)
        Traceback (most recent call last):
            ...
        bambooglade.core.json_documents.NestedTooDeeplyError: ...
    """
    try:
        return msgspec.json.decode(document, type=document_type)
    except RecursionError as error:
        raise _nested_too_deeply() from error


def decode_with(
    decoder: msgspec.json.Decoder[DocumentType], document: bytes | str
) -> DocumentType:
    """Returns the value of a document, as `decode` does."""
    try:
        return decoder.decode(document)
    except RecursionError as error:
        raise _nested_too_deeply() from error


def without_deep_values(
    document: bytes, *, max_levels: int = MAX_KEPT_LEVELS
) -> bytes:
    """Returns a document with null for each list or object below a level.

    Args:
        document: The document, in JSON.
        max_levels: Levels of lists and objects that are kept.

    Examples:
        >>> without_deep_values(b'[1, [2, ["]"]], {"a": {}}]', max_levels=2)
        b'[1, [2, null], {"a": null}]'
    """
    kept: list[bytes] = []
    level = kept_until = 0
    for token in _STRINGS_AND_BRACKETS.finditer(document):
        bracket = token.group()
        if bracket in (b"[", b"{"):
            level += 1
            if level == max_levels + 1:
                kept += [document[kept_until : token.start()], b"null"]
        elif bracket in (b"]", b"}"):
            if level == max_levels + 1:
                kept_until = token.end()
            level -= 1
    if level <= max_levels:
        kept.append(document[kept_until:])
    return b"".join(kept)


def _nested_too_deeply() -> NestedTooDeeplyError:
    return NestedTooDeeplyError(
        "the document is nested too deeply; write it with fewer levels"
    )
