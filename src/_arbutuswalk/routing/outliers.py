"""Detects endpoints that fail requests although they report good health.

An endpoint is used last while its failure rate is clearly above that of the
best endpoint of its upstream. The rate is compared because some upstreams
regularly fail a share of their requests, which does not indicate a faulty
endpoint. Rates decay over time, so that an outlier is tried again.
"""

import math
from typing import NamedTuple

OUTCOME_WEIGHT = 0.12
"""Weight of a new outcome in the moving average: about eight requests count."""
DECAY_TIME_S = 4.0
"""Time in which a failure rate decays to about a third. An endpoint without
requests is tried again after about twice that time."""
OUTLIER_EXCESS_RATE = 0.25
"""Failure rate above that of the best endpoint from which an endpoint is an
outlier. Partial (grey) failures affect two fifths of the requests, an
upstream's regular failures up to a seventh."""


class FailureRate(NamedTuple):
    """Moving average of the failure rate at a point in time."""

    rate: float
    updated_at: float


class OutlierDetector:
    """Failure rates of endpoints, from the answers seen by this entry.

    Attributes:
        failure_rates: Failure rate by endpoint id.
    """

    def __init__(self):
        self.failure_rates: dict[str, FailureRate] = {}

    def record(self, endpoint_id: str, *, failed: bool, now: float) -> None:
        """Records the outcome of one request."""
        previous_rate = self.failure_rate(endpoint_id, now)
        new_rate = previous_rate + OUTCOME_WEIGHT * (failed - previous_rate)
        self.failure_rates[endpoint_id] = FailureRate(new_rate, now)

    def failure_rate(self, endpoint_id: str, now: float) -> float:
        """Returns the failure rate, decayed to ``now``."""
        last = self.failure_rates.get(endpoint_id)
        if last is None or not last.rate:
            return 0.0
        return last.rate * math.exp(-(now - last.updated_at) / DECAY_TIME_S)

    def outliers(self, endpoints: list[str], now: float) -> set[str]:
        """Returns the outliers among the endpoints of one upstream."""
        rates = {
            endpoint_id: self.failure_rate(endpoint_id, now)
            for endpoint_id in endpoints
        }
        lowest_rate = min(rates.values(), default=0.0)
        return {
            endpoint_id
            for endpoint_id, rate in rates.items()
            if rate > lowest_rate + OUTLIER_EXCESS_RATE
        }
