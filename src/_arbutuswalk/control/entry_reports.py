"""Entries as one control process knows them."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple


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


def sum_loads(entries: Iterable[KnownEntry]) -> dict[str, tuple[int, int]]:
    """Returns requests and unprocessed prompt tokens, by endpoint."""
    totals: dict[str, tuple[int, int]] = {}
    for entry in entries:
        for endpoint, load in entry.report.get("loads", {}).items():
            running, tokens = totals.get(endpoint, (0, 0))
            totals[endpoint] = (running + load[0], tokens + load[1])
    return totals
