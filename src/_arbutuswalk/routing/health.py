"""Finds endpoints that fail although their health is reported as good.

An endpoint comes last while it fails clearly more often than the best one of
its upstream: some upstreams fail a part of their requests by nature, which says
nothing about an endpoint. What is known fades, so that it is tried again.
"""

import math
from typing import NamedTuple

WEIGHT = 0.12
"""Weight of one more outcome: some eight requests count."""
FADE_S = 4.0
"""Time in which what is known fades to a third; an endpoint that gets nothing
is tried again after about twice that."""
EXCESS = 0.25
"""Failures over those of the best endpoint from which one comes last: grey
failures take two fifths of the requests, own ones up to a seventh."""


class Score(NamedTuple):
    """Part of the requests that failed lately, as known at a time."""

    failing: float
    at: float


class Health:
    """Scores of endpoints, from the answers that this entry saw.

    Attributes:
        scores: Score by endpoint id.
    """

    def __init__(self):
        self.scores: dict[str, Score] = {}

    def note(self, endpoint: str, *, failed: bool, now: float) -> None:
        """Notes the outcome of one request."""
        before = self.failing(endpoint, now)
        after = before + WEIGHT * (failed - before)
        self.scores[endpoint] = Score(after, now)

    def failing(self, endpoint: str, now: float) -> float:
        """Returns the part that fails, faded by time."""
        score = self.scores.get(endpoint)
        if score is None:
            return 0.0
        return score.failing * math.exp(-(now - score.at) / FADE_S)

    def doubtful(self, endpoints: list[str], now: float) -> set[str]:
        """Returns those of an upstream's endpoints that come last."""
        failing = {each: self.failing(each, now) for each in endpoints}
        best = min(failing.values(), default=0.0)
        return {each for each, part in failing.items() if part > best + EXCESS}
