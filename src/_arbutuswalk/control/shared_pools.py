"""Summary of the shared quota buckets that entries report."""

import math
from collections.abc import Iterable
from typing import Any

MAX_AGE_S = 0.1
"""Age up to which a summary is used again: a quarter of a watch."""


class SharedPools:
    """Lowest level and highest age of the entries' shared buckets.

    Attributes:
        pools: Level in tokens and age in seconds, by workspace.
        updated_at: When ``pools`` was last computed, in seconds.
    """

    def __init__(self):
        self.pools: dict[str, list[float]] = {}
        self.updated_at = -math.inf

    def summarize(
        self, reports: Iterable[dict[str, Any]], now: float
    ) -> dict[str, list[float]]:
        """Returns the summary of the entries' last reports."""
        if now - self.updated_at >= MAX_AGE_S:
            self.updated_at = now
            self.pools = {}
            for report in reports:
                self._add(report)
        return self.pools

    def _add(self, report: dict[str, Any]) -> None:
        age_s = report.get("pool_age_s", 0.0)
        levels = zip(
            report.get("taken", {}), report.get("levels", []), strict=False
        )
        for name, level in levels:
            if level is not None:
                pool = self.pools.setdefault(name, [level, age_s])
                pool[:] = min(pool[0], level), max(pool[1], age_s)
