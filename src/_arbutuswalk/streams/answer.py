"""The answer to one request while it is generated, and its readers."""

from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.streams import framing

EVENT_OVERHEAD_BYTES = 64
"""Memory that an event takes beside its bytes."""


def size_of(events: list[bytes]) -> int:
    """Returns the memory that events take."""
    return EVENT_OVERHEAD_BYTES * len(events) + sum(map(len, events))


class Problem(NamedTuple):
    """Why a request has no complete answer.

    Attributes:
        status: HTTP status.
        title: Short reason, equal for equal causes.
        detail: What the caller should know or do.
        ran: Whether the request ran: ``no``, ``unknown`` or ``yes``.
        retry_after_s: When the caller may retry, zero if it should not.
    """

    status: int
    title: str
    detail: str
    ran: str
    retry_after_s: int = 0


Reader = Callable[[], None]
"""Called whenever events were added or the answer ended."""


class Answer:
    """Events of one generation, kept as long as a caller can resume it.

    Attributes:
        request_id: Id of the request.
        events: Engine events in order, without ids and separators.
        size: Memory that they take, in bytes.
        id_prefix: Start of every event's id line.
        done: Whether the end marker was received.
        problem: Why the answer ended without the end marker.
        readers: Callbacks of attached readers.
    """

    def __init__(self, *, request_id: str):
        self.request_id = request_id
        self.events: list[bytes] = []
        self.size = 0
        self.id_prefix = framing.id_prefix(request_id)
        self.done = False
        self.problem: Problem | None = None
        self.readers: set[Reader] = set()

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self.done or self.problem is not None

    def add(self, events: list[bytes]) -> None:
        """Adds engine events and calls the readers."""
        self.events += events
        self.size += size_of(events)
        self._wake()

    def framed(self, start: int) -> bytes:
        """Returns the events from ``start`` on, framed for callers."""
        return framing.number_events(self.id_prefix, start, self.events[start:])

    def finish(self) -> None:
        """Marks the answer as complete."""
        self.done = True
        self._wake()

    def fail(self, problem: Problem) -> None:
        """Marks the answer as failed, unless it has already ended."""
        if not self.ended:
            self.problem = problem
            self._wake()

    def text(self) -> str:
        """Returns the text of the events received so far."""
        return "".join(framing.event_text(event) for event in self.events)

    def _wake(self) -> None:
        for reader in tuple(self.readers):
            reader()
