"""Clocks that processes read and tests replace."""

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds; monotonic unless a name says wall."""

monotonic: Clock = time.monotonic
wall: Clock = time.time

MS_PER_S = 1000


class ManualClock:
    """A clock that moves only when told to.

    Attributes:
        now: Seconds it returns.
    """

    def __init__(self, *, now: float = 0.0):
        self.now = now

    def __call__(self) -> float:
        """Returns the current reading in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by ``seconds``."""
        self.now += seconds
