"""One request's answer as it grows, and whoever reads it."""

from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.streams import framing


class Problem(NamedTuple):
    """Why a request has no whole answer.

    Attributes:
        status: HTTP status.
        title: Short reason, equal for equal causes.
        detail: What the caller should know or do.
        ran: ``no``, ``unknown`` or ``yes``.
        retry_after_s: When to come back, zero for not at all.
    """

    status: int
    title: str
    detail: str
    ran: str
    retry_after_s: int = 0


Reader = Callable[[], None]
"""Called whenever the answer has grown or ended."""


class Answer:
    """Events of one generation, kept until nobody can resume it.

    Attributes:
        request_id: Id of the request.
        events: Engine events in order, without ids and separators.
        prefix: What every event's id line starts with.
        done: Whether the end marker was received.
        problem: Why it ended without the end marker.
        readers: Callbacks of attached readers.
    """

    def __init__(self, *, request_id: str):
        self.request_id = request_id
        self.events: list[bytes] = []
        self.prefix = framing.id_prefix(request_id)
        self.done = False
        self.problem: Problem | None = None
        self.readers: set[Reader] = set()

    @property
    def ended(self) -> bool:
        """Whether nothing will be added any more."""
        return self.done or self.problem is not None

    def add(self, events: list[bytes]) -> None:
        """Adds engine events and wakes readers."""
        self.events += events
        self._wake()

    def framed(self, start: int) -> bytes:
        """Returns the events from ``start`` on as sent to callers."""
        return framing.number(self.prefix, start, self.events[start:])

    def finish(self) -> None:
        """Ends the answer as whole."""
        self.done = True
        self._wake()

    def fail(self, problem: Problem) -> None:
        """Ends the answer as not whole."""
        if not self.ended:
            self.problem = problem
            self._wake()

    def text(self) -> str:
        """Returns the text delivered so far."""
        return "".join(framing.text_of(event) for event in self.events)

    def _wake(self) -> None:
        for reader in tuple(self.readers):
            reader()
