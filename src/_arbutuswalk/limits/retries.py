"""Per-entry limit on retries of one upstream within a sliding window.

The retries of all entries must stay below a fraction of the requests of the
window plus a constant. Each entry limits itself to that fraction of its own
requests plus an equal share of the constant, so the total limit holds without
coordination. A process that has just started does not know the retries of the
one that it replaces, so a part of the constant is reserved for such processes.
"""

import collections
from typing import NamedTuple

USED_RATIO_FRACTION = 0.8
"""Fraction of the ratio that is used. The rest covers windows that do not start
with an entry's own window."""
RUNNING_EXTRA_FRACTION = 0.7
"""Fraction of its share of the constant that a process uses."""
STARTING_EXTRA_FRACTION = 0.15
"""The same in the first window after its start. An entry that restarts twice
within a window uses no more than its share."""


class WindowUse(NamedTuple):
    """Retries in a window, and how many this process may make in all."""

    retries: int
    limit: float


class RetryWindow:
    """Requests and retries of one upstream in the last window.

    Attributes:
        first_window_ends_at: When the process has run for one window, in
            seconds.
        requests: Times of the requests, oldest first.
        retries: Times of the retries, oldest first.
    """

    def __init__(
        self,
        *,
        ratio: float,
        extra: float,
        window_s: float,
        first_window_ends_at: float = 0.0,
    ):
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.first_window_ends_at = first_window_ends_at
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Records a request of a caller."""
        self.requests.append(now)
        _drop_before(self.requests, now - self.window_s)

    def try_acquire(self, now: float, entries: int) -> bool:
        """Records a retry if the limit permits it; returns whether it does."""
        use = self.use(now, entries)
        if use.retries + 1 > use.limit:
            return False
        self.retries.append(now)
        return True

    def use(self, now: float, entries: int) -> WindowUse:
        """Returns the retries of the last window, and its limit."""
        cutoff = now - self.window_s
        _drop_before(self.requests, cutoff)
        _drop_before(self.retries, cutoff)
        share = self.extra / max(1, entries)
        share *= (
            STARTING_EXTRA_FRACTION
            if now < self.first_window_ends_at
            else RUNNING_EXTRA_FRACTION
        )
        limit = USED_RATIO_FRACTION * self.ratio * len(self.requests) + share
        return WindowUse(len(self.retries), limit)


def _drop_before(times: collections.deque[float], cutoff: float) -> None:
    while times and times[0] < cutoff:
        times.popleft()
