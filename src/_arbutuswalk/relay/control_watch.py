"""Watches control for endpoints, routes, rollouts and other entries' state.

The entry watches every known control process and merges their replies. While
none answers, it continues with the last known state.
"""

import asyncio
import statistics
from typing import Any

from _arbutuswalk.base import background
from _arbutuswalk.base import capacities
from _arbutuswalk.base import events
from _arbutuswalk.base import rows
from _arbutuswalk.relay import config_fetch
from _arbutuswalk.relay import control_features
from _arbutuswalk.relay import crash_probes
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import leaving_endpoints
from _arbutuswalk.relay import path_opener
from _arbutuswalk.relay import permit_requests
from _arbutuswalk.relay import quota_buckets
from _arbutuswalk.relay import quota_reports
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import rollout_outcomes
from _arbutuswalk.relay import slot_requests
from _arbutuswalk.relay import stated_reports
from _arbutuswalk.relay import status_feeds
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import routetable
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import config_versions
from _arbutuswalk.wire import link
from _arbutuswalk.wire import watch_timing
from _arbutuswalk.wire.gen.arbutus import ttypes

STARTUP_RETRY_INTERVAL_S = 0.05
"""Pause after a failed watch before the first configuration: control may be
starting at the same time."""
ENDPOINT_RETENTION_S = 20.0
"""Time without an announcement after which an endpoint is removed, the same as
at control."""
NON_SEED_TIMEOUT_S = 30.0
"""Time without an answer after which a control process that is not a seed is no
longer watched."""


class ControlFeed:
    """A watched control process.

    Attributes:
        address: Link address of the process.
        link: Link to the process.
        session: Identifies its start; revisions are valid within a session.
        revision: Newest revision of its directory received.
        last_answer_at: When it last answered, in seconds.
        term: Term in which it is the leader, 0 if it is not.
        connected: Whether the last watch succeeded.
        is_settled: Whether its last answer covered all running entries; a
            process that has just started does not know them yet.
        routes_version: Newest route configuration version it announced, None
            if it has none.
        permit_retry_at: Time before which it is not asked for permits, as it
            did not answer.
        features: What it can do.
        clock_offset_s: Its wall clock minus ours, None before it answered.
        reported_loads: Own loads last reported to it, by endpoint.
        crash_candidates: Keys that it wants to know the successes of.
        quota: Quota use that it reported.
        status: Loads and heartbeats that it sends.
        task: Task that watches it.
    """

    def __init__(self, *, address: str, now: float):
        self.address = address
        self.link = link.Link(address=address)
        self.session = ""
        self.revision = 0
        self.last_answer_at = now
        self.connected = False
        self.is_settled = False
        self.routes_version: int | None = None
        self.term = 0
        self.permit_retry_at = now
        self.features = control_features.Features()
        self.clock_offset_s: float | None = None
        self.quota = quota_reports.QuotaFeed(address=address)
        self.status = status_feeds.StatusFeed()
        self.reported_loads: dict[str, relay_state.Load] = {}
        self.crash_candidates: frozenset[str] = frozenset()
        self.task: asyncio.Task | None = None


