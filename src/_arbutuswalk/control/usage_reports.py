"""Adds the entries' counts up and settles each window once.

A settlement is committed before it is first sent, so that every later holder
sends exactly the same counts.
"""

import statistics
from typing import Any

from _arbutuswalk.control import leader
from _arbutuswalk.control import process
from _arbutuswalk.state import commands

SETTLE_AFTER_S = 3.0
"""Time after a window's end at which its counts are settled: reachable
entries report at least every half second, and those cut off for a short time
get the rest to return."""
SUBMIT_S = 1.5
OLDEST_WINDOWS = 6
"""Windows back that are still settled; older ones count as missed."""


class Reports:
    """What this holder has done in its term.

    Attributes:
        sent: Windows that the platform has accepted from this holder.
    """

    def __init__(self, *, window_s: float):
        self.window_s = window_s
        self.sent: set[int] = set()

    def forget_sent(self) -> None:
        """Forgets what was sent in a term that is over."""
        self.sent = set()


async def settle_due(
    parts: process.Parts, reports: Reports, delay_s: float
) -> None:
    """Commits the counts of each window that ended long enough ago."""
    settled = parts.member.tables.usage
    now = true_time(parts)
    wait_s = min(SETTLE_AFTER_S, delay_s / 2)
    last = int((now - wait_s) // reports.window_s) - 1
    known = _windows(parts)
    for window in sorted(known):
        if not last - OLDEST_WINDOWS < window <= last:
            continue
        if str(window) in settled:
            continue
        counts = count(parts, window)
        if counts:
            command = commands.SettleUsage(window, counts)
            await leader.submit(parts.service, command, timeout_s=SUBMIT_S)


def unsent(
    parts: process.Parts, reports: Reports
) -> list[tuple[int, dict[str, int]]]:
    """Returns settled windows that this holder has not sent yet."""
    newest = max(map(int, parts.member.tables.usage), default=0)
    return [
        (int(window), counts)
        for window, counts in sorted(parts.member.tables.usage.items())
        if int(window) not in reports.sent
        and int(window) > newest - OLDEST_WINDOWS
    ]


def count(parts: process.Parts, window: int) -> dict[str, int]:
    """Adds up a window's counts over all starts of all entries."""
    totals: dict[str, int] = {}
    for state in parts.hub.entries.values():
        for name, number in _usage(state.report).get(str(window), {}).items():
            totals[name] = totals.get(name, 0) + number
    return totals


def true_time(parts: process.Parts) -> float:
    """Returns the time of day by the median clock of those that are reachable.

    A single clock may have stepped by seconds.
    """
    own = parts.member.wall()
    offsets = [0.0]
    for state in parts.hub.live_entries().values():
        said = state.report.get("wall")
        if isinstance(said, int | float):
            offsets.append(said - parts.hub.wall_at(state))
    return own + statistics.median(offsets)


def _windows(parts: process.Parts) -> set[int]:
    return {
        int(window)
        for state in parts.hub.entries.values()
        for window in _usage(state.report)
    }


def _usage(report: dict[str, Any]) -> dict[str, dict[str, int]]:
    return report.get("usage", {})
