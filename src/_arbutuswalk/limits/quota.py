"""Quotas of workspaces: a token bucket that is this entry's share.

The entries' shares add up to at most the whole quota, so that their sum keeps
to it while some are out of touch.
"""


class Bucket:
    """A workspace's tokens at one entry.

    Attributes:
        level: Tokens that may be used now.
        filled_at: When the level was last brought up to date, in seconds.
    """

    def __init__(self, *, rate: float, burst: float, now: float):
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.filled_at = now

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Takes a new rate and burst; never adds to the level."""
        self._fill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def take(self, cost: float, now: float) -> float:
        """Takes ``cost`` tokens.

        A request that is larger than the whole burst passes when the bucket
        is full, and is paid back afterwards.

        Returns:
            Zero if they were there, else seconds until they will be.
        """
        self._fill(now)
        needed = min(cost, self.burst)
        if self.level >= needed:
            self.level -= cost
            return 0.0
        return (needed - self.level) / self.rate

    def give_back(self, cost: float) -> None:
        """Returns the tokens of a request that did not run."""
        self.level = min(self.burst, self.level + cost)

    def _fill(self, now: float) -> None:
        gained = max(0.0, now - self.filled_at) * self.rate
        self.level = min(self.burst, self.level + gained)
        self.filled_at = now
