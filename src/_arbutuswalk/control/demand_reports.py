"""Sums the demand that entries report and finds who is over its fair share.

Every control process does so for itself, as every entry reports to each. After
a restart it sends nothing until all entries have reported.
"""

import math
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.base import metrics
from _arbutuswalk.limits import fair_shares
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import demand_fields

REPORT_RETENTION_S = 6.0
"""Age from which an entry's rates no longer count: three of its reports."""
ENTRY_RETENTION_S = 60.0
"""Time after which a silent entry's last number is forgotten."""
UPDATE_INTERVAL_S = 2.0
"""Interval at which shares are computed, and sent if they have changed."""
REFRESH_INTERVAL_S = 5.0
"""Interval at which unchanged shares are sent, so that entries keep them."""
SETTLING_TIME_S = 5.0
"""Time from the first report until the sums are complete: two reports of each
entry, one of which may be lost."""
RATE_POSITION = routeconfig.Workspace._fields.index("rate_per_s")
ANONYMOUS = ""
"""Workspace of requests without one, which is never over its share."""

Table = dict[str, dict[str, int]]
"""Steps of what is asked relative to the share, by upstream and workspace."""


class Received(NamedTuple):
    """Rates that an entry sent last.

    Attributes:
        incarnation: Incarnation of the entry process.
        number: Number of the rates.
        demand: The rates, as ``demand_fields`` describes them.
        at: When they were received, in seconds.
    """

    incarnation: int
    number: int
    demand: dict[str, list]
    at: float


class Demand:
    """What is asked of an upstream, and admitted, per second.

    Attributes:
        asked: Rates by workspace and priority.
        admitted: Rate of all workspaces together.
    """

    def __init__(self):
        self.asked: dict[str, dict[int, float]] = {}
        self.admitted = 0.0

    def add(
        self, priority: int, workspaces: list[str], rates: list[float]
    ) -> None:
        """Adds what an entry is asked for with one priority."""
        for workspace, rate in zip(workspaces, rates, strict=False):
            if rate:
                sums = self.asked.setdefault(workspace, {})
                sums[priority] = sums.get(priority, 0.0) + rate


