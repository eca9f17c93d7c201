"""Retry budgets: retries are paid for by first attempts."""

DEPOSIT = 0.1
"""What each first attempt adds; retries stay below this share of them."""
CAPACITY = 10.0


class Budget:
    """Tokens for retries towards one upstream name.

    Attributes:
        tokens: Retries that may be made now.
    """

    def __init__(self, *, tokens: float = CAPACITY):
        self.tokens = tokens

    def deposit(self) -> None:
        """Notes a first attempt."""
        self.tokens = min(CAPACITY, self.tokens + DEPOSIT)

    def withdraw(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
