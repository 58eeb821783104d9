"""Decodes JSON documents that other processes have written."""

from __future__ import annotations

from typing import TypeVar

import msgspec

DocumentType = TypeVar("DocumentType")


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


def _nested_too_deeply() -> NestedTooDeeplyError:
    return NestedTooDeeplyError(
        "the document is nested too deeply; write it with fewer levels"
    )
