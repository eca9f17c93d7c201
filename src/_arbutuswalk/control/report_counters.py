"""Adds the counters in an entry's report to the sums over all entries."""

from typing import Any

from _arbutuswalk.control import entry_reports
from _arbutuswalk.state import counter_sum


def record(
    key: tuple[str, int],
    report: dict[str, Any],
    sums: tuple[
        counter_sum.CounterSum, counter_sum.CounterSum, counter_sum.CounterSum
    ],
    *,
    max_uptime_s: float,
) -> None:
    """Records an entry's counters.

    Args:
        key: Id and incarnation of the entry.
        report: Its report.
        sums: Quota use, returned quota and outcomes.
        max_uptime_s: Time for which it would have been counted. An older entry
            may have been counted before its report expired.
    """
    quota_use, quota_returned, outcomes = sums
    counts_from_zero = report.get("uptime_s", max_uptime_s) < max_uptime_s
    quota_use.record(
        key, report.get("taken", {}), counts_from_zero=counts_from_zero
    )
    quota_returned.record(
        key, report.get("returned", {}), counts_from_zero=counts_from_zero
    )
    outcomes.record(
        key,
        entry_reports.outcome_counts(report),
        counts_from_zero=counts_from_zero,
    )
