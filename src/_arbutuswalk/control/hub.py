"""What control tells entries, and what entries tell control.

Every control process keeps a directory of endpoints of its own, fed by
announcements that reach it and by those the other members pass on. Entries
watch every member, so that a leader change or a lost member leaves no gap.
None of this is replicated: endpoints announce themselves again within seconds.
"""

import asyncio
import contextlib
import json
import secrets
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.base import metrics
from _arbutuswalk.control import member as members
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import directory as directories
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire.gen.arbutus import ttypes

WATCH_WAIT_S = 0.4
"""Longest time a watch waits for news; bounds the age of reported loads."""
ENTRY_SILENT_S = 1.5
"""Silence after which an entry is not named to callers: three watches."""
ENTRY_KEPT_S = 60.0
"""How long the last report of a silent entry counts, for usage."""
ENDPOINT_KEPT_S = 20.0
"""Silence after which an endpoint is forgotten: many missed heartbeats."""
CONFIRM_WAIT_S = 0.4
"""Longest wait for entries to learn that an endpoint leaves; the announcing
side allows one second for the answer."""

ROUTES_PART_BYTES = 32 * 1024
"""Size of a part of a configuration: 0.05 s over a link of 5 Mbit/s."""


class EntryState(NamedTuple):
    """An entry as this member knows it.

    Attributes:
        incarnation: Start of the entry's process.
        revision: Revision of the directory it has.
        report: Its last report.
        seen_at: When it last asked, in seconds.
    """

    incarnation: int
    revision: int
    report: dict[str, Any]
    seen_at: float


