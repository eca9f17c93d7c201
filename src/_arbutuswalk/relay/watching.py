"""Follows control: endpoints, configuration of routes, rollouts, other entries.

The entry watches every control process it knows of and merges what they say.
While none answers it goes on with what it knows.
"""

import asyncio
import statistics
from collections.abc import Awaitable
from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.relay import core
from _arbutuswalk.relay import fetching
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import routetable
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

WATCH_TIMEOUT_S = 1.2
"""Longest time for an answer: three times as long as control waits."""
PAUSE_S = 0.2
"""Pause after a failed watch."""
START_PAUSE_S = 0.05
"""The same while nothing is known yet: control may start at the same moment."""
FORGET_S = 20.0
"""Silence after which an endpoint is forgotten, as at control."""
STRANGER_S = 30.0
"""How long a control process is watched that is no member and no seed."""


class Feed:
    """One control process that is watched.

    Attributes:
        session: Its start, which revisions belong to.
        revision: Revision of its directory that was taken.
        heard_at: When it last answered, in seconds.
        term: Term in which it decides alone, 0 if it does not.
        answered: Whether its last answer was good.
        routes_version: Newest configuration of routes that it told of.
        wall_offset: Its time of day less ours, None before it answered.
        reported_loads: Own loads that it was last told, by endpoint.
        reported_taken: Own quota takings that it was last told, by workspace.
    """

    def __init__(self, *, address: str, now: float):
        self.address = address
        self.link = link.Link(address=address)
        self.session = ""
        self.revision = 0
        self.heard_at = now
        self.answered = False
        self.routes_version = 0
        self.term = 0
        self.wall_offset: float | None = None
        self.reported_taken: dict[str, float] = {}
        self.reported_loads: dict[str, core.Load] = {}
        self.task: asyncio.Task | None = None