class ControlWatcher:
    """Watches all control processes known to an entry.

    Attributes:
        relay: State of the entry, which the replies update.
        seeds: Link addresses from the settings.
        listen_address: Address that accepts callers' requests.
        tunnel_address: Address that accepts requests for tunnels, or empty.
        feeds: Watched control process by link address.
        connected_since: Since when at least one control process has been
            answering without interruption, None while none does.
        fetch_task: Fetches a new configuration, None before the first.
    """

    def __init__(
        self,
        *,
        relay: relay_state.Relay,
        seeds: list[str],
        listen_address: str,
        tunnel_address: str = "",
    ):
        self.relay = relay
        self.seeds = seeds
        self.listen_address = listen_address
        self.tunnel_address = tunnel_address
        self.feeds: dict[str, ControlFeed] = {}
        self.connected_since: float | None = None
        self.fetch_task: asyncio.Task | None = None
        relay.permits.ask_leader = permit_requests.make_asker(
            relay, lambda: list(self.feeds.values())
        )
        relay.slots.call_leader = slot_requests.make_caller(
            relay, lambda: list(self.feeds.values())
        )

    def tick(self) -> None:
        """Updates the set of watched processes and expires old state."""
        now = self.relay.now()
        for address in self.seeds:
            self._watch_address(address)
        for address, feed in list(self.feeds.items()):
            timed_out = now - feed.last_answer_at > NON_SEED_TIMEOUT_S
            if timed_out and address not in self.seeds:
                del self.feeds[address]
                feed.task.cancel()
                background.start("link stop", feed.link.stop())
        self._expire_endpoints(now)
        self.relay.remove_unknown_endpoints()
        stated_reports.remove_unknown(self.relay)
        leaving_endpoints.expire(self.relay)
        self.relay.refusals.expire(now)
        self.relay.pauses.remove_unused(self.relay.directory.rows, now)
        crash_probes.resolve_suspects(self.relay)

    def _expire_endpoints(self, now: float) -> None:
        """Removes silent endpoints if control could have announced them.

        Without control, and until ``ENDPOINT_RETENTION_S`` after it is back,
        the entry continues with the known endpoints.
        """
        if not any(feed.connected for feed in self.feeds.values()):
            self.connected_since = None
            return
        if self.connected_since is None:
            self.connected_since = now
        if now - self.connected_since > ENDPOINT_RETENTION_S:
            directory.expire(self.relay.directory, now, ENDPOINT_RETENTION_S)

    async def stop(self) -> None:
        """Stops watching."""
        if self.fetch_task is not None:
            self.fetch_task.cancel()
        for feed in self.feeds.values():
            feed.task.cancel()
        for feed in self.feeds.values():
            await feed.link.stop()

    def _watch_address(self, address: str) -> None:
        if address not in self.feeds:
            feed = ControlFeed(address=address, now=self.relay.now())
            self.feeds[address] = feed
            feed.task = background.start("watch", self._watch(feed))

    async def _watch(self, feed: ControlFeed) -> None:
        while True:
            failure = await self._try_watch_once(feed)
            if not failure:
                continue
            if feed.connected:
                feed.connected = False
                events.record(events.Event.CONTROL_LOST, feed.address, failure)
            feed.term = 0
            feed.status = status_feeds.StatusFeed()
            has_config = self.relay.route_table is not None
            await asyncio.sleep(
                watch_timing.RETRY_INTERVAL_S
                if has_config
                else STARTUP_RETRY_INTERVAL_S
            )

    async def _try_watch_once(self, feed: ControlFeed) -> str:
        """Sends a watch and applies its reply; returns why that failed, if so.

        The task must go on after any error: nothing would start it again.
        """
        try:
            reply = await feed.link.call(
                self._make_watch_message(feed), timeout_s=watch_timing.TIMEOUT_S
            )
        except Exception as error:  # noqa: BLE001
            return _recover(feed, "no watch sent", error)
        if isinstance(reply, ttypes.WatchReply):
            return self._try_apply_reply(feed, reply)
        if isinstance(reply, link.TimedOut):
            # The connection may be dead while a new one would work.
            feed.link.close("timed out")
        return getattr(reply, "reason", "no answer")

    def _try_apply_reply(
        self, feed: ControlFeed, reply: ttypes.WatchReply
    ) -> str:
        """Applies a reply; returns why it could not be applied, if so."""
        try:
            self._apply_reply(feed, reply)
        except Exception as error:  # noqa: BLE001
            return _recover(feed, "unusable reply", error)
        return ""

    def _make_watch_message(self, feed: ControlFeed) -> ttypes.Watch:
        report = self._report()
        report["successes"] = crashes.successes_to_json(
            self.relay.crashes, feed.crash_candidates, self.relay.now()
        )
        wants_status = status_feeds.is_wanted(
            feed.status,
            [other.status for other in self.feeds.values()],
            self.relay.domain,
            self.relay.now(),
        )
        report |= status_feeds.to_json(
            self.relay, feed.status, wanted=wants_status
        )
        feed.quota.reported_taken = report["taken"]
        feed.quota.reported_returned = report["returned"]
        feed.reported_loads = dict(report["loads"])
        routes_version, exact_routes_version = config_versions.encode(
            routeconfig.newer_of(feed.routes_version, self.relay.routes_version)
        )
        return ttypes.Watch(
            entry=self.relay.name,
            incarnation=self.relay.incarnation,
            session=feed.session,
            version=feed.revision,
            routes_version=routes_version,
            report=compressed_json.encode(report),
            exact_routes_version=exact_routes_version,
        )

    def _report(self) -> dict[str, Any]:
        relay = self.relay
        now = relay.now()
        return {
            "entry": relay.name,
            "address": self.listen_address,
            "domain": relay.domain,
            "ready": relay.ready,
            "left": relay.draining,
            "routes_version": relay.routes_version or 0,
            "loads": relay.own_loads,
            **stated_reports.to_json(relay),
            "wall": relay.wall(),
            "uptime_s": now - relay.started_at,
            "deaths": crashes.deaths_to_json(relay.crashes, now),
            "refused": relay.refusals.to_json(now),
            "usage": relay.usage.counts,
            **quota_reports.to_json(relay.quota_buckets, now),
            "rollout_outcomes": relay.rollout_outcomes.to_json(),
            "tunnel_address": self.tunnel_address,
            **path_opener.to_json(relay),
            **capacities.to_json(relay.options.capacity),
        }

    def _apply_reply(self, feed: ControlFeed, reply: ttypes.WatchReply) -> None:
        now = self.relay.now()
        news = compressed_json.decode(reply.news)
        is_continued = (
            feed.connected and feed.session == reply.session and feed.is_settled
        )
        if not feed.connected:
            feed.connected = True
            events.record(
                events.Event.CONTROL_FOUND, feed.address, news["term"]
            )
        feed.last_answer_at = now
        feed.session, feed.revision = reply.session, reply.version
        feed.term = news["term"]
        feed.features = control_features.from_json(news)
        feed.clock_offset_s = news["wall"] - self.relay.wall()
        evacuations.merge(self.relay, news, feed.address)
        for fields in news["endpoints"]:
            known_fields = rows.known_fields(directory.Endpoint, fields)
            leaving_endpoints.merge_announcement(
                self.relay, directory.from_json(known_fields), feed.address
            )
        for address in news["members"]:
            self._watch_address(address)
        feed.routes_version = control_features.routes_version(news)
        self._fetch_newer_routes(feed)
        rollout_outcomes.merge_steps(self.relay.rollouts, news["rollouts"])
        path_opener.merge_peers(self.relay, news.get("peers", []))
        status_feeds.record_reply(
            self.relay, feed.status, news, reply.version, feed.address
        )
        if "loads" in news:
            status_feeds.record_loads(
                self.relay, news["loads"], feed.reported_loads
            )
        stated_reports.merge(self.relay, news, feed.address)
        feed.is_settled = control_features.is_settled(news)
        self.relay.entry_count = control_features.entry_count(
            news, self.relay.entry_count
        )
        if feed.is_settled:
            quota_reports.record(
                self.relay.quota_buckets,
                feed.quota,
                quota_reports.from_json(news),
                now=now,
                is_continued=is_continued,
            )
            quota_reports.record_returned(
                self.relay.quota_buckets,
                [f.quota for f in self.feeds.values() if f.connected],
            )
            self.relay.unreachable_entries = news["silent"]
        self.relay.refusals.merge(news["refused"], now)
        feed.crash_candidates = frozenset(news.get("crash_candidates", ()))
        self.relay.crashes.candidates = frozenset().union(
            *(f.crash_candidates for f in self.feeds.values())
        )
        self._correct_clock()
        self.relay.notify_waiters()

    def _fetch_newer_routes(self, feed: ControlFeed) -> None:
        """Starts fetching a configuration newer than the one in use."""
        is_idle = self.fetch_task is None or self.fetch_task.done()
        if is_idle and routeconfig.is_newer(
            feed.routes_version, self.relay.routes_version
        ):
            self.fetch_task = background.start(
                "configuration",
                config_fetch.fetch(
                    lambda: list(self.feeds.values()),
                    lambda: self.relay.routes_version,
                    self._apply_fetched_routes,
                ),
            )

    def _apply_fetched_routes(
        self, values: dict[str, Any], source: str
    ) -> None:
        apply_routes(self.relay, values, source)
        self.relay.notify_waiters()

    def _correct_clock(self) -> None:
        """Corrects a clock step by the median offset of all clocks."""
        offsets = [
            feed.clock_offset_s
            for feed in self.feeds.values()
            if feed.clock_offset_s is not None
        ]
        self.relay.usage.clock_offset_s = statistics.median([0.0, *offsets])


def _recover(feed: ControlFeed, failure: str, error: Exception) -> str:
    """Returns why a watch failed; the next one asks for everything again.

    A reply may have been applied in part.
    """
    background.log_error("watch", error)
    feed.session, feed.revision, feed.routes_version = "", 0, None
    return f"{failure}: {error!r}"


def apply_routes(
    relay: relay_state.Relay, values: dict[str, Any], source: str
) -> None:
    """Puts a route configuration into use if it is newer than the current."""
    config = routeconfig.from_json(values)
    before = relay.routes_version
    if not routeconfig.is_newer(config.version, before):
        return
    quota_buckets.update(relay, config, is_first_config=not relay.route_table)
    relay.route_table = routetable.RouteTable(config=config)
    relay.hedging.keep_routes({route.name for route in config.routes})
    upstream_names = frozenset(upstream.name for upstream in config.upstreams)
    relay.directory.upstream_names = upstream_names
    relay.first_data.keep_upstreams(upstream_names)
    relay.late_refusals.keep_upstreams(upstream_names)
    events.record(events.Event.ROUTES_IN_FORCE, config.version, before, source)
