"""Request outcomes by upstream, version and route, and the local cut-off."""

import collections
from typing import NamedTuple

SLOW_LATENCY_FACTOR = 2.0
MIN_BASELINE_SAMPLES = 20
MAX_LATENCY_SAMPLES = 200
CUT_OFF_MIN_ERRORS = 3
CUT_OFF_WINDOW_REQUESTS = 10
CUT_OFF_ERROR_RATE_FACTOR = 2.0
"""Multiple of the old version's recent error rate above which a new version is
cut off."""


class OutcomeKey(NamedTuple):
    """Upstream, version and route to which an outcome belongs."""

    upstream: str
    version: str
    route: str


class EntryOutcomeCounts:
    """Outcome counts of one version on one route since the entry started.

    Attributes:
        ran: Finished requests.
        errors: Those that failed because of the version.
        timed: Successful ones whose latency could be compared.
        slow: Those of them well above the old version's latency.
        recent: The newest outcomes, true for an error.
    """

    def __init__(self):
        self.ran = 0
        self.errors = 0
        self.timed = 0
        self.slow = 0
        self.recent: collections.deque[bool] = collections.deque(
            maxlen=CUT_OFF_WINDOW_REQUESTS
        )


class VersionOutcomes:
    """Outcomes and latencies recorded by one entry.

    Attributes:
        counts: Outcome counts by key.
        latencies: Newest latencies in seconds, by key.
        cut_off: Keys to which this entry sends no more requests.
    """

    def __init__(self):
        self.counts: dict[OutcomeKey, EntryOutcomeCounts] = {}
        self.latencies: dict[OutcomeKey, collections.deque[float]] = {}
        self.cut_off: set[OutcomeKey] = set()

    def counts_for(self, key: OutcomeKey) -> EntryOutcomeCounts:
        """Returns the outcome counts of a key, creating them if needed."""
        return self.counts.setdefault(key, EntryOutcomeCounts())

    def record(
        self,
        key: OutcomeKey,
        *,
        failed: bool,
        latency_s: float,
        baseline: OutcomeKey | None,
        is_new_version: bool,
    ) -> bool:
        """Records one outcome; returns whether it caused a cut-off.

        Args:
            key: Version that ran the request, and its route.
            failed: Whether it failed because of the version.
            latency_s: First-token or total latency, in seconds.
            baseline: Key to compare errors and latencies with.
            is_new_version: Whether this is the new version of a move.
        """
        counts = self.counts_for(key)
        counts.ran += 1
        counts.errors += failed
        counts.recent.append(failed)
        if not failed:
            self._compare_latency(counts, baseline or key, latency_s)
            samples = self.latencies.setdefault(
                key, collections.deque(maxlen=MAX_LATENCY_SAMPLES)
            )
            samples.append(latency_s)
        if is_new_version and self._should_cut_off(counts, baseline):
            is_new = key not in self.cut_off
            self.cut_off.add(key)
            return is_new
        return False

    def _should_cut_off(
        self, counts: EntryOutcomeCounts, baseline: OutcomeKey | None
    ) -> bool:
        """Returns whether the error rate is well above the old version's."""
        errors = sum(counts.recent)
        if errors < CUT_OFF_MIN_ERRORS:
            return False
        baseline_counts = self.counts.get(baseline)
        if baseline_counts is None or not baseline_counts.recent:
            return True
        error_rate = errors / len(counts.recent)
        return error_rate > CUT_OFF_ERROR_RATE_FACTOR * sum(
            baseline_counts.recent
        ) / len(baseline_counts.recent)

    def _compare_latency(
        self, counts: EntryOutcomeCounts, baseline: OutcomeKey, latency_s: float
    ) -> None:
        """Counts a latency if there are enough samples to compare it with.

        A latency that cannot be compared must not count as fast: most of these
        belong to the old version, which would then look better than it is.
        """
        samples = self.latencies.get(baseline, ())
        if len(samples) < MIN_BASELINE_SAMPLES:
            return
        baseline_p90_s = sorted(samples)[int(len(samples) * 0.9)]
        counts.timed += 1
        counts.slow += latency_s > SLOW_LATENCY_FACTOR * baseline_p90_s

    def report(self) -> dict[str, list[int]]:
        """Returns outcome counts by key, for the control group."""
        return {
            "|".join(key): [
                counts.ran,
                counts.errors,
                counts.slow,
                counts.timed,
            ]
            for key, counts in self.counts.items()
        }
