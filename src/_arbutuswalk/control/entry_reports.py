"""Entries as one control process knows them."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

Loads = dict[str, tuple[int, int]]
"""Requests and unprocessed prompt tokens, by endpoint."""

MAX_SHARED_AGE_S = 0.05
"""Age of what replies may share: an eighth of the time between reports."""


class SharedValue:
    """A value computed from all reports that the replies of a short time share.

    Attributes:
        value: The value.
        computed_at: When it was computed, in seconds.
    """

    def __init__(self):
        self.value: Any = None
        self.computed_at = float("-inf")


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


def has_behind(entries: dict[str, KnownEntry], revision: int) -> bool:
    """Returns whether an entry lacks a directory revision."""
    return any(entry.revision < revision for entry in entries.values())


def sum_loads(entries: Iterable[KnownEntry]) -> Loads:
    """Returns the sums of the loads that entries report."""
    totals: Loads = {}
    for entry in entries:
        for endpoint, load in entry.report.get("loads", {}).items():
            running, tokens = totals.get(endpoint, (0, 0))
            totals[endpoint] = (running + load[0], tokens + load[1])
    return totals


def shared(
    shared_value: SharedValue,
    reported_at: float,
    now: float,
    compute: Callable[[], Any],
) -> Any:
    """Returns a value that covers what was reported until ``reported_at``."""
    is_old = now - shared_value.computed_at > MAX_SHARED_AGE_S
    if is_old or shared_value.computed_at <= reported_at:
        shared_value.value, shared_value.computed_at = compute(), now
    return shared_value.value


class EntryCounts(NamedTuple):
    """Number of entries that may be serving, and of silent ones among them."""

    known: int
    silent: int


def known_entries(
    entries: dict[tuple[str, int], KnownEntry],
) -> set[str]:
    """Returns the entries that have not reported that they left."""
    return {
        name
        for name, entry in newest_incarnations(entries).items()
        if not entry.report.get("left")
    }


def count(
    entries: dict[tuple[str, int], KnownEntry], since: float
) -> EntryCounts:
    """Returns the counts; an entry is silent without a watch ``since``."""
    known = known_entries(entries)
    reachable = newest_incarnations(entries, since)
    return EntryCounts(len(known), len(known - reachable.keys()))


def outcome_counts(report: dict[str, Any]) -> dict[tuple, int]:
    """Returns an entry's outcomes by upstream, version, group and position."""
    return {
        (upstream, version, group, position): count
        for upstream, version, group, *counts in report.get(
            "rollout_outcomes", []
        )
        for position, count in enumerate(counts)
    }
