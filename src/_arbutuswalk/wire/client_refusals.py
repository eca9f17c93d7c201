"""Answers to requests that were not read to their end."""

import json

from uvicorn.protocols.http import httptools_impl

RETRY_AFTER_S = 1.0
STATUS_TIMEOUT = 408
STATUS_CONTENT_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503


def encode(status: int, reason: str) -> bytes:
    """Returns a whole answer that ends its connection."""
    body = json.dumps({"status": status, "detail": reason}).encode()
    retry_after = b""
    if status == STATUS_UNAVAILABLE:
        retry_after = b"retry-after: %g\r\n" % RETRY_AFTER_S
    return (
        httptools_impl.STATUS_LINE[status]
        + b"content-type: application/problem+json\r\n"
        + b"content-length: %d\r\n" % len(body)
        + retry_after
        + b"connection: close\r\n\r\n"
        + body
    )
