"""Evidence for or against the new version of a rollout.

Entries count outcomes by group of comparable requests. Failures and slow
answers are tested for all requests together and for each group, as a version
may be faulty for one kind of request only.
"""

import math
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from _arbutuswalk.state import compare

LOG_EVIDENCE_THRESHOLD = math.log(300)
"""Log evidence at which a version is reverted. The tests of all requests revert
at most one good version in 300 each, those of the groups as many together."""
LOG_DOUBT_THRESHOLD = math.log(20)
"""Log evidence at which a version is not completed and gets no larger share."""
MAX_DOUBT = 0.02
"""Highest probability that a version whose median latency has doubled has so
few doubled latencies."""
MAX_DOUBT_OF_FEW = 0.1
"""The same where a good version could hardly show less."""
FEW_LATENCIES = 20
"""Number of latencies below which that holds."""
MIN_STREAMS = 4
"""Streams of a group from which half of them at half the pace prevent the
completion."""
MAX_EXACT_LATENCIES = 100
"""Latencies up to which that probability is computed exactly; for more it is
bounded by Hoeffding's inequality."""


class Counts(NamedTuple):
    """Outcomes of one version in one group, in the order of the reports.

    Attributes:
        ran: Finished requests.
        failed: Failures among them.
        first_timed: Latencies to the first data that were compared.
        first_slow: Those of them above nearly all of the old version's.
        first_doubled: Those of them above twice the old version's median.
        pace_timed: Streams whose pace was compared.
        pace_slow: Those of them above nearly all of the old version's.
        pace_doubled: Those of them above twice the old version's median.
    """

    ran: int = 0
    failed: int = 0
    first_timed: int = 0
    first_slow: int = 0
    first_doubled: int = 0
    pace_timed: int = 0
    pace_slow: int = 0
    pace_doubled: int = 0


class Sums(NamedTuple):
    """Sums over all entries since the start of this process, by group."""

    new: Mapping[str, Counts]
    old: Mapping[str, Counts]


class Evidence:
    """Tests of a new version and the counts that they have received.

    Attributes:
        counted: Sums already passed to the tests.
        tests: Test by group and kind; the group of all requests is empty.
        new: Total counts of the new version by group.
        old: Total counts of the old version by group.
    """

    def __init__(self, *, counted: Sums):
        self.counted = counted
        self.tests: dict[tuple[str, str], compare.Comparison] = {}
        self.new: dict[str, Counts] = {}
        self.old: dict[str, Counts] = {}

    @property
    def new_total(self) -> Counts:
        """Counts of the new version in all groups."""
        return self.new.get("", Counts())

    @property
    def seen(self) -> int:
        """Requests of both versions that have ended or begun to answer."""
        return sum(
            max(total.ran, total.first_timed)
            for total in (self.new_total, self.old_total)
        )

    @property
    def old_total(self) -> Counts:
        """Counts of the old version in all groups."""
        return self.old.get("", Counts())


def update(evidence: Evidence, sums: Sums) -> None:
    """Passes the increase since the last update to the tests."""
    new = _increases(evidence.counted.new, sums.new)
    old = _increases(evidence.counted.old, sums.old)
    evidence.counted = sums
    _add(evidence.new, new)
    _add(evidence.old, old)
    for group in new.keys() | old.keys():
        blocks = _blocks(old.get(group, Counts()), new.get(group, Counts()))
        for kind, block in blocks:
            if block.old_ran or block.new_ran:
                test = evidence.tests.setdefault(
                    (group, kind), compare.Comparison()
                )
                test.update(block)


def find_regression(
    evidence: Evidence, threshold: float = LOG_EVIDENCE_THRESHOLD
) -> str:
    """Describes a test at or above a threshold; empty if there is none."""
    group_threshold = threshold + math.log(max(1, len(evidence.new) - 1))
    for (group, kind), test in evidence.tests.items():
        if test.log_evidence >= (group_threshold if group else threshold):
            return (
                f"{kind}{' of ' * bool(group)}{group}: {test.new_failed} of"
                f" {test.new_ran} new, {test.old_failed} of {test.old_ran} old"
            )
    return ""


def find_doubt(evidence: Evidence) -> str:
    """Describes why the version may be faulty; empty if it is not."""
    total = evidence.new_total
    old_total = evidence.old_total
    if not total.first_timed and old_total.ran > old_total.failed:
        return "no latency could be compared"
    timed, doubled = total.first_timed, total.first_doubled
    max_doubt = MAX_DOUBT_OF_FEW if timed < FEW_LATENCIES else MAX_DOUBT
    if timed and _probability_if_doubled(timed, doubled) > max_doubt:
        return f"first data: {doubled} of {timed} doubled"
    for group, counts in evidence.new.items():
        timed, doubled = counts.pace_timed, counts.pace_doubled
        if timed >= MIN_STREAMS and 2 * doubled >= timed:
            return f"pace of {group or 'all'}: {doubled} of {timed} doubled"
    return find_regression(evidence, LOG_DOUBT_THRESHOLD)


def _probability_if_doubled(timed: int, doubled: int) -> float:
    """Bounds the probability of at most so many with a doubled median."""
    if timed > MAX_EXACT_LATENCIES:
        return math.exp(-2 * timed * max(0.0, 0.5 - doubled / timed) ** 2)
    combinations = sum(math.comb(timed, count) for count in range(doubled + 1))
    return combinations / 2**timed


def _blocks(old: Counts, new: Counts) -> Iterator[tuple[str, compare.Block]]:
    yield (
        "errors",
        compare.Block(old.ran, old.failed, new.ran, new.failed),
    )
    yield (
        "slow first data",
        compare.Block(
            old.first_timed, old.first_slow, new.first_timed, new.first_slow
        ),
    )
    yield (
        "slow pace",
        compare.Block(
            old.pace_timed, old.pace_slow, new.pace_timed, new.pace_slow
        ),
    )


def _increases(
    before: Mapping[str, Counts], after: Mapping[str, Counts]
) -> dict[str, Counts]:
    """Returns the increases by group, with their sum under an empty name."""
    increases = {
        group: Counts(
            *(
                max(0, b - a)
                for a, b in zip(
                    before.get(group, Counts()), counts, strict=True
                )
            )
        )
        for group, counts in after.items()
    }
    if increases:
        increases[""] = Counts(*map(sum, zip(*increases.values(), strict=True)))
    return increases


def _add(totals: dict[str, Counts], increases: dict[str, Counts]) -> None:
    for group, increase in increases.items():
        before = totals.get(group, Counts())
        totals[group] = Counts(
            *(a + b for a, b in zip(before, increase, strict=True))
        )
