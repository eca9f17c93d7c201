"""Limits for the answers of HTTP servers, read by an aiohttp client."""

import asyncio
import functools
import importlib
from typing import Any

READ_BYTES = 64 * 1024
MAX_ERROR_CHARACTERS = 150
"""Length of an error in logs. The client's own contain what it received."""

MAX_INTERIM_RESPONSES = 100
"""Interim responses before an answer, the same as before a relayed one."""


def limit_interim_responses(connector: Any) -> Any:
    """Ends connections of an aiohttp connector with too many interim responses.

    The client skips them without a pause, and a read can bring thousands.
    """
    aiohttp = importlib.import_module("aiohttp")
    client_proto = importlib.import_module("aiohttp.client_proto")

    class LimitedHandler(client_proto.ResponseHandler):
        """Counts the interim responses before each answer."""

        def __init__(self, loop: asyncio.AbstractEventLoop):
            super().__init__(loop)
            self.interim_count = 0

        def feed_data(self, data: Any, size: int = 0) -> None:
            if self.exception() is not None:
                return
            is_interim = 100 <= data[0].code < 200
            self.interim_count = self.interim_count + 1 if is_interim else 0
            if self.interim_count <= MAX_INTERIM_RESPONSES:
                super().feed_data(data, size)
                return
            reason = f"over {MAX_INTERIM_RESPONSES} interim responses"
            self.set_exception(aiohttp.ClientConnectionError(reason))
            self.transport.close()

    connector._factory = functools.partial(
        LimitedHandler, loop=asyncio.get_running_loop()
    )
    return connector


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