class DemandReports:
    """Demand of all entries, and the shares found for it.

    Attributes:
        metrics: Metrics of the process.
        received: What each entry sent last, by id.
        demand: Sums over the entries by upstream.
        table: Those over their shares.
        entry_count: Number of entries that the table covers.
        revision: Revision of the table, 0 before the first.
        settled_at: From when on the sums are complete, in seconds.
        updated_at: When the table was computed, in seconds.
        refreshed_at: When the revision last changed, in seconds.
    """

    def __init__(self, *, metrics: metrics.Metrics):
        self.metrics = metrics
        self.received: dict[str, Received] = {}
        self.demand: dict[str, Demand] = {}
        self.table: Table = {}
        self.entry_count = 0
        self.revision = 0
        self.settled_at = math.inf
        self.updated_at = self.refreshed_at = -math.inf

    def record(
        self, key: tuple[str, int], report: dict[str, Any], now: float
    ) -> None:
        """Records the rates of an entry's report if they are newer.

        Args:
            key: Id and incarnation of the entry.
            report: The report.
            now: Seconds.
        """
        number, *demand = report.get("demand", [0, 0])[1:3]
        entry, incarnation = key
        before = self.received.get(entry, Received(0, 0, {}, now))
        if demand and (incarnation, number) > before[:2]:
            self.received[entry] = Received(incarnation, number, demand[0], now)

    def parts(
        self, routes: dict[str, Any] | None, since: int | None, now: float
    ) -> dict[str, Any]:
        """Returns the part of a reply with shares newer than a revision.

        Args:
            routes: The route configuration, None before the first.
            since: Revision that the entry has, None if it wants no shares.
            now: Seconds.
        """
        if since is None:
            return {}
        if now - self.updated_at >= UPDATE_INTERVAL_S:
            self._update(routes, now)
        if self.revision == since:
            return {}
        return {"shares": [self.revision, self.entry_count, self.table]}

    def _update(self, routes: dict[str, Any] | None, now: float) -> None:
        # After a pause of this process the reports are old.
        if now - self.updated_at > REPORT_RETENTION_S:
            self.settled_at = now + SETTLING_TIME_S
        self.updated_at = now
        self._add_up(now)
        if now < self.settled_at:
            return
        weights = _find_weights(routes)
        before = self.table
        self.table = {
            upstream: steps
            for upstream, demand in self.demand.items()
            if (steps := _find_steps(demand, weights, before.get(upstream, {})))
        }
        self._log_changes(before)
        self._publish_metrics()
        is_due = now - self.refreshed_at >= REFRESH_INTERVAL_S
        if self.table != before or is_due:
            self.revision += 1
            self.refreshed_at = now

    def _add_up(self, now: float) -> None:
        self.received = {
            entry: received
            for entry, received in self.received.items()
            if now - received.at <= ENTRY_RETENTION_S
        }
        recent = [
            received.demand
            for received in self.received.values()
            if now - received.at <= REPORT_RETENTION_S
        ]
        self.entry_count = len(recent)
        self.demand = {}
        for entry_demand in recent:
            for upstream, (admitted, names, rows, *_) in entry_demand.items():
                demand = self.demand.get(upstream)
                if demand is None:
                    demand = self.demand[upstream] = Demand()
                demand.admitted += admitted
                for row in rows:
                    demand.add(row[0], names, row[1])

    def _log_changes(self, before: Table) -> None:
        """Logs who goes over its share and back, not how far it is over it."""
        for upstream in sorted(before.keys() | self.table.keys()):
            former = before.get(upstream, {})
            current = self.table.get(upstream, {})
            demand = self.demand.get(upstream, Demand())
            for workspace in sorted(former.keys() ^ current.keys()):
                events.record(
                    events.Event.WORKSPACE_SHARE_CHANGED,
                    upstream,
                    workspace,
                    round(demand_fields.factor(current.get(workspace, 0)), 2),
                    round(sum(demand.asked.get(workspace, {}).values()), 2),
                    round(demand.admitted, 2),
                    self.entry_count,
                )

    def _publish_metrics(self) -> None:
        self.metrics.replace_values(
            "workspace_asked_per_s",
            {
                f'upstream="{upstream}",workspace="{workspace}",'
                f'priority="{priority}"': round(rate)
                for upstream, demand in self.demand.items()
                for workspace, rates in demand.asked.items()
                for priority, rate in rates.items()
            },
        )
        self.metrics.replace_values(
            "upstream_admitted_per_s",
            {
                f'upstream="{upstream}"': round(demand.admitted)
                for upstream, demand in self.demand.items()
            },
        )
        self.metrics.replace_values(
            "workspace_excess_percent",
            {
                f'upstream="{upstream}",workspace="{workspace}"': round(
                    100 * demand_fields.factor(steps)
                )
                for upstream, by_workspace in self.table.items()
                for workspace, steps in by_workspace.items()
            },
        )


def _find_weights(routes: dict[str, Any] | None) -> dict[str, float]:
    rates = {
        workspace[0]: workspace[RATE_POSITION]
        for workspace in (routes or {}).get("workspaces", ())
    }
    return fair_shares.find_weights(rates)


def _find_steps(
    demand: Demand, weights: dict[str, float], before: dict[str, int]
) -> dict[str, int]:
    """Returns the steps of the workspaces that are over their shares."""
    excess = fair_shares.find_excess(demand.asked, weights, demand.admitted)
    excess.pop(ANONYMOUS, None)
    return {
        workspace: steps
        for workspace in demand.asked
        if (
            steps := demand_fields.steps(
                excess.get(workspace, 1.0), before.get(workspace, 0)
            )
        )
    }
