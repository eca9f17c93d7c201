"""What entries report on crashes, and what it makes all of them refuse."""

import math
from collections.abc import Collection
from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.control import entry_reports
from _arbutuswalk.routing import crash_blame
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import refusals
from _arbutuswalk.wire import watch_timing

MAX_REPORT_AGE_S = 2 * watch_timing.MAX_WAIT_S
"""Age from which on an entry's report is not waited for."""
MIN_INTERVAL_S = 0.1
"""Time between two decisions: a quarter of a watch."""
REPORTING_TIME_S = 1.0
"""Time from the first report of a death until all entries have reported what
they ran there: a tick, a watch and their messages. Until then a part of a
request that one entry has reported could be blamed for another's."""


class CrashReports:
    """Decisions of one control process on what crashes endpoints.

    Attributes:
        refusals: What all entries refuse.
        candidates: Keys whose successes entries report.
        decided_at: When the reports were last looked at, in seconds.
        reported_at: When a death was first reported, by endpoint start.
    """

    def __init__(self):
        self.refusals = refusals.Refusals()
        self.candidates: list[str] = []
        self.decided_at = -math.inf
        self.reported_at: dict[str, float] = {}

    def record(
        self,
        report: dict[str, Any],
        entries: Collection[entry_reports.KnownEntry],
        now: float,
    ) -> bool:
        """Records a new report of an entry; returns whether there is news."""
        new_keys = self.refusals.merge(report.get("refused", {}), now)
        return self.decide(entries, now) or bool(new_keys)

    def decide(
        self, entries: Collection[entry_reports.KnownEntry], now: float
    ) -> bool:
        """Looks at the entries' reports; returns whether there is news."""
        if now - self.decided_at < MIN_INTERVAL_S:
            return False
        self.decided_at = now
        deaths = _merge_deaths(entries, now)
        before = self.candidates
        self.candidates = crash_blame.find_candidates(deaths)
        successes = _merge_successes(entries, self.candidates, now)
        blamed = crash_blame.find_blamed(
            self._select_reported(deaths, now), successes, self.refusals.rows
        )
        for blame in blamed:
            self.refusals.add(blame.key, now)
            last_success = successes[blame.key]
            events.record(
                events.Event.CRASHES_BLAMED,
                blame.key,
                blame.deaths,
                round(now - last_success, 3)
                if last_success > crash_blame.NO_SUCCESS
                else None,
            )
        return bool(blamed) or not set(self.candidates) <= set(before)

    def _select_reported(
        self, deaths: crash_blame.DeathTimes, now: float
    ) -> crash_blame.DeathTimes:
        """Returns the deaths that all entries have had time to report."""
        starts = {start for times in deaths.values() for start in times}
        self.reported_at = {
            start: self.reported_at.get(start, now) for start in starts
        }
        return {
            key: {
                start: at
                for start, at in times.items()
                if now - self.reported_at[start] >= REPORTING_TIME_S
            }
            for key, times in deaths.items()
        }


def _merge_deaths(
    entries: Collection[entry_reports.KnownEntry], now: float
) -> crash_blame.DeathTimes:
    merged: crash_blame.DeathTimes = {}
    for entry in entries:
        for key, ages_s in entry.report.get("deaths", {}).items():
            if not isinstance(ages_s, dict):
                continue  # an entry of a former version reports no ages
            for start, age_s in ages_s.items():
                died_at = entry.last_watch_at - age_s
                if now - died_at <= crashes.DEATH_RETENTION_S:
                    times = merged.setdefault(key, {})
                    times[start] = min(died_at, times.get(start, died_at))
    return merged


def _merge_successes(
    entries: Collection[entry_reports.KnownEntry],
    candidates: list[str],
    now: float,
) -> dict[str, float]:
    """Returns the last success of each key that all entries report on.

    Entries that are silent, and those of a former version, are not waited for.
    """
    merged = dict.fromkeys(candidates, crash_blame.NO_SUCCESS)
    for entry in entries:
        reported = entry.report.get("successes")
        if reported is None:
            continue
        is_recent = now - entry.last_watch_at <= MAX_REPORT_AGE_S
        for key in list(merged):
            age_s = reported.get(key)
            if age_s is not None:
                merged[key] = max(merged[key], entry.last_watch_at - age_s)
            elif is_recent and key not in reported:
                del merged[key]
    return merged