class Watcher:
    """All feeds of an entry.

    Attributes:
        relay: Tables that the news go into.
        report: Returns what the entry says of itself.
        seeds: Link addresses from the settings.
        feeds: Feed by link address.
        hears_since: Since when some control process has answered without a
            gap, None while none does.
        fetching: Fetches a new configuration, None while there is none.
    """

    def __init__(self, *, relay: core.Relay, seeds: list[str], listens_on: str):
        self.relay = relay
        self.seeds = seeds
        self.listens_on = listens_on
        self.feeds: dict[str, Feed] = {}
        self.hears_since: float | None = None
        self.fetching: asyncio.Task | None = None

    def tick(self) -> None:
        """Watches new members and stops watching those that are gone."""
        now = self.relay.now()
        for address in self.seeds:
            self._follow(address)
        for address, feed in list(self.feeds.items()):
            lost = now - feed.heard_at > STRANGER_S
            if lost and address not in self.seeds:
                del self.feeds[address]
                feed.task.cancel()
                _spawn(feed.link.stop())
        self._forget_silent(now)
        guilty = crashes.review(
            self.relay.crashes,
            self.relay.directory,
            now,
            self.relay.options.heartbeat_s,
        )
        for suspect in guilty:
            events.record(
                events.Event.DEATH_NOTED, suspect.fingerprint, suspect.endpoint
            )

    def _forget_silent(self, now: float) -> None:
        """Drops silent endpoints, but only if they could have been heard.

        Without control the entry goes on with the endpoints that it knows.
        """
        if not any(feed.answered for feed in self.feeds.values()):
            self.hears_since = None
            return
        if self.hears_since is None:
            self.hears_since = now
        if now - self.hears_since > FORGET_S:
            directory.expire(self.relay.directory, now, FORGET_S)

    async def stop(self) -> None:
        """Stops watching."""
        if self.fetching is not None:
            self.fetching.cancel()
        for feed in self.feeds.values():
            feed.task.cancel()
        for feed in self.feeds.values():
            await feed.link.stop()

    def _follow(self, address: str) -> None:
        if address not in self.feeds:
            feed = Feed(address=address, now=self.relay.now())
            self.feeds[address] = feed
            feed.task = asyncio.ensure_future(self._run(feed))

    async def _run(self, feed: Feed) -> None:
        while True:
            reply = await feed.link.call(
                self._message(feed), timeout_s=WATCH_TIMEOUT_S
            )
            if isinstance(reply, ttypes.WatchReply):
                self._take(feed, reply)
                continue
            if feed.answered:
                feed.answered = False
                reason = getattr(reply, "reason", "no answer")
                events.record(events.Event.CONTROL_LOST, feed.address, reason)
            feed.term = 0
            if isinstance(reply, link.TimedOut):
                # The connection may be silent for good while new ones work.
                feed.link.close("timed out")
            known = self.relay.table is not None
            await asyncio.sleep(PAUSE_S if known else START_PAUSE_S)

    def _message(self, feed: Feed) -> ttypes.Watch:
        report = self._report()
        feed.reported_taken = report["taken"]
        feed.reported_loads = dict(report["loads"])
        return ttypes.Watch(
            entry=self.relay.name,
            incarnation=self.relay.incarnation,
            session=feed.session,
            version=feed.revision,
            routes_version=max(feed.routes_version, self.relay.routes_version),
            report=compressed_json.encode(report),
        )

    def _report(self) -> dict[str, Any]:
        relay = self.relay
        return {
            "entry": relay.name,
            "address": self.listens_on,
            "domain": relay.domain,
            "ready": relay.ready,
            "left": relay.draining,
            "routes_version": relay.routes_version,
            "loads": relay.loads,
            "wall": relay.wall(),
            "deaths": {
                name: sorted(known)
                for name, known in relay.crashes.deaths.items()
            },
            "usage": relay.usage.counts,
            "taken": {
                name: bucket.taken for name, bucket in relay.buckets.items()
            },
            "outcomes": [
                [*key, o.ran, o.failed, o.timed, o.slow]
                for key, o in relay.outcomes.items()
            ],
        }

    def _take(self, feed: Feed, reply: ttypes.WatchReply) -> None:
        now = self.relay.now()
        news = compressed_json.decode(reply.news)
        if not feed.answered:
            feed.answered = True
            events.record(
                events.Event.CONTROL_FOUND, feed.address, news["term"]
            )
        feed.heard_at = now
        feed.session, feed.revision = reply.session, reply.version
        feed.term = news["term"]
        feed.wall_offset = news["wall"] - self.relay.wall()
        for fields in news["endpoints"]:
            said = directory.from_json(fields)
            directory.announce(self.relay.directory, said, now)
        for address in news["members"]:
            self._follow(address)
        feed.routes_version = news["routes_version"]
        self._follow_routes(feed)
        self._take_rollouts(news["rollouts"])
        self._take_loads(feed, news["loads"])
        self._take_quotas(feed, news["taken"])
        self.relay.entries = max(1, news["entries"])
        self.relay.silent = news["silent"]
        self.relay.refused = frozenset(news["refused"])
        self._agree_on_time()
        self.relay.tell()

    def _follow_routes(self, feed: Feed) -> None:
        """Fetches a newer configuration than the one that is served."""
        idle = self.fetching is None or self.fetching.done()
        if idle and feed.routes_version > self.relay.routes_version:
            self.fetching = asyncio.ensure_future(
                fetching.fetch(
                    lambda: list(self.feeds.values()),
                    lambda: self.relay.routes_version,
                    self._serve_routes,
                )
            )

    def _serve_routes(self, values: dict[str, Any], source: str) -> None:
        take_routes(self.relay, values, source)
        self.relay.tell()

    def _take_rollouts(self, rollouts: dict[str, list]) -> None:
        """Keeps the newest step of each rollout, whoever told of it."""
        for upstream, row in rollouts.items():
            known = self.relay.rollouts.get(upstream)
            if known is None or _rollout_age(row) > _rollout_age(known):
                self.relay.rollouts[upstream] = row

    def _take_loads(self, feed: Feed, loads: dict[str, list[int]]) -> None:
        """Takes other entries' loads: the sums less our own part of them."""
        self.relay.others = {
            name: core.Load(
                max(0, running - own.running),
                max(0, tokens - own.waiting_tokens),
            )
            for name, (running, tokens) in loads.items()
            for own in [feed.reported_loads.get(name, core.Load())]
        }

    def _take_quotas(self, feed: Feed, taken: dict[str, float]) -> None:
        """Takes what others drew: the sum less our own part of it."""
        now = self.relay.now()
        for name, bucket in self.relay.buckets.items():
            own = feed.reported_taken.get(name, 0.0)
            bucket.record_report(taken.get(name, 0.0) - own, now)

    def _agree_on_time(self) -> None:
        """Corrects a clock that stepped by the median of all clocks."""
        offsets = [
            feed.wall_offset
            for feed in self.feeds.values()
            if feed.wall_offset is not None
        ]
        self.relay.usage.offset_s = statistics.median([0.0, *offsets])


def take_routes(relay: core.Relay, values: dict[str, Any], source: str) -> None:
    """Serves a configuration of routes, unless it is not a newer one."""
    config = routeconfig.from_json(values)
    before = relay.routes_version
    if config.version <= before:
        return
    relay.table = routetable.RouteTable(config=config)
    events.record(events.Event.ROUTES_IN_FORCE, config.version, before, source)


def _rollout_age(row: list) -> tuple[int, int]:
    started_ms, step = row[4], row[3]
    return started_ms, step


_tasks: set[asyncio.Task] = set()


def _spawn(coroutine: Awaitable[None]) -> None:
    """Runs a closing task to its end."""
    task = asyncio.ensure_future(coroutine)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