class Hub:
    """Directory of endpoints and entries at one control process.

    Attributes:
        member: The member of the control group in this process.
        session: Random name of this start, which revisions belong to.
        directory: Endpoints.
        entries: State by entry id and incarnation.
        changed: Set and replaced when there is news.
        metrics: Counters of this process.
        packed_routes: Configuration of routes as entries fetch it.
        packed_version: Version of it.
    """

    def __init__(self, *, member: members.Member):
        self.member = member
        self.session = secrets.token_hex(8)
        self.directory = directories.Directory()
        self.entries: dict[tuple[str, int], EntryState] = {}
        self.changed = asyncio.Event()
        self.now: clock.Clock = member.now
        self.wall: clock.Clock = member.wall
        self.metrics = metrics.Metrics()
        self.packed_version = 0
        self.packed_routes = b""

    def announce(self, said: directories.Endpoint) -> bool:
        """Takes an announcement and passes it on to the other members."""
        self._post_to_members(said)
        return self.take(said)

    def take(self, said: directories.Endpoint) -> bool:
        """Takes an announcement, from an endpoint or another member."""
        news = directories.announce(self.directory, said, self.now())
        self.metrics.count("announcements", f'news="{news}"')
        if news:
            events.record(
                events.Event.ENDPOINT_CHANGED,
                said.id,
                said.upstream,
                said.version,
                said.state,
                said.born_ms,
                said.sequence,
                said.address,
            )
            self.wake()
        return news

    def leave(self, endpoint_id: str, born_ms: int | None) -> bool:
        """Takes a deregistration; returns whether it was news."""
        row = self.directory.rows.get(endpoint_id)
        if row is None:
            return False
        if born_ms is not None and born_ms < row.endpoint.born_ms:
            return False
        return self.announce(row.endpoint._replace(state=directories.GONE))

    def forget(self, endpoint_id: str) -> None:
        """Drops an endpoint that was read back and not heard since."""
        directories.forget(self.directory, endpoint_id)
        events.record(events.Event.ENDPOINT_FORGOTTEN, endpoint_id)

    async def confirm(self) -> bool:
        """Waits until every reachable entry has the directory as it is now.

        Returns:
            Whether all of them have it.
        """
        revision = self.directory.revision
        deadline = self.now() + CONFIRM_WAIT_S
        while self._behind(revision):
            left = deadline - self.now()
            if left <= 0:
                return False
            await asyncio.sleep(min(left, members.TICK_S))
        return True

    def ready_entries(self) -> list[dict[str, Any]]:
        """Returns the reports of entries that callers may use."""
        return [
            state.report
            for state in self.live_entries().values()
            if state.report.get("ready")
        ]

    def live_entries(self) -> dict[str, EntryState]:
        """Returns the newest incarnation of each reachable entry, by id."""
        oldest = self.now() - ENTRY_SILENT_S
        return _newest(
            {
                key: state
                for key, state in self.entries.items()
                if state.seen_at >= oldest
            }
        )

    async def watch(self, message: ttypes.Watch) -> ttypes.WatchReply:
        """Answers an entry when there is news for it, or after a while."""
        self.metrics.count("watches")
        revision = message.version if message.session == self.session else 0
        self._note(message, revision)
        if not self._has_news(message, revision):
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), WATCH_WAIT_S)
        return ttypes.WatchReply(
            session=self.session,
            version=self.directory.revision,
            news=compressed_json.encode(self._news(revision)),
        )

    def wake(self) -> None:
        """Answers all waiting watches."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def expire(self) -> None:
        """Forgets what was not heard for long."""
        now = self.now()
        for name in directories.expire(self.directory, now, ENDPOINT_KEPT_S):
            events.record(events.Event.ENDPOINT_FORGOTTEN, name)
        for key, state in list(self.entries.items()):
            if now - state.seen_at > ENTRY_KEPT_S:
                del self.entries[key]

    def reports(self) -> list[dict[str, Any]]:
        """Returns the last report of every start of every entry."""
        return [state.report for state in self.entries.values()]

    def known_entries(self) -> set[str]:
        """Returns the entries that may be serving, reachable or not.

        One that said that it leaves no longer counts.
        """
        return {
            name
            for name, state in _newest(self.entries).items()
            if not state.report.get("left")
        }

    def taken(self) -> dict[str, float]:
        """Returns what all entries took of each workspace's quota."""
        totals: dict[str, float] = {}
        for state in self.entries.values():
            for name, number in state.report.get("taken", {}).items():
                totals[name] = totals.get(name, 0.0) + number
        return totals

    def loads(self) -> dict[str, tuple[int, int]]:
        """Returns requests and unread tokens by endpoint, over all entries."""
        totals: dict[str, tuple[int, int]] = {}
        for state in self.live_entries().values():
            for endpoint, load in state.report.get("loads", {}).items():
                running, tokens = totals.get(endpoint, (0, 0))
                totals[endpoint] = (running + load[0], tokens + load[1])
        return totals

    def wall_at(self, state: EntryState) -> float:
        """Returns this process's time of day when an entry last asked."""
        return self.wall() - (self.now() - state.seen_at)

    def member_addresses(self) -> list[str]:
        """Returns the link addresses of all members, own included."""
        known = self.member.replica.log.members.addresses.values()
        return sorted({self.member.address, *known})

    def _behind(self, revision: int) -> bool:
        return any(
            state.revision < revision for state in self.live_entries().values()
        )

    def _note(self, message: ttypes.Watch, revision: int) -> None:
        self.entries[message.entry, message.incarnation] = EntryState(
            message.incarnation,
            revision,
            compressed_json.decode(message.report),
            self.now(),
        )

    def _has_news(self, message: ttypes.Watch, revision: int) -> bool:
        tables = self.member.tables
        if message.session != self.session:
            return True
        if tables.routes_version > message.routes_version:
            return True
        return directories.has_news_since(self.directory, revision)

    def routes_part(self, message: ttypes.RoutesRequest) -> ttypes.RoutesPart:
        """Returns a part of the packed configuration of routes."""
        tables = self.member.tables
        if self.packed_version != tables.routes_version:
            self.packed_version = tables.routes_version
            self.packed_routes = compressed_json.encode(tables.routes)
        end = message.offset + ROUTES_PART_BYTES
        return ttypes.RoutesPart(
            version=self.packed_version,
            size=len(self.packed_routes),
            data=self.packed_routes[message.offset : end],
        )

    def _news(self, revision: int) -> dict[str, Any]:
        tables = self.member.tables
        known = self.known_entries()
        return {
            "routes_version": tables.routes_version,
            "endpoints": directories.since(self.directory, revision),
            "members": self.member_addresses(),
            "rollouts": tables.rollouts,
            "loads": self.loads(),
            "taken": self.taken(),
            "entries": len(known),
            "silent": len(known - self.live_entries().keys()),
            "wall": self.wall(),
            "term": self._deciding_term(),
            "refused": crashes.add_up(
                [report.get("deaths", {}) for report in self.reports()]
            ),
        }

    def _deciding_term(self) -> int:
        """Returns the term in which this member decides alone, or 0."""
        return self.member.replica.term if self.member.holds_lease else 0

    def _post_to_members(self, said: directories.Endpoint) -> None:
        payload = json.dumps(said).encode()
        message = ttypes.UpstreamNews(announcements=[payload])
        for address in self.member_addresses():
            if address != self.member.address:
                self.member.link_to(address).send_oneway(message)


def _newest(
    entries: dict[tuple[str, int], EntryState],
) -> dict[str, EntryState]:
    """Returns the state of each entry's newest incarnation, by id."""
    newest: dict[str, EntryState] = {}
    for (name, incarnation), state in entries.items():
        if name not in newest or newest[name].incarnation < incarnation:
            newest[name] = state
    return newest
