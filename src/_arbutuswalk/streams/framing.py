"""Splits and numbers server-sent events as bytes, without parsing them."""

import json

from _arbutuswalk.base import digits

SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]"
ERROR_PREFIX = b'data: {"error"'
KEEP_ALIVE = b": keep-alive\n\n"
MAX_EVENT_BYTES = 256 * 1024


class Framer:
    """Splits a byte stream into events.

    Attributes:
        rest: Bytes of an event that is not complete yet.
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that ``data`` completes, without separators."""
        if self.rest:
            data = self.rest + data
        parts = data.split(SEPARATOR)
        self.rest = parts.pop()
        return parts


def id_prefix(request_id: str) -> bytes:
    """Returns the start of the id line of each event of a request."""
    return f"id: {request_id}:".encode()


def number_events(prefix: bytes, first: int, events: list[bytes]) -> bytes:
    """Returns events with id lines and separators, ready to send."""
    if len(events) == 1:
        return b"%b%d\n%b\n\n" % (prefix, first, events[0])
    return b"".join(
        b"%b%d\n%b\n\n" % (prefix, event_number, event)
        for event_number, event in enumerate(events, first)
    )


def parse_event_id(text: str) -> tuple[str, int] | None:
    """Returns the request id and event number of a ``Last-Event-ID``."""
    request_id, _, number_text = text.rpartition(":")
    event_number = digits.parse(number_text)
    if not request_id or event_number is None:
        return None
    return request_id, event_number


def event_text(event: bytes) -> str:
    """Returns the text of a completion or chat event, or an empty string."""
    if not event.startswith(b"data: {"):
        return ""
    try:
        choices = json.loads(event[len(b"data: ") :]).get("choices") or [{}]
        choice = choices[0]
        delta = choice.get("delta") or {}
        return choice.get("text") or delta.get("content") or ""
    except (ValueError, AttributeError, TypeError, IndexError):
        return ""


def event_payload(event: bytes) -> dict | None:
    """Returns the JSON object in an event, or None."""
    if not event.startswith(b"data: {"):
        return None
    try:
        return json.loads(event[len(b"data: ") :])
    except ValueError:
        return None
