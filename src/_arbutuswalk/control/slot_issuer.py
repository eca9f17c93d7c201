"""Gives out the slots of brittle endpoints to all entries."""

import asyncio
from typing import NamedTuple

from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import entry_reports
from _arbutuswalk.limits import slots
from _arbutuswalk.routing import leaving
from _arbutuswalk.wire import slot_messages
from _arbutuswalk.wire.gen.arbutus import ttypes

MAX_WAIT_S = 0.5
"""Longest time for which an entry is kept waiting for a slot."""
RECHECK_INTERVAL_S = 0.05
"""Time after which waiting entries are considered again: leases expire and
rejections lie back without a message."""
MAX_SETTLING_S = 1.0
"""Time from the first message of a term in which reports of all entries are
awaited, of what they sent before: two watches."""
BOOK_RETENTION_S = 20.0
"""Time without a request for its slots after which an endpoint is forgotten."""
OTHER_LEADER = "other leader"


class Waiter(NamedTuple):
    """An entry that waits for a slot; the future has the endpoint's id."""

    entry: str
    ask: slot_messages.Ask
    granted: asyncio.Future[str]


class SlotIssuer:
    """Slots that a leader has given out.

    Attributes:
        discovery: Endpoints and entries known to this process.
        books: Slots by start of a brittle endpoint.
        starts: Start of the endpoint of each lease.
        incarnations: Incarnation of each entry that has asked.
        waiters: Waiting entries by lease id, the first first.
        reported: Requests in progress as entries report them, by endpoint id
            and entry.
        term: Term that all this belongs to.
        term_since: When the first message of the term came, in seconds.
    """

    def __init__(self, *, discovery: discoveries.Discovery):
        self.discovery = discovery
        self.books: dict[leaving.Start, slots.SlotBook] = {}
        self.starts: dict[str, leaving.Start] = {}
        self.incarnations: dict[str, int] = {}
        self.waiters: dict[str, Waiter] = {}
        self.reported = entry_reports.SharedValue()
        self.term = -1
        self.term_since = 0.0

    async def handle(self, message: ttypes.SlotRequest) -> ttypes.SlotReply:
        """Records ends of slots, and gives one out if the message asks."""
        if not self._is_leader():
            return _reply("", status=ttypes.Status.NOT_LEADER)
        content = slot_messages.decode(message.content)
        self._record_incarnation(message.entry, message.incarnation)
        self._record(message.entry, content)
        full = self._serve_waiters()
        if content.ask is None:
            return _reply("")
        endpoint_id = self._try_grant(message.entry, content.ask, full)
        if not endpoint_id:
            endpoint_id = await self._wait(message.entry, content.ask)
        if endpoint_id == OTHER_LEADER:
            return _reply("", status=ttypes.Status.NOT_LEADER)
        outcome = "Granted" if endpoint_id else "Denied"
        self.discovery.metrics.count("slots", f'outcome="{outcome}"')
        return _reply(endpoint_id)

    def remove_unused(self) -> None:
        """Forgets endpoints whose slots nobody asks for any more."""
        now = self.discovery.now()
        for start, book in list(self.books.items()):
            if now - book.used_at > BOOK_RETENTION_S and not book.leases:
                del self.books[start]
        self.starts = {
            lease_id: start
            for lease_id, start in self.starts.items()
            if start in self.books and lease_id in self.books[start].leases
        }

    def _is_leader(self) -> bool:
        """Returns whether this process leads; a new term begins with nothing.

        What was given out before, entries report as sent without a lease.
        """
        member = self.discovery.member
        is_leader = member.holds_lease
        if not is_leader or self.term != member.replica.term:
            self.term = member.replica.term if is_leader else -1
            self.term_since = self.discovery.now()
            self.books.clear()
            self.starts.clear()
            for waiter in self.waiters.values():
                if not waiter.granted.done():
                    waiter.granted.set_result(OTHER_LEADER)
            self.waiters.clear()
        return is_leader

    def _record_incarnation(self, entry: str, incarnation: int) -> None:
        known = self.incarnations.get(entry, incarnation)
        self.incarnations[entry] = incarnation
        if known != incarnation:
            for book in self.books.values():
                book.remove_entry(entry)

    def _record(self, entry: str, content: slot_messages.Content) -> None:
        now = self.discovery.now()
        for row in content.unleased:
            book = self.books.get(leaving.Start(row.endpoint_id, row.born_ms))
            if book is not None:
                book.record_unleased(entry, row.count)
        if content.ask is not None:
            self._record_candidates(entry, content, now)
        for row in content.ended:
            waiter = self.waiters.pop(row.lease_id, None)
            if waiter is not None and not waiter.granted.done():
                waiter.granted.set_result("")
            start = self.starts.pop(row.lease_id, None) or leaving.Start(
                row.endpoint_id, row.born_ms
            )
            book = self.books.get(start)
            if book is None:
                continue
            book.end(row.lease_id, row.linger_s, now)
            if row.rejected:
                book.record_rejection(self._reported(start), now)
                self.discovery.metrics.count("slot_rejections")

    def _record_candidates(
        self, entry: str, content: slot_messages.Content, now: float
    ) -> None:
        unleased = {
            (row.endpoint_id, row.born_ms): row.count
            for row in content.unleased
        }
        for row in content.ask.candidates:
            start = leaving.Start(row.endpoint_id, row.born_ms)
            book = self.books.get(start)
            if book is None:
                book = self.books[start] = slots.SlotBook(
                    slots=row.slots,
                    rejections_per_s=row.rejections_per_s,
                    now=now,
                )
                self._inherit(start, book)
            book.used_at = now
            book.rejections_per_s = row.rejections_per_s
            book.record_unleased(entry, unleased.get(start, 0))

    def _inherit(self, start: leaving.Start, book: slots.SlotBook) -> None:
        rows = self.discovery.directory.rows
        row = rows.get(start.endpoint_id)
        for other_start, other in self.books.items():
            other_row = rows.get(other_start.endpoint_id)
            if (
                row is not None
                and other_row is not None
                and row.endpoint.upstream == other_row.endpoint.upstream
            ):
                book.inherit(other)

    def _try_grant(
        self, entry: str, ask: slot_messages.Ask, full: set[leaving.Start]
    ) -> str:
        """Gives out a slot of the preferred or else the least loaded endpoint.

        Args:
            entry: Entry that asks.
            ask: What it asks for.
            full: Endpoints that have no room, to which it may add the one.

        Returns:
            The endpoint's id, empty without a slot.
        """
        now = self.discovery.now()
        best: tuple[float, leaving.Start] | None = None
        for row in ask.candidates:
            start = leaving.Start(row.endpoint_id, row.born_ms)
            book = self.books.get(start)
            if start in full or book is None:
                continue
            load = book.occupied(self._reported(start), now) / book.slots
            if best is None or load < best[0]:
                best = load, start
            if row is ask.candidates[0]:
                break
        if best is None:
            return ""
        start = best[1]
        book = self.books[start]
        book.grant(ask.lease_id, entry, ask.lease_s, self._reported(start), now)
        self.starts[ask.lease_id] = start
        if not book.has_room(self._reported(start), now):
            full.add(start)
        return start.endpoint_id

    def _serve_waiters(self) -> set[leaving.Start]:
        """Serves waiting entries; returns endpoints that have no room."""
        now, knows_loads = self.discovery.now(), self._knows_loads()
        full = {
            start
            for start, book in self.books.items()
            if not knows_loads or not book.has_room(self._reported(start), now)
        }
        if len(full) == len(self.books):
            return full
        for lease_id, waiter in list(self.waiters.items()):
            endpoint_id = self._try_grant(waiter.entry, waiter.ask, full)
            if endpoint_id:
                del self.waiters[lease_id]
                waiter.granted.set_result(endpoint_id)
        return full

    async def _wait(self, entry: str, ask: slot_messages.Ask) -> str:
        now = self.discovery.now()
        deadline = now + min(MAX_WAIT_S, ask.max_wait_s)
        granted = asyncio.get_running_loop().create_future()
        self.waiters[ask.lease_id] = Waiter(entry, ask, granted)
        try:
            while not granted.done():
                left_s = deadline - self.discovery.now()
                if left_s <= 0:
                    break
                await asyncio.wait(
                    {granted}, timeout=min(left_s, RECHECK_INTERVAL_S)
                )
                if not granted.done() and self._is_leader():
                    self._serve_waiters()
        finally:
            self.waiters.pop(ask.lease_id, None)
        return granted.result() if granted.done() else ""

    def _knows_loads(self) -> bool:
        """Returns whether entries have reported what was sent before."""
        now = self.discovery.now()
        if now - self.term_since > MAX_SETTLING_S:
            return True
        return all(
            entry.last_watch_at > self.term_since
            for entry in self.discovery.reachable_entries().values()
        )

    def _reported(self, start: leaving.Start) -> dict[str, int]:
        """Returns the requests in progress at an endpoint by entry."""
        loads = entry_reports.shared(
            self.reported,
            float("-inf"),
            self.discovery.now(),
            self._collect_loads,
        )
        return loads.get(start.endpoint_id, {})

    def _collect_loads(self) -> dict[str, dict[str, int]]:
        loads: dict[str, dict[str, int]] = {}
        for name, entry in self.discovery.reachable_entries().items():
            for endpoint_id, load in entry.report.get("loads", {}).items():
                loads.setdefault(endpoint_id, {})[name] = load[0]
        return loads


def _reply(
    endpoint_id: str, *, status: int = ttypes.Status.OK
) -> ttypes.SlotReply:
    return ttypes.SlotReply(status=status, endpoint=endpoint_id)
