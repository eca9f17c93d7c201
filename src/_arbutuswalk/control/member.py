"""Runs one replica in a process: event loop, links and pending commands.

Messages that depend on durable state are sent only after that state is synced;
one sync covers everything that was queued during the previous one.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.agreement import lease
from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import presence
from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import types
from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.control import durable_replica as durable_replicas
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows
from _arbutuswalk.storage import errors
from _arbutuswalk.wire import codec
from _arbutuswalk.wire import link

TICK_INTERVAL_S = 0.02
HELLO_INTERVAL_S = 0.3
DISK_FULL_RETRY_INTERVAL_S = 0.25
"""Interval between attempts to write to a full disk."""
MAX_COMMAND_BYTES = codec.MAX_FRAME_BYTES - 64 * 1024
"""Size of a command that fits one frame with the other fields of a request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotLeader:
    """This member is not the leader; the command was not proposed.

    Attributes:
        leader: Address of the leader, if known.
    """

    leader: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Undecided:
    """Whether the command committed is unknown; the caller may retry it."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TooLarge:
    """The command does not fit a frame, so no other member could get it."""

    command_bytes: int


class PendingCommand(NamedTuple):
    """A proposed command and the future that receives its outcome."""

    term: int
    future: asyncio.Future


class Proposal(NamedTuple):
    """A command to propose.

    Attributes:
        command: The encoded command.
        term: Only term in which it may be proposed, None for any.
        future: Receives its outcome.
    """

    command: bytes
    term: int | None
    future: asyncio.Future


class Member:
    """One member of the control group.

    Attributes:
        durable_replica: Replica, disk and tables.
        pending: Proposed commands by log index.
        inbox: Messages from other members, in order of arrival.
        proposals: Commands to propose.
        links: Link to each address.
        changed: Set and replaced whenever the tables or the role change.
        failure: The storage error that stopped the member, if any.
        seeds: Addresses at which other members are looked for; the founding
            members are in ``durable_replica.identity`` and never change.
        on_role_change: Called when the role or term changes.
    """

    def __init__(
        self,
        *,
        durable_replica: durable_replicas.DurableReplica,
        now: clock.Clock = clock.monotonic,
        wall: clock.Clock = clock.wall,
    ):
        self.durable_replica = durable_replica
        self.now = now
        self.wall = wall
        self.pending: dict[int, PendingCommand] = {}
        self.inbox: list[object] = []
        self.proposals: list[Proposal] = []
        self.links: dict[str, link.Link] = {}
        self.changed = asyncio.Event()
        self.wake = asyncio.Event()
        self.failure: errors.StorageError | None = None
        self.next_hello_at = 0.0
        self.seeds = durable_replica.identity.peers
        self.on_role_change: Callable[[], None] = lambda: None

    @property
    def replica(self) -> replicas.Replica:
        """The consensus state of this member."""
        return self.durable_replica.replica

    @property
    def tables(self) -> rows.Tables:
        """State after all applied log entries."""
        return self.durable_replica.tables

    @property
    def address(self) -> str:
        """``IP:port`` that this member listens on."""
        return self.durable_replica.identity.address

    @property
    def is_leader(self) -> bool:
        """Whether this member leads its term."""
        return self.durable_replica.is_leader

    @property
    def holds_lease(self) -> bool:
        """Whether this member holds the leader lease at this moment."""
        return lease.holds(self.replica, self.now())

    @property
    def is_current(self) -> bool:
        """Whether the tables include everything committed before now."""
        return (
            self.holds_lease
            and self.durable_replica.applied >= self.replica.commit
        )

    @property
    def hears_majority(self) -> bool:
        """Whether this member is in contact with a majority of its group."""
        return lease.hears_majority(self.replica, self.now())

    def leader_address(self) -> str:
        """Returns the leader's address, or an empty string."""
        # One that is leaving may have removed itself already.
        return self._address_of(self.replica.leader)

    def is_current_in(self, term: int) -> bool:
        """Whether this member leads in ``term``, with up-to-date tables.

        What a leader decided in one term must not take effect in a later one,
        even if the same member leads it.
        """
        return self.is_current and self.replica.term == term

    async def submit(
        self, command: bytes, *, timeout_s: float, term: int | None = None
    ) -> outcomes.Outcome | NotLeader | Undecided | TooLarge:
        """Commits an encoded command and returns its outcome.

        Args:
            command: The encoded command.
            timeout_s: Time within which it has to commit.
            term: Term of the leader that decided it; it is not proposed in
                another one. None if it holds in any term.
        """
        if len(command) > MAX_COMMAND_BYTES:
            return TooLarge(command_bytes=len(command))
        if not self._may_propose(term):
            return NotLeader(leader=self.leader_address())
        future = asyncio.get_running_loop().create_future()
        self.proposals.append(Proposal(command, term, future))
        self.wake.set()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return Undecided(reason=f"not committed within {timeout_s} s")

    async def leave(self, *, timeout_s: float) -> None:
        """Waits until another member has replaced this one, if one can.

        A member that ends without it leaves its group without one voter until
        the others have noticed.
        """
        self.replica.leaving = True
        self.next_hello_at = 0.0
        self.wake.set()
        deadline = self.now() + timeout_s
        while self.failure is None and self.now() < deadline:
            if membership.may_leave(self.replica, self.now()):
                return
            await asyncio.sleep(TICK_INTERVAL_S)

    def receive(self, message: object) -> None:
        """Queues a message from another member."""
        self.inbox.append(message)
        self.wake.set()

    async def run(self) -> None:
        """Runs until cancelled, or until storage fails."""
        role = None
        while self.failure is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self.wake.wait()
            self.wake.clear()
            self._step()
            await self._persist_and_send()
            await self._apply_committed()
            if role != (self.replica.role, self.replica.term):
                role = (self.replica.role, self.replica.term)
                self._role_changed()
        text = errors.describe(self.failure)
        events.warn(events.Event.STORAGE_FAILED, text)
        self._fail_pending("storage failed")

    def _step(self) -> None:
        now = self.now()
        proposals, self.proposals = self.proposals, []
        for proposal in proposals:
            self._propose(proposal, now)
        inbox, self.inbox = self.inbox, []
        self.durable_replica.step(inbox, now)
        if now >= self.next_hello_at:
            self.next_hello_at = now + HELLO_INTERVAL_S
            self._send_hello()

    def _may_propose(self, term: int | None) -> bool:
        return self.is_leader and term in (None, self.replica.term)

    def _propose(self, proposal: Proposal, now: float) -> None:
        future = proposal.future
        if future.done():
            return
        index = None
        if self._may_propose(proposal.term):
            at_ms = int(self.wall() * clock.MS_PER_S)
            index = self.durable_replica.propose(proposal.command, now, at_ms)
        if index is None:
            future.set_result(NotLeader(leader=self.leader_address()))
        else:
            self.pending[index] = PendingCommand(self.replica.term, future)

    async def _persist_and_send(self) -> None:
        """Sends early messages, persists the round, then sends late ones."""
        ready = self.durable_replica.take_ready()
        self._send(ready.early)
        unsaved = ready.snapshot or ready.vote or ready.entries
        if unsaved or ready.commit is not None:
            loop = asyncio.get_running_loop()
            self.failure = await loop.run_in_executor(
                None, self.durable_replica.persist, ready
            )
            while isinstance(self.failure, errors.DiskFull):
                self.failure = await self._persist_again(ready)
            if self.failure is not None:
                return
            self.durable_replica.saved(ready)
        self._send(ready.late)

    async def _persist_again(
        self, ready: types.Ready
    ) -> errors.StorageError | None:
        """Retries a write to a full disk; no late messages are sent meanwhile.

        The process keeps running: after a restart it would find the disk full
        again.
        """
        events.record(events.Event.DISK_REFUSED, errors.describe(self.failure))
        await asyncio.sleep(DISK_FULL_RETRY_INTERVAL_S)
        self._discard_input()
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            None, self.durable_replica.persist, ready
        )

    def _discard_input(self) -> None:
        """Drops messages and refuses proposals, so that they do not pile up.

        Other members send again what still matters.
        """
        self.inbox.clear()
        proposals, self.proposals = self.proposals, []
        for proposal in proposals:
            if not proposal.future.done():
                proposal.future.set_result(NotLeader(leader=""))

    async def _apply_committed(self) -> None:
        before = self.durable_replica.applied
        while self.failure is None:
            applied = self.durable_replica.apply_next()
            if applied is None:
                break
            self._resolve_pending(applied)
            await self._snapshot_if_due()
        if self.durable_replica.applied != before:
            self._notify_changed()

    def _resolve_pending(self, applied: durable_replicas.Applied) -> None:
        pending = self.pending.pop(applied.index, None)
        if pending is None or pending.future.done():
            return
        if pending.term == applied.term and applied.outcome is not None:
            pending.future.set_result(applied.outcome)
        else:
            reason = "another leader's entry took its place"
            pending.future.set_result(Undecided(reason=reason))

    async def _snapshot_if_due(self) -> None:
        snapshot = self.durable_replica.due_snapshot()
        if snapshot is None:
            return
        loop = asyncio.get_running_loop()
        failure = await loop.run_in_executor(
            None, self.durable_replica.wal.save_snapshot, snapshot
        )
        if isinstance(failure, errors.DiskFull):
            # The log still holds all entries; a later snapshot replaces this.
            events.record(events.Event.DISK_REFUSED, errors.describe(failure))
            return
        self.failure = failure
        if failure is None:
            self.durable_replica.keep_snapshot(snapshot)

    def _notify_changed(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _role_changed(self) -> None:
        replica = self.replica
        events.log(
            events.Event.TERM_CHANGED,
            replica.term,
            replica.role.value,
            replica.leader,
        )
        if not self.is_leader:
            self._fail_pending("this member no longer leads")
        self.on_role_change()
        self._notify_changed()

    def _fail_pending(self, reason: str) -> None:
        pending, self.pending = self.pending, {}
        for item in pending.values():
            if not item.future.done():
                item.future.set_result(Undecided(reason=reason))

    def _send(self, outgoing: list[types.Outgoing]) -> None:
        for item in outgoing:
            address = self._address_of(item.to)
            if address:
                self.link_to(address).send_oneway(item.message)

    def _address_of(self, member: str) -> str:
        seen = self.replica.seen_members.get(member)
        if seen is not None:
            return seen.address
        return self.replica.log.members.addresses.get(member, "")

    def link_to(self, address: str) -> link.Link:
        """Returns the link to an address, creating it on first use."""
        found = self.links.get(address)
        if found is None:
            found = link.Link(address=address, now=self.now)
            self.links[address] = found
        return found

    def _send_hello(self) -> None:
        message = presence.hello(self.replica)
        greeted = presence.greeted(self.replica, self.now())
        for address in (greeted | {*self.seeds}) - {self.address}:
            self.link_to(address).send_oneway(message)

    async def stop(self) -> None:
        """Closes links and files."""
        for open_link in self.links.values():
            await open_link.stop()
        self.durable_replica.data.close()
