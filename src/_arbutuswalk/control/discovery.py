"""Service discovery: exchanges endpoint and entry state with the entries.

Every control process keeps its own directory of endpoints, built from the
announcements that it receives and from those that other members forward.
Entries watch every member, so a leader change or the loss of a member does not
interrupt updates. Only that endpoints leave is replicated, which they may say
once: all else they announce again within seconds.
"""

import asyncio
import contextlib
import functools
import math
import secrets
from typing import Any

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.base import metrics
from _arbutuswalk.control import announced_endpoints
from _arbutuswalk.control import crash_reports
from _arbutuswalk.control import demand_reports
from _arbutuswalk.control import departure_log
from _arbutuswalk.control import entry_paths
from _arbutuswalk.control import entry_reports
from _arbutuswalk.control import member as members
from _arbutuswalk.control import removed_endpoints
from _arbutuswalk.control import report_checks
from _arbutuswalk.control import report_counters
from _arbutuswalk.control import route_parts
from _arbutuswalk.control import shared_pools
from _arbutuswalk.control import speed_reports
from _arbutuswalk.control import watch_updates
from _arbutuswalk.routing import deregistrations
from _arbutuswalk.routing import directory as directories
from _arbutuswalk.routing import leaving
from _arbutuswalk.routing import stated_limits
from _arbutuswalk.state import counter_sum
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import watch_timing
from _arbutuswalk.wire.gen.arbutus import ttypes

ENTRY_SILENCE_TIMEOUT_S = 1.5
"""Time without a watch after which an entry no longer counts as reachable in
sums and limits, nor is waited for: three watches."""
LOOKUP_SILENCE_TIMEOUT_S = watch_timing.LOST_WATCH_S
"""The same for look-ups: callers give up their connections to an entry that is
no longer returned."""
SETTLING_TIME_S = watch_timing.FIRST_WATCHES_S
"""Time after the first watch from an entry until sums over entries are
complete."""
ENTRY_RETENTION_S = 60.0
"""How long the last report of a silent entry still counts towards usage."""
ENDPOINT_RETENTION_S = 20.0
"""Time without an announcement after which an endpoint is removed: many missed
heartbeats."""
ENTRIES_UPDATE_TIMEOUT_S = 0.4
"""Longest wait until entries know that an endpoint is leaving; the announcing
endpoint allows one second for the response."""


