"""Entries as one control process knows them."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

Loads = dict[str, tuple[int, int]]
"""Requests and unprocessed prompt tokens, by endpoint."""

MAX_SUM_AGE_S = 0.05
"""Age of sums that replies may share: an eighth of the time between reports."""


class LoadSums:
    """Loads summed over entries, which the replies of a short time share.

    Attributes:
        loads: The sums.
        summed_at: When they were summed, in seconds.
    """

    def __init__(self):
        self.loads: Loads = {}
        self.summed_at = float("-inf")


class KnownEntry(NamedTuple):
    """An entry as this member knows it.

    Attributes:
        incarnation: Incarnation of the entry process.
        revision: Directory revision that the entry has.
        report: Its last report.
        last_watch_at: When it last sent a watch, in seconds.
    """

    incarnation: int
    revision: int
    report: dict[str, Any]
    last_watch_at: float


def newest_incarnations(
    entries: dict[tuple[str, int], KnownEntry],
    since: float = float("-inf"),
) -> dict[str, KnownEntry]:
    """Returns the newest incarnation of each entry heard ``since``, by id."""
    newest: dict[str, KnownEntry] = {}
    for (name, incarnation), entry in entries.items():
        if entry.last_watch_at < since:
            continue
        if name not in newest or newest[name].incarnation < incarnation:
            newest[name] = entry
    return newest


def sum_loads(entries: Iterable[KnownEntry]) -> Loads:
    """Returns the sums of the loads that entries report."""
    totals: Loads = {}
    for entry in entries:
        for endpoint, load in entry.report.get("loads", {}).items():
            running, tokens = totals.get(endpoint, (0, 0))
            totals[endpoint] = (running + load[0], tokens + load[1])
    return totals


def shared_loads(
    sums: LoadSums,
    reported_at: float,
    now: float,
    compute_loads: Callable[[], Loads],
) -> Loads:
    """Returns sums that include what was reported until ``reported_at``."""
    is_old = now - sums.summed_at > MAX_SUM_AGE_S
    if is_old or sums.summed_at <= reported_at:
        sums.loads, sums.summed_at = compute_loads(), now
    return sums.loads


def outcome_counts(report: dict[str, Any]) -> dict[tuple, int]:
    """Returns an entry's outcomes by upstream, version, group and position."""
    return {
        (upstream, version, group, position): count
        for upstream, version, group, *counts in report.get(
            "rollout_outcomes", []
        )
        for position, count in enumerate(counts)
    }
