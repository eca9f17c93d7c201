"""Server-sent events as bytes: cut into whole events, with their ids."""

from typing import NamedTuple

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"


class Event(NamedTuple):
    """One whole event with its separator, and its id or an empty string."""

    data: bytes
    id: str


class Cutter:
    """Cuts a byte stream into whole events.

    Attributes:
        rest: Bytes of an event that is not complete yet.
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that ``data`` completes."""
        parts = (self.rest + data).split(SEPARATOR)
        self.rest = parts.pop()
        return [Event(part + SEPARATOR, _id_of(part)) for part in parts]


def _id_of(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""


def is_after(event_id: str, last: str) -> bool:
    """Tells whether an event comes after the last one that was delivered."""
    if not (event_id.isdigit() and last.isdigit()):
        return True
    return int(event_id) > int(last)
