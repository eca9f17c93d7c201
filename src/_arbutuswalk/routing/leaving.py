"""Starts of endpoints that have stated in an answer that they leave.

Leaving is final within a start. An endpoint is remembered by its id and start,
so another endpoint that uses its address later is not affected.
"""

from collections.abc import Container
from typing import Any
from typing import NamedTuple

RETENTION_S = 60.0
"""Time for which a start is remembered although its endpoint is not known:
longer than any announcement of it may be late."""
MAX_STARTS = 4096
"""Starts that are remembered; the oldest are forgotten first."""


class Start(NamedTuple):
    """One start of an endpoint."""

    endpoint_id: str
    born_ms: int


class LeavingStarts:
    """Starts that leave, as this process or another one was told.

    Attributes:
        stated_at: When an answer with the first known statement was received,
            in seconds of this process's clock, by start, the oldest first.
    """

    def __init__(self):
        self.stated_at: dict[Start, float] = {}

    def record(self, start: Start, stated_at: float) -> bool:
        """Records a statement; returns whether it is the first of the start.

        A later one does not count, so that statements which processes send
        each other in turn do expire.
        """
        if start in self.stated_at:
            return False
        self.stated_at[start] = stated_at
        if len(self.stated_at) > MAX_STARTS:
            del self.stated_at[next(iter(self.stated_at))]
        return True

    def expire(self, now: float, known: Container[Start]) -> None:
        """Forgets the old statements of starts that are not in ``known``."""
        self.stated_at = {
            start: stated_at
            for start, stated_at in self.stated_at.items()
            if now - stated_at <= RETENTION_S or start in known
        }

    def to_json(self, now: float) -> list[list]:
        """Returns all statements with their ages instead of times."""
        return [
            [*start, now - stated_at]
            for start, stated_at in self.stated_at.items()
        ]


def from_json(values: list[Any], now: float) -> dict[Start, float]:
    """Returns the statements that another process sent just now."""
    return {
        Start(endpoint_id, born_ms): now - age_s
        for endpoint_id, born_ms, age_s, *_ in values
    }
