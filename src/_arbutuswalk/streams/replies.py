"""Dialect-independent meaning of a response's status and headers."""

from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]
"""Header names and values in order; names in lower case."""


class Reply(NamedTuple):
    """Meaning of a response's status and headers.

    Attributes:
        ran: False if the upstream states that the request did not run.
        answers: Id of the exchange that the response belongs to, or empty.
        good: Whether the status is a success.
        idle_s: How long the upstream keeps an idle connection, if stated.
        closing: Whether the upstream closes the connection afterwards.
    """

    ran: bool
    answers: str
    good: bool
    idle_s: float | None
    closing: bool


def first(headers: Headers, name: bytes) -> bytes:
    """Returns the first value of a header, or an empty value."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return b""
