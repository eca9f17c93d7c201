"""The share of a bucket that an entry has just returned.

The shares that entries return reach the others one after the other. Until all
are there, the shared bucket looks almost empty, and the estimate of what the
others take from it counts what they still take from their own shares. So an
entry may take its own share meanwhile, as it could have without reports. All
shares together are no more than what is left in the bucket.
"""

from _arbutuswalk.limits import quota_levels

FORMING_S = 1.2
"""Time until shares that are returned at about the same time have reached all
entries: the spread of the entries' reports, and the time of a report."""


class ReturnedShare:
    """Tokens that an entry may still take of the share that it returned.

    Attributes:
        level: Tokens in it.
        usable_until: Until when it may be used, in seconds.
    """

    def __init__(self):
        self.level = 0.0
        self.usable_until = float("-inf")

    def start(self, level: float, now: float) -> None:
        """Replaces it by the share that the entry returns now."""
        self.level = level
        self.usable_until = now + FORMING_S

    def admits(
        self, cost: float, now: float, *, burst: float, entries: int, late: bool
    ) -> bool:
        """Returns whether it holds enough for a request."""
        if now >= self.usable_until:
            return False
        return self.level >= quota_levels.required_level(
            cost, burst, late=late, usable_fraction=1 / entries
        )
