"""Dialect-independent meaning of a response's status and headers."""

from typing import NamedTuple

EVENT_STREAM = b"text/event-stream"
"""Media type of event streams."""

Headers = list[tuple[bytes, bytes]]
"""Header names and values in order; names in lower case."""


class Reply(NamedTuple):
    """Meaning of a response's status and headers.

    Attributes:
        ran: False if the upstream states that the request did not run.
        answered_id: Id of the exchange that the response belongs to, or empty.
        is_success: Whether the status is a success.
        keep_alive_s: How long the upstream keeps an idle connection, if stated.
        closes_connection: Whether the upstream closes it afterwards.
        limit_per_s: Requests per second that the upstream accepts from all
            entries together, None if it states no limit.
        is_misdirected: Whether the upstream at the address is not the one that
            was meant.
        states_leaving: Whether the upstream states that it leaves.
        invalid_leaving: Start of an invalid statement that it leaves, None if
            there is none.
        pause_s: Time for which the upstream, which turned the request away,
            wants no request from this entry; None if it states none.
        invalid_pause: Start of what it states instead of a valid pause, None
            if it states none or a valid one.
        rejections_per_s: How many requests per second the upstream, which is
            brittle, may turn away without falling over; None if it does not
            state that it is brittle.
        invalid_brittle: Start of an invalid such statement, None if there is
            none.
        has_no_room: Whether the upstream turned the request away for want of
            room.
    """

    ran: bool
    answered_id: str
    is_success: bool
    keep_alive_s: float | None
    closes_connection: bool
    limit_per_s: float | None = None
    is_misdirected: bool = False
    states_leaving: bool = False
    invalid_leaving: str | None = None
    pause_s: float | None = None
    invalid_pause: str | None = None
    rejections_per_s: float | None = None
    invalid_brittle: str | None = None
    has_no_room: bool = False


def first_value(headers: Headers, name: bytes) -> bytes:
    """Returns the first value of a header, or an empty value."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return b""


def list_values(headers: Headers, name: bytes) -> list[bytes]:
    """Returns the items of all comma-separated values, in lower case."""
    return [
        item.strip().lower()
        for header_name, value in headers
        if header_name == name
        for item in value.split(b",")
    ]


def media_type(headers: Headers) -> bytes:
    """Returns the media type in lower case, empty if none is stated."""
    content_type = first_value(headers, b"content-type")
    return content_type.partition(b";")[0].strip().lower()
