"""Runs one replica in a process: event loop, links, waiting callers.

Everything the replica promises goes out only after it is synced; one sync
covers all that queued up during the one before.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import NamedTuple

from _arbutuswalk.agreement import lease
from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import replica as replicas
from _arbutuswalk.agreement import types
from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.control import replicated
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import tables as rows
from _arbutuswalk.storage import errors
from _arbutuswalk.wire import link

TICK_S = 0.02
HELLO_S = 0.3
DISK_FULL_PAUSE_S = 0.25
"""Pause between two tries to write to a full disk."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotLeader:
    """This member does not lead; nothing was done.

    Attributes:
        leader: Address of the leader, if known.
    """

    leader: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Undecided:
    """The command may or may not be committed; send the same one again."""

    reason: str


class Waiting(NamedTuple):
    """A proposed command and who waits for its outcome."""

    term: int
    future: asyncio.Future


class Member:
    """One member of the control group.

    Attributes:
        core: Replica, disk and tables.
        waiting: Proposed commands by log index.
        inbox: Messages from other members, in order of arrival.
        proposals: Commands to propose, with their futures.
        links: Link to each address.
        changed: Set and replaced whenever the tables or the role change.
        failure: Why storage made the member stop.
        seeds: Addresses at which other members are looked for; those that
            found the group are in ``core.identity`` and never change.
        on_role: Called when role or term change.
    """

    def __init__(
        self,
        *,
        core: replicated.Replicated,
        now: clock.Clock = clock.monotonic,
        wall: clock.Clock = clock.wall,
    ):
        self.core = core
        self.now = now
        self.wall = wall
        self.waiting: dict[int, Waiting] = {}
        self.inbox: list[object] = []
        self.proposals: list[tuple[bytes, asyncio.Future]] = []
        self.links: dict[str, link.Link] = {}
        self.changed = asyncio.Event()
        self.wake = asyncio.Event()
        self.failure: errors.StorageError | None = None
        self.hello_at = 0.0
        self.seeds = core.identity.peers
        self.on_role: Callable[[], None] = lambda: None

    @property
    def replica(self) -> replicas.Replica:
        """The replica."""
        return self.core.replica

    @property
    def tables(self) -> rows.Tables:
        """State after all applied entries."""
        return self.core.tables

    @property
    def address(self) -> str:
        """``IP:port`` it listens on."""
        return self.core.identity.address

    @property
    def is_leader(self) -> bool:
        """Whether this member leads its term."""
        return self.core.is_leader

    @property
    def holds_lease(self) -> bool:
        """Whether this member may answer and order alone right now."""
        return lease.holds(self.replica, self.now())

    @property
    def is_current(self) -> bool:
        """Whether the tables hold all that was committed before now."""
        return self.holds_lease and self.core.applied >= self.replica.commit

    def leader_address(self) -> str:
        """Returns the leader's address, or an empty string."""
        members = self.replica.log.members
        return members.addresses.get(self.replica.leader, "")

    async def submit(
        self, command: bytes, *, timeout_s: float
    ) -> outcomes.Outcome | NotLeader | Undecided:
        """Commits an encoded command and returns its outcome."""
        if not self.is_leader:
            return NotLeader(leader=self.leader_address())
        future = asyncio.get_running_loop().create_future()
        self.proposals.append((command, future))
        self.wake.set()
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return Undecided(reason=f"not committed within {timeout_s} s")

    def receive(self, message: object) -> None:
        """Queues a message from another member."""
        self.inbox.append(message)
        self.wake.set()

    async def run(self) -> None:
        """Runs until cancelled, or until storage fails."""
        role = None
        while self.failure is None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), TICK_S)
            self.wake.clear()
            self._step()
            await self._flush()
            await self._apply_committed()
            if role != (self.replica.role, self.replica.term):
                role = (self.replica.role, self.replica.term)
                self._role_changed()
        text = errors.describe(self.failure)
        events.warn(events.Event.STORAGE_FAILED, text)
        self._fail_waiting("storage failed")

    def _step(self) -> None:
        now = self.now()
        proposals, self.proposals = self.proposals, []
        for command, future in proposals:
            self._propose(command, future, now)
        inbox, self.inbox = self.inbox, []
        self.core.step(inbox, now)
        if now >= self.hello_at:
            self.hello_at = now + HELLO_S
            self._say_hello()

    def _propose(
        self, command: bytes, future: asyncio.Future, now: float
    ) -> None:
        if future.done():
            return
        at_ms = int(self.wall() * clock.MS_PER_S)
        index = self.core.propose(command, now, at_ms)
        if index is None:
            future.set_result(NotLeader(leader=self.leader_address()))
        else:
            self.waiting[index] = Waiting(self.replica.term, future)

    async def _flush(self) -> None:
        """Sends what may go, makes the rest durable, sends that too."""
        ready = self.core.take()
        self._send(ready.early)
        unsaved = ready.snapshot or ready.vote or ready.entries
        if unsaved or ready.commit is not None:
            loop = asyncio.get_running_loop()
            self.failure = await loop.run_in_executor(
                None, self.core.persist, ready
            )
            while isinstance(self.failure, errors.DiskFull):
                self.failure = await self._persist_again(ready)
            if self.failure is not None:
                return
            self.core.saved(ready)
        self._send(ready.late)

    async def _persist_again(
        self, ready: types.Ready
    ) -> errors.StorageError | None:
        """Tries a full disk again; meanwhile nothing is promised.

        Ending the process would help nobody: it would find the disk full.
        """
        events.record(events.Event.DISK_REFUSED, errors.describe(self.failure))
        await asyncio.sleep(DISK_FULL_PAUSE_S)
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, self.core.persist, ready)

    async def _apply_committed(self) -> None:
        before = self.core.applied
        while self.failure is None:
            applied = self.core.apply_next()
            if applied is None:
                break
            self._answer(applied)
            await self._snapshot_if_due()
        if self.core.applied != before:
            self._notify()

    def _answer(self, applied: replicated.Applied) -> None:
        waiting = self.waiting.pop(applied.index, None)
        if waiting is None or waiting.future.done():
            return
        if waiting.term == applied.term and applied.outcome is not None:
            waiting.future.set_result(applied.outcome)
        else:
            reason = "another leader's entry took its place"
            waiting.future.set_result(Undecided(reason=reason))

    async def _snapshot_if_due(self) -> None:
        made = self.core.due_snapshot()
        if made is None:
            return
        loop = asyncio.get_running_loop()
        self.failure = await loop.run_in_executor(
            None, self.core.wal.save_snapshot, made
        )
        if self.failure is None:
            self.core.keep_snapshot(made)

    def _notify(self) -> None:
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
            self._fail_waiting("this member no longer leads")
        self.on_role()
        self._notify()

    def _fail_waiting(self, reason: str) -> None:
        waiting, self.waiting = self.waiting, {}
        for item in waiting.values():
            if not item.future.done():
                item.future.set_result(Undecided(reason=reason))

    def _send(self, outgoing: list[types.Outgoing]) -> None:
        for out in outgoing:
            address = self._address_of(out.to)
            if address:
                self.link_to(address).send_oneway(out.message)

    def _address_of(self, member: str) -> str:
        seen = self.replica.seen_members.get(member)
        if seen is not None:
            return seen.address
        return self.replica.log.members.addresses.get(member, "")

    def link_to(self, address: str) -> link.Link:
        """Returns the link to an address, made on first use."""
        found = self.links.get(address)
        if found is None:
            found = link.Link(address=address, now=self.now)
            self.links[address] = found
        return found

    def _say_hello(self) -> None:
        message = membership.hello(self.replica)
        greeted = membership.greeted(self.replica, self.now())
        for address in (greeted | {*self.seeds}) - {self.address}:
            self.link_to(address).send_oneway(message)

    async def stop(self) -> None:
        """Closes links and files."""
        for each in self.links.values():
            await each.stop()
        self.core.data.close()
