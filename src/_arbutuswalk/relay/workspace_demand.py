"""What an entry knows of the demand of workspaces, and of their shares.

It counts what its callers ask for and what is admitted, by upstream, workspace
and priority, and reports rates to control, which sums those of all entries and
sends back which workspaces ask for more than their fair share.
"""

import heapq
import math
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import metrics
from _arbutuswalk.base import settings
from _arbutuswalk.relay import report_feed
from _arbutuswalk.wire import demand_fields

AVERAGING_TIME_S = 4.0
"""Time constant of the rates. Over all entries it contains tens of requests of
a workspace that sends ten a second."""
REPORT_INTERVAL_S = 2.0
"""Interval of the reported rates; reports in between confirm them."""
MIN_RATE = 0.01
"""Rates below are no longer reported: a request ten seconds ago."""
MAX_REPORTED = 256
"""Most rates in a report: the largest ones."""
MAX_AGE_S = 12.0
"""Time without news from control after which no workspace is over its share:
two and a half times the longest time between two."""
METRIC = "workspace_excess_percent"


class Key(NamedTuple):
    """What demand is counted by."""

    upstream: str
    workspace: str
    priority: int


class Rate(NamedTuple):
    """A rate per second, averaged exponentially, at some time in seconds."""

    per_s: float
    at: float


class WorkspaceDemand:
    """Counted requests, and shares that control has found.

    Attributes:
        asked: What callers ask for.
        admitted: What was admitted.
        number: Number of the reported rates, 0 before the first.
        reported: Those rates, as ``demand_fields`` describes them.
        reported_at: When they were taken, in seconds.
        excess: Demand relative to the share, by upstream and workspace, of
            those over their shares.
        entry_count: Number of entries whose demand that covers.
        updated_at: When it was received, in seconds.
    """

    def __init__(self):
        self.asked: dict[Key, Rate] = {}
        self.admitted: dict[Key, Rate] = {}
        self.number = 0
        self.reported: dict[str, Any] = {}
        self.reported_at = -math.inf
        self.excess: dict[tuple[str, str], float] = {}
        self.entry_count = 0
        self.updated_at = -math.inf


def record_asked(
    demand: WorkspaceDemand,
    upstream: str,
    workspace: str,
    priority: int,
    cost: float,
    now: float,
) -> None:
    """Records that a caller has asked for something, admitted or not.

    Args:
        demand: Demand known to the entry.
        upstream: Name of the upstream.
        workspace: Name of the workspace, empty for an anonymous route.
        priority: Priority of the request, 0 for the most urgent.
        cost: Prompt and answer tokens of a model request, else 1.
        now: Seconds.
    """
    _add(demand.asked, Key(upstream, workspace, priority), cost, now)


def record_admitted(
    demand: WorkspaceDemand,
    upstream: str,
    workspace: str,
    priority: int,
    cost: float,
    now: float,
) -> None:
    """Records that a request has been admitted; see ``record_asked``."""
    _add(demand.admitted, Key(upstream, workspace, priority), cost, now)


def excess(
    demand: WorkspaceDemand, upstream: str, workspace: str, now: float
) -> float:
    """Returns how far a workspace is over its fair share of an upstream.

    Returns:
        What it asks for relative to its share, 1 if it is inside its share, if
        that is not known, or if the last news is too old.
    """
    if not demand.excess or now - demand.updated_at > MAX_AGE_S:
        return 1.0
    return demand.excess.get((upstream, workspace), 1.0)


def to_json(
    demand: WorkspaceDemand, feed: report_feed.ReportFeed, now: float
) -> dict[str, Any]:
    """Returns the part of a report for one control process.

    Rates that it has confirmed are left out.
    """
    if now - demand.reported_at >= REPORT_INTERVAL_S:
        _take_rates(demand, now)
    feed.sent = demand.number
    fields = [feed.revision, demand.number]
    if demand.number > feed.confirmed:
        fields.append(demand.reported)
    return {"demand": fields}


def record_reply(
    demand: WorkspaceDemand,
    feed: report_feed.ReportFeed,
    news: dict[str, Any],
    now: float,
    entry_metrics: metrics.Metrics,
) -> None:
    """Records the shares in a reply, and that a report has arrived.

    Those of a process that hears less than half of the entries are ignored
    while there are others.
    """
    feed.confirmed = feed.sent
    fields = news.get("shares")
    if not isinstance(fields, list) or len(fields) < 3:
        return
    revision, entry_count, values = fields[:3]
    if not all(map(settings.is_non_negative_int, (revision, entry_count))):
        return
    feed.revision = revision
    is_old = now - demand.updated_at > MAX_AGE_S
    if not is_old and 2 * entry_count < demand.entry_count:
        return
    demand.excess = demand_fields.valid_excess(values)
    demand.entry_count = entry_count
    demand.updated_at = now
    entry_metrics.replace_values(
        METRIC,
        {
            f'upstream="{upstream}",workspace="{workspace}"': round(
                100 * factor
            )
            for (upstream, workspace), factor in demand.excess.items()
        },
    )


def _add(rates: dict[Key, Rate], key: Key, cost: float, now: float) -> None:
    before = rates.get(key)
    per_s = _value(before, now) if before is not None else 0.0
    rates[key] = Rate(per_s + cost / AVERAGING_TIME_S, now)


def _value(rate: Rate, now: float) -> float:
    return rate.per_s * math.exp((rate.at - now) / AVERAGING_TIME_S)


def _take_rates(demand: WorkspaceDemand, now: float) -> None:
    """Takes the rates to be reported; an empty table is numbered once."""
    for rates in (demand.asked, demand.admitted):
        for key, rate in list(rates.items()):
            if _value(rate, now) < MIN_RATE:
                del rates[key]
    asked = {key: _value(rate, now) for key, rate in demand.asked.items()}
    if len(asked) > MAX_REPORTED:
        asked = dict(
            heapq.nlargest(MAX_REPORTED, asked.items(), key=lambda i: i[1])
        )
    before = demand.reported
    admitted = {
        key: _value(rate, now)
        for key, rate in demand.admitted.items()
        if key in asked
    }
    demand.reported = demand_fields.demand_to_json(asked, admitted)
    demand.reported_at = now
    if demand.reported or before:
        demand.number += 1
