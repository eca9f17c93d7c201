"""Limits for the answers of HTTP servers, read by an aiohttp client."""

from typing import Any

READ_BYTES = 64 * 1024
MAX_ERROR_CHARACTERS = 150
"""Length of an error in logs. The client's own contain what it received."""


async def read_body(response: Any, max_bytes: int) -> bytes | None:
    """Returns the complete body, None if it is over ``max_bytes``.

    The connection is closed in that case, as the rest may have no end.
    """
    body = bytearray()
    while data := await response.content.read(READ_BYTES):
        body += data
        if len(body) > max_bytes:
            response.close()
            return None
    return bytes(body)


def describe_error(error: Exception) -> str:
    """Returns the name of an error and the start of its message."""
    text = f"{type(error).__name__}: {error}"
    if len(text) <= MAX_ERROR_CHARACTERS:
        return text
    return text[:MAX_ERROR_CHARACTERS] + "..."
