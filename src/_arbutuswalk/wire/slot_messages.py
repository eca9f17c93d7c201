"""Contents of the messages about slots of brittle endpoints."""

import json
from typing import NamedTuple

from _arbutuswalk.base import rows


class Candidate(NamedTuple):
    """An endpoint whose slot an entry could use."""

    endpoint_id: str
    born_ms: int
    slots: int
    rejections_per_s: float


class Ask(NamedTuple):
    """Asks for a slot of one of several endpoints.

    Attributes:
        lease_id: Id that the entry chose for the lease.
        lease_s: Longest time for which the slot is needed.
        max_wait_s: Longest wait for it.
        candidates: The endpoints, the preferred one first.
    """

    lease_id: str
    lease_s: float
    max_wait_s: float
    candidates: tuple[Candidate, ...]


class Ended(NamedTuple):
    """The end of a request to a brittle endpoint.

    Attributes:
        lease_id: Id of its lease, empty without one.
        endpoint_id: Id of the endpoint, empty if it is not known which.
        born_ms: Start of the endpoint.
        rejected: Whether it turned the request away for want of room.
        linger_s: Time for which the endpoint may still process it.
    """

    lease_id: str
    endpoint_id: str = ""
    born_ms: int = 0
    rejected: bool = False
    linger_s: float = 0.0


class Unleased(NamedTuple):
    """Requests in progress that an entry sent without a lease."""

    endpoint_id: str
    born_ms: int
    count: int


class Content(NamedTuple):
    """Content of a message from an entry to the leader."""

    ended: tuple[Ended, ...] = ()
    unleased: tuple[Unleased, ...] = ()
    ask: Ask | None = None


def encode(content: Content) -> bytes:
    """Returns the content as JSON."""
    return json.dumps(content, separators=(",", ":")).encode()


def decode(data: bytes) -> Content:
    """Returns the content.

    Raises:
        ValueError: The bytes are no content.
    """
    try:
        ended, unleased, ask, *_ = json.loads(data)
        if ask is not None:
            candidates = tuple(rows.parse(Candidate, row) for row in ask[3])
            ask = Ask(ask[0], float(ask[1]), float(ask[2]), candidates)
        return Content(
            tuple(rows.parse(Ended, row) for row in ended),
            tuple(rows.parse(Unleased, row) for row in unleased),
            ask,
        )
    except (TypeError, IndexError, KeyError) as error:
        raise ValueError(f"content about slots: {error}") from error
