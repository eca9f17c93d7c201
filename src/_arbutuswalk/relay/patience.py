"""Tells which requests have come back, from how long their callers still wait.

A caller that comes back after a refusal waits for what is left of its time, so
a deadline below the longest one of the route tells how long ago it first came.
"""

from _arbutuswalk.relay import request as requests

DECAY = 0.999
"""What each request takes off the longest time, so that one odd caller does
not make all others look late for good."""


class Patience:
    """The longest time that callers of each route wait.

    Attributes:
        longest_s: That time by route.
    """

    def __init__(self):
        self.longest_s: dict[str, float] = {}

    def note(self, route: str, waits_s: float | None) -> None:
        """Notes how long a caller waits."""
        if waits_s is None:
            return
        longest = self.longest_s.get(route, 0.0) * DECAY
        self.longest_s[route] = max(longest, waits_s)

    def is_late(self, request: requests.Request, now: float) -> bool:
        """Tells whether the request can no longer be answered on time."""
        route = request.route
        longest_s = self.longest_s.get(route.name, request.waits_s)
        waited_s = longest_s - request.waits_s + now - request.came_at
        return 0 < route.objective_s < waited_s
