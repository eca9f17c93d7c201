"""Which starts of endpoints warm up, and how they return to full use.

Designed for whole failure domains whose endpoints start together. An endpoint
that warms up has announced for how long; nothing is known of a start that never
announced a warm-up.
"""

from collections.abc import Container

from _arbutuswalk.routing import leaving

SLOW_START_S = 3.0
"""Time after a warm-up in which the endpoint's share of requests grows to the
full one: all entries have reported several times by then what they send it."""
MIN_SHARE = 0.5
"""Share of the requests during the warm-up: the endpoint may be slower than
others, but the limit protects it, and others need its room."""
CONFIRMATION_S = 2.0
"""Time after an assumption in which an announcement may have been made before
it: the longest that control takes to pass on a heartbeat."""


class WarmUps:
    """Warm-ups of the endpoints known to one process.

    Attributes:
        ends_at: Local time of the end of the last warm-up, by start.
        assumed_at: When a warm-up was assumed that the endpoint has not
            announced, by start.
    """

    def __init__(self):
        self.ends_at: dict[leaving.Start, float] = {}
        self.assumed_at: dict[leaving.Start, float] = {}

    def record(self, start: leaving.Start, left_s: float, now: float) -> None:
        """Records an announcement of the remaining warm-up time.

        It was made before ``now``, so a warm-up ends no later than recorded.
        """
        if not left_s and start not in self.ends_at:
            return
        if not left_s and now - self._assumed_at(start) < CONFIRMATION_S:
            return
        self.assumed_at.pop(start, None)
        ends_at = now + left_s
        self.ends_at[start] = (
            ends_at if left_s else min(ends_at, self.ends_at[start])
        )

    def assume(
        self, start: leaving.Start, duration_s: float, now: float
    ) -> None:
        """Assumes a warm-up until the endpoint announces that it has none."""
        self.assumed_at[start] = now
        self.ends_at[start] = max(
            self.ends_at.get(start, now), now + duration_s
        )

    def left_s(self, start: leaving.Start, now: float) -> float:
        """Returns the time in seconds until a warm-up ends, 0 if there is none.

        It is not shorter than the endpoint's own time.
        """
        return max(0.0, self.ends_at.get(start, now) - now)

    def share(self, start: leaving.Start, now: float) -> float:
        """Returns the share of requests that consider an endpoint, 0 to 1."""
        ends_at = self.ends_at.get(start)
        if ends_at is None:
            return 1.0
        progress = min(1.0, max(0.0, (now - ends_at) / SLOW_START_S))
        return MIN_SHARE + (1.0 - MIN_SHARE) * progress

    def expire(self, known: Container[leaving.Start], now: float) -> None:
        """Forgets endpoints in full use and those that are not known."""
        self.ends_at = {
            start: ends_at
            for start, ends_at in self.ends_at.items()
            if start in known and now - ends_at < SLOW_START_S
        }
        self.assumed_at = {
            start: assumed_at
            for start, assumed_at in self.assumed_at.items()
            if start in self.ends_at
        }

    def _assumed_at(self, start: leaving.Start) -> float:
        return self.assumed_at.get(start, float("-inf"))
