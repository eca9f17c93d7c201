"""Detects endpoints that fail requests although they report good health.

An endpoint is used last while its failure rate is clearly above that of the
best endpoint of its upstream. The rate is compared because some upstreams
regularly fail a share of their requests, which does not indicate a faulty
endpoint. Rates decay over time, so that an outlier is tried again.
"""

import math
from typing import NamedTuple

WEIGHT = 0.12
"""Weight of a new outcome in the moving average, which so covers about eight
requests."""
FADE_S = 4.0
"""Time in which a failure rate decays to about a third. An endpoint without
requests is tried again after about twice that time."""
EXCESS = 0.25
"""Failure rate above that of the best endpoint from which an endpoint is an
outlier. Partial (grey) failures affect two fifths of the requests, an
upstream's regular failures up to a seventh."""


class Score(NamedTuple):
    """Moving average of the failure rate at a point in time."""

    failing: float
    at: float


class Health:
    """Failure rates of endpoints, from the answers seen by this entry.

    Attributes:
        scores: Failure rate by endpoint id.
    """

    def __init__(self):
        self.scores: dict[str, Score] = {}

    def note(self, endpoint: str, *, failed: bool, now: float) -> None:
        """Records the outcome of one request."""
        before = self.failing(endpoint, now)
        after = before + WEIGHT * (failed - before)
        self.scores[endpoint] = Score(after, now)

    def failing(self, endpoint: str, now: float) -> float:
        """Returns the failure rate, decayed to ``now``."""
        score = self.scores.get(endpoint)
        if score is None:
            return 0.0
        return score.failing * math.exp(-(now - score.at) / FADE_S)

    def doubtful(self, endpoints: list[str], now: float) -> set[str]:
        """Returns the outliers among the endpoints of one upstream."""
        failing = {each: self.failing(each, now) for each in endpoints}
        best = min(failing.values(), default=0.0)
        return {each for each, part in failing.items() if part > best + EXCESS}
