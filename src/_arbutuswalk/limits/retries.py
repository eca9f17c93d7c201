"""Retries of one upstream within a sliding window, as this entry's part.

Retries, summed over all entries, must stay below a part of the requests of the
window plus a constant. Each entry keeps to that part of its own requests and
to its share of the constant, so the sum holds without any exchange.
"""

import collections

MARGIN = 0.8
"""Part of the bound that is used; the rest covers windows that begin between
an entry's own and entries that joined and are not counted yet."""


class RetryWindow:
    """Requests and retries of one upstream in the last window.

    Attributes:
        requests: Times of the requests, oldest first.
        retries: Times of the retries, oldest first.
    """

    def __init__(self, *, ratio: float, extra: float, window_s: float):
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Notes a request of a caller."""
        self.requests.append(now)
        _forget(self.requests, now - self.window_s)

    def may_retry(self, now: float, entries: int) -> bool:
        """Takes a retry out of the window; returns whether there was room."""
        oldest = now - self.window_s
        _forget(self.requests, oldest)
        _forget(self.retries, oldest)
        share = self.extra / max(1, entries)
        room = MARGIN * (self.ratio * len(self.requests) + share)
        if len(self.retries) + 1 > room:
            return False
        self.retries.append(now)
        return True


def _forget(times: collections.deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