class Discovery:
    """Endpoints and entries known to one control process.

    Attributes:
        member: The member of the control group in this process.
        domain: Failure domain of this process, empty if unknown.
        session: Random id of this start; revisions are valid only within it.
        directory: Endpoints.
        removed: Endpoints that were removed from the directory.
        departure_log: Commits that endpoints leave.
        entries: Known entries by id and incarnation.
        quota_use: Entries' quota use since this process started, by workspace.
        quota_returned: Tokens returned to the shared buckets, likewise.
        shared_pools: The entries' shared quota buckets.
        outcomes: Request outcomes since then, by upstream, version, group and
            position in ``rollout_evidence.Counts``.
        stated_limits: Limits that endpoints state, as entries report them.
        stated_brittle: Rejections that they state, likewise.
        crash_reports: What entries report on crashes.
        speeds: Speeds of endpoints that entries measure.
        demand: Demand of workspaces that entries report.
        started_at: When this process started, in seconds.
        first_watch_at: When an entry first sent a watch, None before.
        restored_entry_count: Entries before the last restart, 0 if unknown.
        changed: Set and replaced when there is an update for entries.
        metrics: Counters of this process.
        route_parts: Route configuration as entries fetch it.
        shared_loads: Loads last summed over the entries.
        shared_counts: Entries last counted.
    """

    def __init__(self, *, member: members.Member, domain: str = ""):
        self.member = member
        self.domain = domain
        self.session = secrets.token_hex(8)
        self.directory = directories.Directory()
        self.removed = removed_endpoints.RemovedEndpoints()
        self.departure_log = departure_log.DepartureLog(member=member)
        self.entries: dict[tuple[str, int], entry_reports.KnownEntry] = {}
        self.quota_use = counter_sum.CounterSum()
        self.quota_returned = counter_sum.CounterSum()
        self.shared_pools = shared_pools.SharedPools()
        self.outcomes = counter_sum.CounterSum()
        self.stated_limits = stated_limits.StatedLimits()
        self.stated_brittle = stated_limits.StatedLimits()
        self.crash_reports = crash_reports.CrashReports()
        self.speeds = speed_reports.SpeedReports()
        self.changed = asyncio.Event()
        self.now: clock.Clock = member.now
        self.started_at = self.now()
        self.first_watch_at: float | None = None
        self.restored_entry_count = 0
        self.wall: clock.Clock = member.wall
        self.metrics = metrics.Metrics()
        self.demand = demand_reports.DemandReports(metrics=self.metrics)
        self.route_parts = route_parts.RouteParts()
        self.shared_loads = entry_reports.SharedValue()
        self.shared_counts = entry_reports.SharedValue()

    def announce(self, endpoint: directories.Endpoint) -> bool:
        """Applies an announcement and forwards it to the other members."""
        self._forward_to_members(endpoint)
        return self.apply_announcement(endpoint)

    def apply_announcement(self, endpoint: directories.Endpoint) -> bool:
        """Applies an announcement; returns whether it changed the directory."""
        self.directory.upstream_names = route_parts.upstream_names(
            self.route_parts, self.member.tables
        )
        endpoint = self.departure_log.mark(endpoint)
        is_change = announced_endpoints.apply(
            self.directory, endpoint, self.now(), self.metrics
        )
        if is_change:
            self.notify_watches()
        return is_change

    def make_gone(
        self, endpoint_id: str, born_ms: int | None
    ) -> directories.Endpoint | None:
        """Returns what a deregistration announces, None if nothing."""
        now_ms = int(self.wall() * clock.MS_PER_S)
        return deregistrations.make_gone(
            self.directory, endpoint_id, born_ms, now_ms
        )

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Removes a silent endpoint and tells the entries."""
        now = self.now()
        if self.removed.remove_from(self.directory, endpoint_id, now):
            self.notify_watches()

    def apply_departures(self) -> None:
        """Marks endpoints as leaving whose departure is committed."""
        self.record_leaving(self.departure_log.take_new(self.now()), "log")

    async def wait_for_entries(self, endpoint_id: str | None = None) -> bool:
        """Waits until every reachable entry has the current directory.

        Args:
            endpoint_id: Endpoint whose current state is enough, None for all.

        Returns:
            Whether all of them have it within the timeout.
        """
        revision = self.directory.revision
        if endpoint_id in self.directory.rows:
            revision = self.directory.rows[endpoint_id].change_revision
        deadline = self.now() + ENTRIES_UPDATE_TIMEOUT_S
        while entry_reports.has_behind(self.reachable_entries(), revision):
            remaining_s = deadline - self.now()
            if remaining_s <= 0:
                return False
            await asyncio.sleep(min(remaining_s, members.TICK_INTERVAL_S))
        return True

    def ready_entries(self) -> list[dict[str, Any]]:
        """Returns the reports of ready entries, for look-ups."""
        since = self.now() - LOOKUP_SILENCE_TIMEOUT_S
        recent = entry_reports.newest_incarnations(self.entries, since)
        return entry_paths.reports_for_lookups(recent.values())

    def reachable_entries(self) -> dict[str, entry_reports.KnownEntry]:
        """Returns the newest incarnation of each reachable entry, by id."""
        return entry_reports.newest_incarnations(
            self.entries, self.now() - ENTRY_SILENCE_TIMEOUT_S
        )

    async def watch(self, message: ttypes.Watch) -> ttypes.WatchReply:
        """Replies to an entry once there is an update, or after a timeout."""
        self.metrics.count("watches")
        revision = message.version if message.session == self.session else 0
        report, reported_at = self._record_watch(message, revision), self.now()
        wanted = watch_updates.wanted_by(report, revision)
        if not self._has_update(message, revision):
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(watch_timing.MAX_WAIT_S):
                    await changed.wait()
        update = self._build_update(
            revision,
            has_share=report.get("has_share", False),
            wanted=wanted,
            reported_at=reported_at,
        )
        return ttypes.WatchReply(
            session=self.session,
            version=self.directory.revision,
            news=compressed_json.encode(update),
        )

    def notify_watches(self) -> None:
        """Wakes all waiting watches so that they reply."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def remove_expired(self) -> None:
        """Removes endpoints and entries that have been silent for too long."""
        now = self.now()
        for name in directories.find_silent(
            self.directory, now, ENDPOINT_RETENTION_S
        ):
            self.remove_endpoint(name)
        self.removed.expire(now, ENDPOINT_RETENTION_S)
        self.stated_limits.remove_unknown(self.directory.rows)
        self.stated_brittle.remove_unknown(self.directory.rows)
        directories.expire_leaving(self.directory, now)
        for key, entry in list(self.entries.items()):
            if now - entry.last_watch_at > ENTRY_RETENTION_S:
                del self.entries[key]
                self.quota_use.remove(key)
                self.quota_returned.remove(key)
                self.outcomes.remove(key)

    def known_entries(self) -> set[str]:
        """Returns the entries that may be serving, reachable or not.

        Entries that reported that they have left are excluded.
        """
        return entry_reports.known_entries(self.entries)

    def recent_entry_count(self) -> int:
        """Returns the number of entries that were known in the last minute."""
        return len({name for name, _ in self.entries})

    def is_settled(self) -> bool:
        """Returns whether every running entry has sent a watch by now.

        It counts from the first watch: entries learn the address of a new
        member only when it has joined the group.
        """
        since = self.first_watch_at
        return since is not None and self.now() - since >= SETTLING_TIME_S

    def loads(self) -> entry_reports.Loads:
        """Returns the loads of all reachable entries, by endpoint."""
        return entry_reports.sum_loads(self.reachable_entries().values())

    def wall_at_last_watch(self, entry: entry_reports.KnownEntry) -> float:
        """Returns this process's wall clock time of an entry's last watch."""
        return self.wall() - (self.now() - entry.last_watch_at)

    def member_addresses(self) -> list[str]:
        """Returns the link addresses of all members, including this one."""
        known = self.member.replica.log.members.addresses.values()
        return sorted({self.member.address, *known})

    def _record_watch(
        self, message: ttypes.Watch, revision: int
    ) -> dict[str, Any]:
        key = message.entry, message.incarnation
        report = report_checks.decode(message.report)
        self.first_watch_at = self.first_watch_at or self.now()
        self.entries[key] = entry_reports.KnownEntry(
            message.incarnation, revision, report, self.now()
        )
        max_uptime_s = min(self.now() - self.started_at, ENTRY_RETENTION_S)
        sums = self.quota_use, self.quota_returned, self.outcomes
        report_counters.record(key, report, sums, max_uptime_s=max_uptime_s)
        if self.crash_reports.record(report, self.entries.values(), self.now()):
            self.notify_watches()
        now = self.now()
        self.speeds.record(key, report, self.directory, now)
        self.demand.record(key, report, now)
        for name, table in self._stated_tables().items():
            statements = stated_limits.from_json(report.get(name, {}), now)
            self.record_limits(statements, table)
        starts = leaving.from_json(report.get("leaving", []), now)
        self.record_leaving(starts, message.entry)
        return report

    def record_leaving(
        self, statements: dict[leaving.Start, float], source: str
    ) -> None:
        """Records that endpoints leave and sends changes to the entries."""
        for start, stated_at in statements.items():
            if directories.record_leaving(self.directory, start, stated_at):
                events.record(events.Event.ENDPOINT_LEAVING, *start, source)
                row = self.directory.rows[start.endpoint_id]
                self._forward_to_members(row.endpoint)
                self.notify_watches()

    def record_limits(
        self,
        statements: dict[str, stated_limits.Statement],
        table: stated_limits.StatedLimits | None = None,
    ) -> None:
        """Records what endpoints state and sends changes to the entries."""
        table = table or self.stated_limits
        changes = [
            table.record(endpoint_id, statement)
            for endpoint_id, statement in statements.items()
        ]
        if any(changes):
            self.notify_watches()

    def _stated_tables(self) -> dict[str, stated_limits.StatedLimits]:
        return {"limits": self.stated_limits, "brittle": self.stated_brittle}

    def _has_update(self, message: ttypes.Watch, revision: int) -> bool:
        return (
            message.session != self.session
            or route_parts.has_newer(self.member.tables, message)
            or directories.has_changes_since(self.directory, revision)
            or bool(self.removed.since(revision))
        )

    def routes_part(self, message: ttypes.RoutesRequest) -> ttypes.RoutesPart:
        """Returns a part of the compressed route configuration."""
        return route_parts.part_from(
            self.route_parts, self.member.tables, message.offset
        )

    def _build_update(
        self,
        revision: int,
        *,
        has_share: bool,
        wanted: watch_updates.Wanted | None = None,
        reported_at: float = math.inf,
    ) -> dict[str, Any]:
        """Returns the update for an entry.

        Args:
            revision: Directory revision that the entry has.
            has_share: Whether the entry has only its share of a quota.
            wanted: What the entry asks for, None for everything.
            reported_at: When it reported its own loads, in seconds.
        """
        tables, now = self.member.tables, self.now()
        wanted = wanted or watch_updates.Wanted(revision)
        since = now - ENTRY_SILENCE_TIMEOUT_S
        count = functools.partial(entry_reports.count, self.entries, since)
        counts = entry_reports.shared(
            self.shared_counts, reported_at, now, count
        )
        loads = functools.partial(
            entry_reports.shared,
            self.shared_loads,
            reported_at,
            now,
            self.loads,
        )
        return {
            "routes_version": tables.routes_version,
            "has_routes": tables.routes is not None,
            **watch_updates.parts(self.directory, revision, wanted, loads),
            "removed": self.removed.since(revision),
            **self.speeds.parts(self.directory, wanted.speeds_since, now),
            **self.demand.parts(tables.routes, wanted.shares_since, now),
            "members": self.member_addresses(),
            "domain": self.domain,
            "peers": entry_paths.peers_of(
                wanted.peers_of, self.reachable_entries
            ),
            **watch_updates.common_parts(tables),
            "taken": self.quota_use.totals,
            "returned": self.quota_returned.totals,
            "pools": self._shared_pools() if has_share else {},
            **{k: t.to_json(now) for k, t in self._stated_tables().items()},
            "is_settled": self.is_settled(),
            "entries": max(1, counts.known)
            if self.is_settled()
            else self.restored_entry_count,
            "silent": counts.silent,
            "wall": self.wall(),
            "term": self.member.replica.term if self.member.holds_lease else 0,
            "refused": self.crash_reports.refusals.to_json(self.now()),
            "crash_candidates": self.crash_reports.candidates,
        }

    def _shared_pools(self) -> dict[str, list[float]]:
        entries = self.reachable_entries().values()
        reports = (entry.report for entry in entries)
        return self.shared_pools.summarize(reports, self.now())

    def _forward_to_members(self, endpoint: directories.Endpoint) -> None:
        others = {*self.member_addresses()} - {self.member.address}
        announced_endpoints.forward(self.member, others, endpoint)
