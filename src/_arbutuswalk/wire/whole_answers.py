"""Answers callers with HTTP/1.0 whole and with a length.

They cannot read chunks, and the end of a connection does not tell them whether
an answer is complete.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer without a length that is kept in memory."""
MAX_TOTAL_BYTES = 32 * 1024 * 1024
"""Bytes of all such answers; one that would exceed them is not kept."""
_INCOMPLETE = 502
_INCOMPLETE_BODY = b'{"status": 502, "title": "answer incomplete"}'

_INCOMPLETE_HEADERS = ((b"content-type", b"application/problem+json"),)

App = Callable[[dict[str, Any], Any, Any], Awaitable[None]]
"""An ASGI application."""


class _Kept:
    """Bytes of all answers that are kept now."""

    def __init__(self):
        self.total = 0


class _Answer:
    """An answer that is collected until it is complete.

    Attributes:
        head: Message that starts it, None before it.
        body: Parts of its body.
        size: Bytes of the body.
        is_complete: Whether its last part was received.
        is_too_large: Whether it was dropped.
        kept: Bytes of all answers; those of this one are in it.
        kept_bytes: The latter.
    """

    def __init__(self, kept: _Kept):
        self.kept = kept
        self.kept_bytes = 0
        self.is_too_large = False
        self.head: dict[str, Any] | None = None
        self.body: list[bytes] = []
        self.size = 0
        self.is_complete = False

    async def collect(self, message: dict[str, Any]) -> None:
        """Adds one message of the application; drops what is too large."""
        if message["type"] == "http.response.start":
            self.head = message
            return
        part = message.get("body", b"")
        self.size += len(part)
        self._keep(len(part))
        self.is_too_large = (
            self.is_too_large
            or self.size > MAX_ANSWER_BYTES
            or self.kept.total > MAX_TOTAL_BYTES
        )
        if self.is_too_large:
            self.drop()
        else:
            self.body.append(part)
        self.is_complete = not message.get("more_body", False)

    def drop(self) -> None:
        """Drops the body."""
        self.body.clear()
        self._keep(-self.kept_bytes)

    def _keep(self, size: int) -> None:
        self.kept.total += size
        self.kept_bytes += size

    def messages(self) -> list[dict[str, Any]]:
        """Returns the messages of the answer, or of a failure."""
        is_whole = self.is_complete and not self.is_too_large
        status = self.head["status"] if is_whole else _INCOMPLETE
        body = b"".join(self.body) if is_whole else _INCOMPLETE_BODY
        headers = list(
            self.head["headers"] if is_whole else _INCOMPLETE_HEADERS
        )
        if not any(name.lower() == b"content-length" for name, _ in headers):
            headers.append((b"content-length", b"%d" % len(body)))
        return [
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            },
            {"type": "http.response.body", "body": body},
        ]


def for_http_1_0(app: App) -> App:
    """Returns ``app`` with whole answers for callers with HTTP/1.0."""
    kept = _Kept()

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope.get("http_version") != "1.0":
            await app(scope, receive, send)
            return
        answer = _Answer(kept)
        try:
            await app(scope, receive, answer.collect)
            for message in answer.messages():
                await send(message)
        finally:
            answer.drop()

    return serve
