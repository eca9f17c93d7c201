"""Outcomes of a new version beside those of the old, as entries report them.

Moves and rollouts feed the same two tests; each decides by them on its own.
"""

from collections.abc import Iterable
from typing import NamedTuple

from _arbutuswalk.state import compare


class Sums(NamedTuple):
    """Outcomes of one version over all entries, since their starts."""

    ran: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0


class Evidence:
    """Both tests of a new version, and what they have counted already.

    Attributes:
        errors: Test of failures.
        slowness: Test of slowness.
        new: Sums of the new version already counted.
        old: Sums of the old version already counted.
    """

    def __init__(self, *, new: Sums, old: Sums):
        self.errors = compare.Comparison()
        self.slowness = compare.Comparison()
        self.new = new
        self.old = old


def add(sums: Sums, counts: Iterable[int]) -> Sums:
    """Returns sums with one entry's counts added."""
    return Sums(*map(sum, zip(sums, counts, strict=True)))


def feed(evidence: Evidence, new: Sums, old: Sums) -> Sums:
    """Turns growth of the sums into blocks of the two tests.

    Returns:
        What came in of the new version.
    """
    fresh_new = _growth(evidence.new, new)
    fresh_old = _growth(evidence.old, old)
    evidence.new, evidence.old = new, old
    if fresh_new.ran or fresh_old.ran:
        evidence.errors.update(
            compare.Block(
                fresh_old.ran, fresh_old.failed, fresh_new.ran, fresh_new.failed
            )
        )
        evidence.slowness.update(
            compare.Block(
                fresh_old.timed, fresh_old.slow, fresh_new.timed, fresh_new.slow
            )
        )
    return fresh_new


def fault(evidence: Evidence, threshold: float, where: str = "") -> str:
    """Returns the test that is over a threshold and its counts, or nothing."""
    tests = (("errors", evidence.errors), ("slow", evidence.slowness))
    for name, test in tests:
        if test.log_evidence >= threshold:
            return (
                f"{name}{where}: {test.new_failed} of {test.new_ran} new,"
                f" {test.old_failed} of {test.old_ran} old"
            )
    return ""


def _growth(before: Sums, after: Sums) -> Sums:
    """Returns what came in; sums shrink when an entry is forgotten."""
    return Sums(*(max(0, b - a) for a, b in zip(before, after, strict=True)))
