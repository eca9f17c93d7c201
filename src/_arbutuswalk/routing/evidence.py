"""Outcomes by upstream, version and route, and the local cut-off."""

import collections
from typing import NamedTuple

SLOW_FACTOR = 2.0
MIN_BASELINE = 20
BASELINE_KEPT = 200
CUT_ERRORS = 3
CUT_WINDOW = 10
CUT_FACTOR = 2.0
"""How many times the old version's recent rate of errors is too much."""


class Side(NamedTuple):
    """Where an outcome belongs."""

    upstream: str
    version: str
    route: str


class Counts:
    """Counts of one side since the entry started.

    Attributes:
        ran: Requests that ended.
        errors: Those that failed by the version's own fault.
        timed: Good ones whose latency could be compared.
        slow: Those of them slower than the old version's usual.
        recent: The newest outcomes, true for an error.
    """

    def __init__(self):
        self.ran = 0
        self.errors = 0
        self.timed = 0
        self.slow = 0
        self.recent: collections.deque[bool] = collections.deque(
            maxlen=CUT_WINDOW
        )


class Evidence:
    """All counts of one entry.

    Attributes:
        counts: Counts by side.
        latencies: Newest first-token seconds by side.
        cut: Sides that get nothing from this entry any more.
    """

    def __init__(self):
        self.counts: dict[Side, Counts] = {}
        self.latencies: dict[Side, collections.deque[float]] = {}
        self.cut: set[Side] = set()

    def counts_of(self, side: Side) -> Counts:
        """Returns the counts of a side."""
        return self.counts.setdefault(side, Counts())

    def note(
        self,
        side: Side,
        *,
        failed: bool,
        latency_s: float,
        baseline: Side | None,
        on_trial: bool,
    ) -> bool:
        """Notes one outcome; returns whether the side was cut off by it.

        Args:
            side: Which version ran it, on which route.
            failed: Whether it failed by the version's fault.
            latency_s: First-token or whole latency, in seconds.
            baseline: Side to compare latencies with.
            on_trial: Whether the version is being moved to.
        """
        counts = self.counts_of(side)
        counts.ran += 1
        counts.errors += failed
        counts.recent.append(failed)
        if not failed:
            self._compare(counts, baseline or side, latency_s)
            kept = self.latencies.setdefault(
                side, collections.deque(maxlen=BASELINE_KEPT)
            )
            kept.append(latency_s)
        if on_trial and self._should_cut(counts, baseline):
            fresh = side not in self.cut
            self.cut.add(side)
            return fresh
        return False

    def _should_cut(self, counts: Counts, baseline: Side | None) -> bool:
        """Tells whether recent errors are too many, and not shared."""
        errors = sum(counts.recent)
        if errors < CUT_ERRORS:
            return False
        old = self.counts.get(baseline)
        if old is None or not old.recent:
            return True
        own_rate = errors / len(counts.recent)
        return own_rate > CUT_FACTOR * sum(old.recent) / len(old.recent)

    def _compare(
        self, counts: Counts, baseline: Side, latency_s: float
    ) -> None:
        """Counts a latency, if enough is known to compare it with.

        One that cannot be compared must not count as quick: the old version
        has most of those, and would look better than it is.
        """
        known = self.latencies.get(baseline, ())
        if len(known) < MIN_BASELINE:
            return
        usual = sorted(known)[int(len(known) * 0.9)]
        counts.timed += 1
        counts.slow += latency_s > SLOW_FACTOR * usual

    def report(self) -> dict[str, list[int]]:
        """Returns counts by side, for the control group."""
        return {
            "|".join(side): [
                counts.ran,
                counts.errors,
                counts.slow,
                counts.timed,
            ]
            for side, counts in self.counts.items()
        }
