"""When a request that may be repeated is sent to a second endpoint meanwhile.

Answers the load of a few slow endpoints among sound ones that have room: a
request that has no answer after the time in which most of its route have one is
sent once more, and the first answer counts. Under contention nothing is gained,
as the extra attempts would slow all others down.

The extra attempts of a route stay below a share of its requests. Each entry
limits itself to that share of its own requests, so the limit holds for all
entries together. The first fraction of an attempt is drawn at random: entries
that see fewer requests than one extra attempt stands for still make their share
of them together.
"""

import random

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
WINDOW_S = 30.0
"""Time after which latencies begin to be forgotten; after twice that they
are."""
MIN_SAMPLES = 20
"""Latencies from which a percentile is taken."""
QUANTILE_MAX_AGE_S = 1.0
"""Time for which a computed percentile is used."""
OBJECTIVE_FRACTION = 0.5
"""Delay as a fraction of the route's objective while there are few latencies:
as much is left for the second endpoint."""
MAX_SAVED_ATTEMPTS = 2.0
"""Extra attempts that an entry may save up for a slow spell."""
MIN_FREE_BUDGET_FRACTION = 0.5
"""Fraction of the retry budget that extra attempts leave to retries."""


class Latencies:
    """Latencies of the recent answers of one route.

    Attributes:
        current: Histogram in microseconds of the running window.
        previous: Histogram of the window before.
        window_ends_at: When the running window ends, in seconds.
        quantile_s: Last computed percentile, None if there were few samples.
        computed_at: When it was computed, in seconds.
    """

    def __init__(self, *, now: float):
        self.current = _new_histogram()
        self.previous = _new_histogram()
        self.window_ends_at = now + WINDOW_S
        self.quantile_s: float | None = None
        self.computed_at = float("-inf")

    def record(self, latency_s: float, now: float) -> None:
        """Records the latency of an answer, or a lower bound of it."""
        self._rotate(now)
        latency_us = max(MIN_LATENCY_US, int(latency_s * US_PER_S))
        self.current.record_value(min(MAX_LATENCY_US, latency_us))

    def quantile(self, fraction: float, now: float) -> float | None:
        """Returns a quantile in seconds, None while there are few samples."""
        if now - self.computed_at >= QUANTILE_MAX_AGE_S:
            self._rotate(now)
            self.computed_at = now
            self.quantile_s = self._compute(fraction)
        return self.quantile_s

    def _compute(self, fraction: float) -> float | None:
        both = _new_histogram()
        both.add(self.previous)
        both.add(self.current)
        if both.get_total_count() < MIN_SAMPLES:
            return None
        return both.get_value_at_percentile(100 * fraction) / US_PER_S

    def _rotate(self, now: float) -> None:
        if now < self.window_ends_at:
            return
        is_recent = now < self.window_ends_at + WINDOW_S
        self.previous = self.current if is_recent else _new_histogram()
        self.current = _new_histogram()
        self.window_ends_at = now + WINDOW_S


class Allowance:
    """Extra attempts that the requests of one route have earned.

    Attributes:
        share: Extra attempts as a share of the requests.
        saved: Extra attempts that may be made now.
    """

    def __init__(self, *, share: float, rng: random.Random):
        self.share = share
        self.saved = rng.random()

    def record_request(self) -> None:
        """Records a first attempt."""
        self.saved = min(MAX_SAVED_ATTEMPTS, self.saved + self.share)

    def try_acquire(self) -> bool:
        """Takes an extra attempt if one was earned; returns whether it was."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


class Hedging:
    """Latencies and allowances of an entry, by name of the route.

    Attributes:
        share: Extra attempts as a share of the requests of a route.
    """

    def __init__(self, *, share: float, rng: random.Random):
        self.share = share
        self.rng = rng
        self.latencies_by_route: dict[str, Latencies] = {}
        self.allowances: dict[str, Allowance] = {}

    def latencies(self, route: str, now: float) -> Latencies:
        """Returns the latencies of a route, creating them if needed."""
        found = self.latencies_by_route.get(route)
        if found is None:
            found = self.latencies_by_route[route] = Latencies(now=now)
        return found

    def allowance(self, route: str) -> Allowance:
        """Returns the allowance of a route, creating it if needed."""
        found = self.allowances.get(route)
        if found is None:
            found = self.allowances[route] = Allowance(
                share=self.share, rng=self.rng
            )
        return found

    def keep_routes(self, names: set[str]) -> None:
        """Forgets the routes that are not among ``names``."""
        for known in (self.latencies_by_route, self.allowances):
            for name in known.keys() - names:
                del known[name]


def delay(
    latencies: Latencies, share: float, objective_s: float, now: float
) -> float:
    """Returns the seconds after which a request is sent once more.

    About ``share`` of the answers take longer.
    """
    quantile_s = latencies.quantile(1.0 - share, now)
    if quantile_s is None:
        return OBJECTIVE_FRACTION * objective_s
    return quantile_s


def leaves_budget(retries: int, limit: float) -> bool:
    """Returns whether another attempt leaves enough of the retry budget."""
    return retries + 1 <= (1.0 - MIN_FREE_BUDGET_FRACTION) * limit


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
