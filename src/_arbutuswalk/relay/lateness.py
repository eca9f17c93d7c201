"""Estimates how long a caller has waited, from its remaining deadline.

A caller that retries after a refusal sends its remaining time as the deadline.
The difference to the longest deadline of the route is the time since its first
attempt.
"""

from _arbutuswalk.relay import request as requests

LONGEST_DEADLINE_DECAY_FACTOR = 0.999
"""Factor applied to the longest deadline at each request, so that a single
caller with a long deadline does not make all others late permanently."""


class LatenessTracker:
    """Longest deadlines of the callers of each route.

    Attributes:
        longest_deadline_s: Longest deadline in seconds, by route.
    """

    def __init__(self):
        self.longest_deadline_s: dict[str, float] = {}

    def record(self, route: str, deadline_s: float | None) -> None:
        """Records how long a caller waits, None if not specified."""
        if deadline_s is None:
            return
        decayed_s = (
            self.longest_deadline_s.get(route, 0.0)
            * LONGEST_DEADLINE_DECAY_FACTOR
        )
        self.longest_deadline_s[route] = max(decayed_s, deadline_s)

    def is_late(self, request: requests.Request, now: float) -> bool:
        """Returns whether the route's latency objective is already missed."""
        route = request.route
        longest_deadline_s = self.longest_deadline_s.get(
            route.name, request.caller_deadline_s
        )
        waited_s = (
            longest_deadline_s
            - request.caller_deadline_s
            + now
            - request.received_at
        )
        return 0 < route.objective_s < waited_s
