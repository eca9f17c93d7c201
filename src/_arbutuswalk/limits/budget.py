"""Retry budgets: token buckets refilled by first attempts and by time."""

TOKENS_PER_ATTEMPT = 0.05
"""Tokens added per first attempt; under load it bounds the retry ratio."""
REFILL_TOKENS_PER_S = 0.5
"""Tokens added per second, so that retries are possible at low traffic."""
CAPACITY = 10.0


class Budget:
    """Retry tokens of one upstream name.

    Attributes:
        tokens: Retries currently permitted.
        refilled_at: Time of the last refill by time, in seconds.
    """

    def __init__(self, *, now: float, tokens: float = CAPACITY):
        self.tokens = tokens
        self.refilled_at = now

    def deposit(self) -> None:
        """Adds the tokens of a first attempt."""
        self.tokens = min(CAPACITY, self.tokens + TOKENS_PER_ATTEMPT)

    def withdraw(self, now: float) -> bool:
        """Takes a token for a retry; returns whether one was available."""
        added = (now - self.refilled_at) * REFILL_TOKENS_PER_S
        self.tokens = min(CAPACITY, self.tokens + added)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
