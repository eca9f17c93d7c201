"""Retry budgets: retries are paid for by first attempts and by time."""

DEPOSIT = 0.05
"""What each first attempt adds; at load, retries stay below this share."""
REFILL_PER_S = 0.5
"""What time adds, so that little traffic does not mean no retries."""
CAPACITY = 10.0


class Budget:
    """Tokens for retries towards one upstream name.

    Attributes:
        tokens: Retries that may be made now.
        refilled_at: When time last added to them, in seconds.
    """

    def __init__(self, *, now: float, tokens: float = CAPACITY):
        self.tokens = tokens
        self.refilled_at = now

    def deposit(self) -> None:
        """Notes a first attempt."""
        self.tokens = min(CAPACITY, self.tokens + DEPOSIT)

    def withdraw(self, now: float) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        added = (now - self.refilled_at) * REFILL_PER_S
        self.tokens = min(CAPACITY, self.tokens + added)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
