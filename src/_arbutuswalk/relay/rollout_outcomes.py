"""Outcomes of the versions of a rollout, as one entry sees them.

Latencies are compared with those of the old version for comparable requests:
those of the same route whose prompts are closest in size. A latency is slow if
it is well above nearly all of them, and doubled if it is more than twice their
median. Requests are assigned to versions at random, so that a good version has
as many slow ones as the old version, whatever the mix of requests is.
"""

import collections
import heapq
from collections.abc import Sequence
from typing import NamedTuple

FIRST_DATA = "first_data"
"""Latency from sending a request to the first event of its answer, or to its
complete answer if that is buffered, in seconds."""
PACE = "pace"
"""Time for each further byte of a stream, in seconds."""
MAX_SAMPLES = 200
"""Latest samples kept for a route."""
MAX_COMPARABLE_SAMPLES = 16
"""Samples closest in size that a latency is compared with."""
MIN_COMPARABLE_SAMPLES = 4
"""Samples required to compare a latency."""
HIGH_QUANTILE = 0.9
SLOW_FACTOR = 1.5
"""Multiple of the high quantile above which a latency is slow. The quantile
includes prompts that no cache held, as most prompts of a new version are."""
DOUBLED_FACTOR = 2.0
"""Multiple of the median above which a latency is doubled."""
SIZE_BAND_BITS = 2
"""Width of a size band, in powers of two."""
ALL_ROUTES = ""


class Group(NamedTuple):
    """Requests whose outcomes are counted together.

    Attributes:
        upstream: Upstream.
        route: Name of the route.
        band: Size band of the prompt, 0 without a prompt.
    """

    upstream: str
    route: str
    band: int


class Bounds(NamedTuple):
    """Latencies above which a request is slow or doubled, in seconds."""

    slow: float
    doubled: float


class Counts:
    """Outcomes of one version in one group.

    Attributes:
        ran: Requests that ran.
        failed: Those of them that failed.
        first_data: Latencies to the first data that were compared, slow ones
            and doubled ones.
        pace: The same of the time for each further byte.
    """

    def __init__(self):
        self.ran = 0
        self.failed = 0
        self.first_data = [0, 0, 0]
        self.pace = [0, 0, 0]

    def to_row(self) -> list[int]:
        """Returns the counts in the order of ``rollout_evidence.Counts``."""
        return [self.ran, self.failed, *self.first_data, *self.pace]


class RolloutOutcomes:
    """Outcome counts and latency samples of one entry.

    Attributes:
        counts: Counts by group and version.
        samples: Latest (size, latency) of the old version, by upstream, route
            and measure.
    """

    def __init__(self):
        self.counts: dict[tuple[Group, str], Counts] = {}
        self.samples: dict[
            tuple[str, str, str], collections.deque[tuple[int, float]]
        ] = {}

    def record_end(self, group: Group, version: str, *, failed: bool) -> None:
        """Counts a request that ran."""
        counts = self._counts_for(group, version)
        counts.ran += 1
        counts.failed += failed

    def record_latency(
        self,
        group: Group,
        version: str,
        measure: str,
        *,
        size: int,
        took: float,
    ) -> None:
        """Compares a latency with those of comparable requests."""
        bounds = self.bounds(group, measure, size)
        if bounds is not None:
            self._count_latency(group, version, measure, took, bounds)

    def record_overdue(self, group: Group, version: str, measure: str) -> None:
        """Counts a latency that has exceeded both bounds and is not over."""
        unbounded = Bounds(0.0, 0.0)
        self._count_latency(group, version, measure, 1.0, unbounded)

    def add_sample(
        self, group: Group, measure: str, *, size: int, took: float
    ) -> None:
        """Adds a latency of the old version to the samples."""
        for route in (group.route, ALL_ROUTES):
            self.samples.setdefault(
                (group.upstream, route, measure),
                collections.deque(maxlen=MAX_SAMPLES),
            ).append((size, took))

    def bounds(self, group: Group, measure: str, size: int) -> Bounds | None:
        """Returns the bounds for a request; None without enough samples."""
        for route in (group.route, ALL_ROUTES):
            samples = self.samples.get((group.upstream, route, measure), ())
            if len(samples) >= MIN_COMPARABLE_SAMPLES:
                return _bounds(samples, size, measure)
        return None

    def to_json(self) -> list[list]:
        """Returns the counts as control receives them."""
        return [
            [group.upstream, version, f"{group.route}/{group.band}"]
            + counts.to_row()
            for (group, version), counts in self.counts.items()
        ]

    def _counts_for(self, group: Group, version: str) -> Counts:
        counts = self.counts.get((group, version))
        if counts is None:
            counts = self.counts[group, version] = Counts()
        return counts

    def _count_latency(
        self,
        group: Group,
        version: str,
        measure: str,
        took: float,
        bounds: Bounds,
    ) -> None:
        counts = self._counts_for(group, version)
        row = counts.pace if measure == PACE else counts.first_data
        row[0] += 1
        row[1] += took > bounds.slow
        row[2] += took > bounds.doubled


def size_band(size: int) -> int:
    """Returns the size band of a prompt, 0 without a prompt."""
    return size.bit_length() // SIZE_BAND_BITS


def _bounds(
    samples: Sequence[tuple[int, float]], size: int, measure: str
) -> Bounds:
    closest = heapq.nsmallest(
        MAX_COMPARABLE_SAMPLES,
        reversed(samples),
        key=lambda sample: abs(sample[0] - size),
    )
    latencies = sorted(took for _, took in closest)
    high = latencies[int(HIGH_QUANTILE * len(latencies))]
    median = latencies[len(latencies) // 2]
    doubled = DOUBLED_FACTOR * median
    slow = SLOW_FACTOR * high
    return Bounds(min(slow, doubled) if measure == PACE else slow, doubled)


def merge_steps(rollouts: dict[str, list], received: dict[str, list]) -> None:
    """Keeps the newest step of each rollout, from any control process."""
    for upstream, row in received.items():
        known = rollouts.get(upstream)
        if known is None or _step_order(row) > _step_order(known):
            rollouts[upstream] = row


def _step_order(row: list) -> tuple[int, int]:
    started_ms, step = row[4], row[3]
    return started_ms, step
