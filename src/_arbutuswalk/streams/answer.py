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
        framed: The same as sent to callers.
        done: Whether the end marker was received.
        problem: Why it ended without the end marker.
        readers: Callbacks of attached readers.
        reset: Whether an earlier generation was given up, so that readers
            have to start over.
    """

    def __init__(self, *, request_id: str):
        self.request_id = request_id
        self.events: list[bytes] = []
        self.framed: list[bytes] = []
        self.done = False
        self.problem: Problem | None = None
        self.readers: set[Reader] = set()

    @property
    def ended(self) -> bool:
        """Whether nothing will be added any more."""
        return self.done or self.problem is not None

    def add(self, events: list[bytes]) -> None:
        """Adds engine events and wakes readers."""
        start = len(self.framed)
        self.events += events
        self.framed += [
            framing.number(self.request_id, start + i, event)
            for i, event in enumerate(events)
        ]
        self._wake()

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
        for reader in list(self.readers):
            reader()
