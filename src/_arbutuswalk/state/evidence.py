"""Statistical evidence for or against a new version.

Entries report outcomes of the new and the old version. Moves and rollouts use
the same two tests, of failures and of slowness, and decide separately.
"""

from typing import NamedTuple

from _arbutuswalk.state import compare


class OutcomeCounts(NamedTuple):
    """Outcomes of one version at all entries, each counted since its start.

    Attributes:
        ran: Finished requests.
        failed: Failures among them.
        timed: Successful ones whose latency was checked.
        slow: Slow ones among the timed ones.
    """

    ran: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0


class Evidence:
    """The tests of a new version, and the counts already passed to them.

    Attributes:
        errors: Test of failures.
        slowness: Test of slowness.
        counted_new: Counts of the new version already in the tests.
        counted_old: Counts of the old version already in the tests.
    """

    def __init__(self, *, new: OutcomeCounts, old: OutcomeCounts):
        self.errors = compare.Comparison()
        self.slowness = compare.Comparison()
        self.counted_new = new
        self.counted_old = old


def update_tests(
    evidence: Evidence, new: OutcomeCounts, old: OutcomeCounts
) -> OutcomeCounts:
    """Passes the increase since the last update to both tests.

    Returns:
        The increase of the new version's counts.
    """
    new_increase = _increase(evidence.counted_new, new)
    old_increase = _increase(evidence.counted_old, old)
    evidence.counted_new, evidence.counted_old = new, old
    if new_increase.ran or old_increase.ran:
        evidence.errors.update(
            compare.Block(
                old_increase.ran,
                old_increase.failed,
                new_increase.ran,
                new_increase.failed,
            )
        )
        evidence.slowness.update(
            compare.Block(
                old_increase.timed,
                old_increase.slow,
                new_increase.timed,
                new_increase.slow,
            )
        )
    return new_increase


def find_regression(
    evidence: Evidence, threshold: float, suffix: str = ""
) -> str:
    """Describes the first test at or above a threshold; empty if none is."""
    tests = (("errors", evidence.errors), ("slow", evidence.slowness))
    for name, test in tests:
        if test.log_evidence >= threshold:
            return (
                f"{name}{suffix}: {test.new_failed} of {test.new_ran} new,"
                f" {test.old_failed} of {test.old_ran} old"
            )
    return ""


def _increase(before: OutcomeCounts, after: OutcomeCounts) -> OutcomeCounts:
    """Returns the increase of each count."""
    return OutcomeCounts(
        *(max(0, b - a) for a, b in zip(before, after, strict=True))
    )
