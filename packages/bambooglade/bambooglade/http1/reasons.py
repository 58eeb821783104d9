"""Reason phrases of HTTP status codes."""

from __future__ import annotations

import http

REASON_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
