"""Request outcomes by upstream, version and route, and the local cut-off."""

import collections
from typing import NamedTuple

SLOW_FACTOR = 2.0
MIN_BASELINE = 20
BASELINE_KEPT = 200
CUT_ERRORS = 3
CUT_WINDOW = 10
CUT_FACTOR = 2.0
"""Multiple of the old version's recent error rate above which a new version is
cut off."""


class Side(NamedTuple):
    """Upstream, version and route to which an outcome belongs."""

    upstream: str
    version: str
    route: str


class Counts:
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
            maxlen=CUT_WINDOW
        )


class Evidence:
    """Outcomes and latencies recorded by one entry.

    Attributes:
        counts: Outcome counts by key.
        latencies: Newest latencies in seconds, by key.
        cut: Keys to which this entry sends no more requests.
    """

    def __init__(self):
        self.counts: dict[Side, Counts] = {}
        self.latencies: dict[Side, collections.deque[float]] = {}
        self.cut: set[Side] = set()

    def counts_of(self, side: Side) -> Counts:
        """Returns the outcome counts of a key, creating them if needed."""
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
        """Records one outcome; returns whether it caused a cut-off.

        Args:
            side: Version that ran the request, and its route.
            failed: Whether it failed because of the version.
            latency_s: First-token or total latency, in seconds.
            baseline: Key to compare errors and latencies with.
            on_trial: Whether this is the new version of a move.
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
        """Returns whether the error rate is well above the old version's."""
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
        """Counts a latency if there are enough samples to compare it with.

        A latency that cannot be compared must not count as fast: most of these
        belong to the old version, which would then look better than it is.
        """
        known = self.latencies.get(baseline, ())
        if len(known) < MIN_BASELINE:
            return
        usual = sorted(known)[int(len(known) * 0.9)]
        counts.timed += 1
        counts.slow += latency_s > SLOW_FACTOR * usual

    def report(self) -> dict[str, list[int]]:
        """Returns outcome counts by key, for the control group."""
        return {
            "|".join(side): [
                counts.ran,
                counts.errors,
                counts.slow,
                counts.timed,
            ]
            for side, counts in self.counts.items()
        }
