"""Permits to send requests to an endpoint that has a limit.

The limit holds for all entries together. The leader issues the permits from one
bucket per endpoint, so what one entry does not use is available to the others.
An entry that the leader does not answer paces itself to an equal share of the
limit, which the leader withholds for entries that it cannot reach.
"""

import dataclasses
import math

BURST_S = 0.5
MIN_BURST = 2.0
"""Permits that accumulate while no entry asks: as time at the limit, but enough
that a permit is not lost before the next entry asks."""
WARM_UP_BURST = 2.0
"""The same for an endpoint that warms up, whose limit holds in every second."""
WARM_UP_OWN_SHARE = 0.5
"""Part of such a limit that all entries without a leader use together, as they
choose their times independently."""
MIN_RATE_PER_S = 0.2
"""Lowest rate at which an endpoint is used: only its answers show that it has
raised its limit."""
ASKS_PER_PERMIT = 4.0
"""Requests for a permit, by all entries together, per issued permit. More would
load the leader; fewer would leave permits unused."""
ASKING_RETENTION_S = 2.0
"""Time after its last request for a permit for which an entry counts as asking
for more."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """One request may be sent after ``wait_s``."""

    wait_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Denied:
    """No permit is available within the longest wait.

    Attributes:
        wait_s: Time until one is expected.
    """

    wait_s: float


Decision = Granted | Denied


class PermitBucket:
    """Permits of one endpoint for all entries.

    It starts empty, so that a change of the leader adds no permits.

    Attributes:
        level: Available permits; negative if permits were granted ahead.
        refilled_at: Time of the last refill, in seconds.
        asked_at: When each entry last asked, in seconds.
    """

    def __init__(self, *, now: float):
        self.level = 0.0
        self.refilled_at = now
        self.asked_at: dict[str, float] = {}

    def take(
        self,
        entry: str,
        rate_per_s: float,
        max_wait_s: float,
        now: float,
        max_burst: float = math.inf,
    ) -> Decision:
        """Takes a permit for an entry.

        Args:
            entry: Id of the entry.
            rate_per_s: Permits per second for the entries that can ask.
            max_wait_s: Longest wait that the entry accepts.
            now: Current time in seconds.
            max_burst: Most permits that accumulate.
        """
        self.asked_at[entry] = now
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        capacity = min(max_burst, max(MIN_BURST, rate_per_s * BURST_S))
        refilled = self.level + (now - self.refilled_at) * rate_per_s
        self.level = min(capacity, refilled)
        self.refilled_at = now
        wait_s = max(0.0, (1.0 - self.level) / rate_per_s)
        if wait_s > max_wait_s:
            return Denied(wait_s=wait_s)
        self.level -= 1.0
        return Granted(wait_s=wait_s)

    def count_asking(self, now: float) -> int:
        """Returns the number of entries that asked recently."""
        cutoff = now - ASKING_RETENTION_S
        self.asked_at = {
            entry: asked_at
            for entry, asked_at in self.asked_at.items()
            if asked_at >= cutoff
        }
        return len(self.asked_at)


class SharePacer:
    """Paces one entry to its equal share of a limit.

    The first permit comes at a random time, so that entries which lose the
    leader together do not all send a request at once.

    Attributes:
        next_at: Time of the next permit in seconds, None before the first.
    """

    def __init__(self):
        self.next_at: float | None = None

    def take(
        self,
        rate_per_s: float,
        entries: int,
        max_wait_s: float,
        now: float,
        draw: float,
    ) -> Decision:
        """Takes a permit.

        Args:
            rate_per_s: Limit of the endpoint.
            entries: Number of entries that share it.
            max_wait_s: Longest wait that is accepted.
            now: Current time in seconds.
            draw: Random number from 0 to 1 for the first permit.
        """
        interval_s = max(1, entries) / max(MIN_RATE_PER_S, rate_per_s)
        if self.next_at is None:
            self.next_at = now + draw * interval_s
        wait_s = max(0.0, self.next_at - now)
        if wait_s > max_wait_s:
            return Denied(wait_s=wait_s)
        self.next_at = max(self.next_at, now) + interval_s
        return Granted(wait_s=wait_s)


def ask_again_after(
    wait_s: float, rate_per_s: float, asking_entries: int, draw: float
) -> float:
    """Returns the time in seconds after which a denied entry asks again.

    Entries that are told of the same next permit ask at different times.
    """
    rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    spread_s = 2 * asking_entries / (ASKS_PER_PERMIT * rate_per_s)
    return wait_s + draw * spread_s
