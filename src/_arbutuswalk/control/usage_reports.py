"""Sums the usage counts of all entries and settles each window once.

A settlement is committed before it is first sent, so that every later duty
holder sends exactly the same counts.
"""

import statistics
from typing import Any

from _arbutuswalk.control import process
from _arbutuswalk.state import commands

SETTLE_DELAY_S = 3.0
"""Time after a window's end at which its counts are settled. Reachable entries
report at least every 0.5 s; the rest of the delay lets entries that were
briefly unreachable report too."""
SUBMIT_TIMEOUT_S = 1.5
MAX_WINDOWS_BACK = 6
"""Number of most recent windows that are settled and sent; older ones count
as missed."""


class SentReports:
    """Usage reports that this process has sent in its term.

    Attributes:
        window_s: Length of a window.
        accepted_windows: Windows whose report the platform has accepted.
    """

    def __init__(self, *, window_s: float):
        self.window_s = window_s
        self.accepted_windows: set[int] = set()

    def clear(self) -> None:
        """Clears the accepted windows once the term has ended."""
        self.accepted_windows = set()


async def settle_due_windows(
    components: process.Components,
    sent_reports: SentReports,
    report_delay_s: float,
    term: int,
) -> None:
    """Commits the counts of each window whose settlement delay has passed.

    Args:
        components: Components of the process.
        sent_reports: Reports sent in the term.
        report_delay_s: Time after a window's end by which its report is due.
        term: Term in which this process leads; once it has ended, the counts
            are for the next leader to settle.
    """
    settled = components.member.tables.usage
    now = median_time(components)
    settle_delay_s = min(SETTLE_DELAY_S, report_delay_s / 2)
    newest_due = int((now - settle_delay_s) // sent_reports.window_s) - 1
    reported = _reported_windows(components)
    for window in sorted(reported):
        if not newest_due - MAX_WINDOWS_BACK < window <= newest_due:
            continue
        if str(window) in settled:
            continue
        if not components.member.is_current_in(term):
            return
        counts = sum_counts(components, window)
        if counts:
            command = commands.SettleUsage(window, counts)
            await components.member.submit(
                commands.encode(command),
                timeout_s=SUBMIT_TIMEOUT_S,
                term=term,
            )


def unsent_windows(
    components: process.Components, sent_reports: SentReports
) -> list[tuple[int, dict[str, int]]]:
    """Returns settled windows not yet accepted from this process."""
    newest = max(map(int, components.member.tables.usage), default=0)
    return [
        (int(window), counts)
        for window, counts in sorted(components.member.tables.usage.items())
        if int(window) not in sent_reports.accepted_windows
        and int(window) > newest - MAX_WINDOWS_BACK
    ]


def sum_counts(components: process.Components, window: int) -> dict[str, int]:
    """Sums a window's counts over all incarnations of all entries."""
    totals: dict[str, int] = {}
    for entry in components.discovery.entries.values():
        for name, number in (
            _usage_by_window(entry.report).get(str(window), {}).items()
        ):
            totals[name] = totals.get(name, 0) + number
    return totals


def median_time(components: process.Components) -> float:
    """Returns the median wall clock time of this process and reachable entries.

    A single clock may have stepped by seconds.
    """
    own_wall = components.member.wall()
    offsets = [0.0]
    for entry in components.discovery.reachable_entries().values():
        reported_wall = entry.report.get("wall")
        if isinstance(reported_wall, int | float):
            offsets.append(
                reported_wall - components.discovery.wall_at_last_watch(entry)
            )
    return own_wall + statistics.median(offsets)


def _reported_windows(components: process.Components) -> set[int]:
    return {
        int(window)
        for entry in components.discovery.entries.values()
        for window in _usage_by_window(entry.report)
    }


def _usage_by_window(report: dict[str, Any]) -> dict[str, dict[str, int]]:
    return report.get("usage", {})
