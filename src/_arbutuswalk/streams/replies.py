"""What an upstream's status and headers mean, whatever its dialect."""

from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]
"""Header names and values in order; names in lower case."""


class Reply(NamedTuple):
    """What an upstream's status and headers mean.

    Attributes:
        ran: False if the upstream says that the request has not run.
        answers: Id of the exchange that it answers, or empty.
        good: Whether it is a success.
        idle_s: How long the upstream keeps the connection, if it says so.
        closing: Whether the upstream closes the connection afterwards.
    """

    ran: bool
    answers: str
    good: bool
    idle_s: float | None
    closing: bool


def first(headers: Headers, name: bytes) -> bytes:
    """Returns the first value of a header, empty if there is none."""
    for known, value in headers:
        if known == name:
            return value
    return b""
