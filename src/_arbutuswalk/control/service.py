"""Handles the requests of entries and operators to a control process."""

import asyncio
import contextlib
import json
from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.base import settings
from _arbutuswalk.control import acknowledgements
from _arbutuswalk.control import departure_log
from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.control import evacuations
from _arbutuswalk.control import leases
from _arbutuswalk.control import member as members
from _arbutuswalk.control import permit_issuer
from _arbutuswalk.control import queries
from _arbutuswalk.control import slot_issuer
from _arbutuswalk.routing import directory
from _arbutuswalk.state import commands
from _arbutuswalk.state import entries
from _arbutuswalk.state import evacuations as evacuated
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import ledger
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import view
from _arbutuswalk.wire.gen.arbutus import ttypes

SUBMIT_TIMEOUT_S = 2.0
MAX_SYNC_WAIT_S = 0.5
MAX_READ_WAIT_S = 1.0
OK = ttypes.Status.OK


class Service:
    """Request handling of one control process.

    Attributes:
        member: The group member that processes the requests.
        leases: Leases of entries, reset whenever the term changes.
        name: Process id for the dump.
        discovery: Directory of endpoints and entries.
        permit_issuer: Issues permits for endpoints that state a limit.
        slot_issuer: Gives out the slots of brittle endpoints.
        listed_domains: Failure domains that the settings list.
        term: Term that the leases belong to.
        extra_dump: Returns further values for the dump.
    """

    def __init__(
        self,
        *,
        member: members.Member,
        name: str,
        discovery: discoveries.Discovery | None = None,
    ):
        self.member = member
        self.name = name
        self.discovery = discovery or discoveries.Discovery(member=member)
        self.slot_issuer = slot_issuer.SlotIssuer(discovery=self.discovery)
        self.permit_issuer = permit_issuer.PermitIssuer(
            discovery=self.discovery
        )
        self.leases = leases.Leases(leader_since=member.now())
        self.listed_domains: tuple[str, ...] = ()
        self.term = -1
        self.extra_dump = dict
        member.on_role_change = self._on_role_change

    def _on_role_change(self) -> None:
        if self.term != self.member.replica.term:
            self.term = self.member.replica.term
            self.leases = leases.Leases(leader_since=self.member.now())

    async def handle(self, message: object) -> object | None:
        """Handles one message from a link and returns the reply, if any."""
        if isinstance(message, ttypes.Submit):
            return await self._submit(message)
        if isinstance(message, ttypes.Sync):
            return await self._sync(message)
        if isinstance(message, ttypes.Read):
            return await self._read(message)
        if isinstance(message, ttypes.Watch):
            return await self.discovery.watch(message)
        if isinstance(message, ttypes.PermitRequest):
            return self.permit_issuer.issue(message)
        if isinstance(message, ttypes.SlotRequest):
            return await self.slot_issuer.handle(message)
        if isinstance(message, ttypes.RoutesRequest):
            return self.discovery.routes_part(message)
        if isinstance(message, ttypes.UpstreamNews):
            self._apply_announcements(message)
            return None
        if isinstance(message, ttypes.Dump):
            return ttypes.DumpReply(state=json.dumps(self.dump()).encode())
        self.member.receive(message)
        return None

    def _apply_announcements(self, message: ttypes.UpstreamNews) -> None:
        for data in message.announcements:
            endpoint = directory.decode(data)
            if isinstance(endpoint, str):
                events.record(events.Event.ENDPOINT_INVALID, "member", endpoint)
            else:
                self.discovery.apply_announcement(endpoint)

    async def _submit(self, message: ttypes.Submit) -> ttypes.SubmitReply:
        command = commands.decode(message.command)
        reason = _rejection_reason(command)
        if reason:
            return ttypes.SubmitReply(
                status=ttypes.Status.INVALID, reason=reason
            )
        outcome = await self.member.submit(
            message.command, timeout_s=SUBMIT_TIMEOUT_S
        )
        if isinstance(outcome, members.TooLarge):
            return ttypes.SubmitReply(
                status=ttypes.Status.INVALID,
                reason=f"command of {outcome.command_bytes} bytes",
            )
        if isinstance(outcome, members.NotLeader):
            return ttypes.SubmitReply(
                status=ttypes.Status.NOT_LEADER, leader=outcome.leader
            )
        if isinstance(outcome, members.Undecided):
            return ttypes.SubmitReply(
                status=ttypes.Status.UNAVAILABLE, reason=outcome.reason
            )
        if isinstance(command, commands.Apply):
            events.log(events.Event.CONFIG_ACCEPTED, outcome)
        evacuations.record_outcome(self.discovery, command, outcome)
        return ttypes.SubmitReply(status=OK, result=outcomes.encode(outcome))

    async def _sync(self, message: ttypes.Sync) -> ttypes.SyncReply:
        """Grants an entry a lease and returns the parts of the view it lacks.

        Waits a short time for a change, so that changes are pushed, unless the
        entry's lease is overdue: the entry counts it from when it sent the
        request, however long the reply takes.
        """
        member = self.member
        rejection = self._sync_rejection(message)
        if rejection is not None:
            return rejection
        is_overdue = self.leases.is_overdue(
            message, member.now(), 2 * MAX_SYNC_WAIT_S
        )
        self.leases.record_sync(message, member.now())
        if not is_overdue and not self._has_update_for(message):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_SYNC_WAIT_S):
                    await member.changed.wait()
        rejection = self._sync_rejection(message)
        if rejection is not None:
            return rejection
        self.leases.grant(message, member.now())
        parts = view.parts_since(member.tables, message.view_version)
        return ttypes.SyncReply(
            status=OK,
            lease_ms=int(leases.LEASE_S * 1000),
            view_version=view.version(member.tables),
            view=json.dumps(parts).encode(),
        )

    def _sync_rejection(self, message: ttypes.Sync) -> ttypes.SyncReply | None:
        """Returns the reply if no lease can be granted now, else None."""
        member = self.member
        if not member.is_leader:
            return ttypes.SyncReply(
                status=ttypes.Status.NOT_LEADER, leader=member.leader_address()
            )
        if not member.is_current:
            return ttypes.SyncReply(
                status=ttypes.Status.UNAVAILABLE, reason="no quorum"
            )
        row = member.tables.entries.get(message.entry)
        if row is None or row.incarnation != message.incarnation:
            return _invalid_sync("register first")
        if row.state == entries.GONE:
            return _invalid_sync("gone; register as a new incarnation")
        return None

    def _has_update_for(self, message: ttypes.Sync) -> bool:
        tables = self.member.tables
        return view.version(tables) > message.view_version

    async def _read(self, message: ttypes.Read) -> ttypes.ReadReply:
        if message.query == acknowledgements.QUERY:
            return await acknowledgements.answer(self.discovery, message)
        if not await self._wait_until_current():
            if not self.member.is_leader:
                leader = self.member.leader_address()
                return ttypes.ReadReply(
                    status=ttypes.Status.NOT_LEADER, leader=leader
                )
            return ttypes.ReadReply(
                status=ttypes.Status.UNAVAILABLE, reason="no quorum"
            )
        query = self._queries().get(message.query)
        if query is None:
            return ttypes.ReadReply(
                status=ttypes.Status.INVALID,
                reason=f"unknown query {message.query}",
            )
        result = query(message.argument or "")
        return ttypes.ReadReply(status=OK, result=json.dumps(result).encode())

    async def _wait_until_current(self) -> bool:
        deadline = self.member.now() + MAX_READ_WAIT_S
        while not self.member.is_current:
            if not self.member.is_leader or self.member.now() > deadline:
                return False
            await asyncio.sleep(members.TICK_INTERVAL_S)
        return True

    def _queries(self) -> dict[str, Any]:
        return {
            "status": self._status,
            "in_force": self._in_force,
            "moves": self._moves,
            "charges": self._charges,
            "entries": self._entries,
            "inventory": lambda _: self.member.tables.inventory,
            "call": self._call,
            "alone": self._is_idle,
            **queries.make_queries(self.member.tables, self.discovery),
            "evacuations": lambda _: evacuations.describe(
                self.discovery, self.listed_domains
            ),
            "replace": self._order_replacement,
        }

    def _status(self, _: str) -> dict[str, Any]:
        member, tables = self.member, self.member.tables
        log = member.replica.log
        present = {
            name: row._asdict()
            for name, row in tables.instances.items()
            if row.state != "gone"
        }
        return {
            "leader": member.address,
            "term": member.replica.term,
            "commit": member.replica.commit,
            "revision": tables.revision,
            "behind": self.leases.entries_behind(
                tables, tables.revision, member.now()
            ),
            "voters": [log.members.addresses[v] for v in log.members.voters],
            "voter_ids": list(log.members.voters),
            "learners": [
                log.members.addresses[v] for v in log.members.learners
            ],
            "versions": tables.versions,
            "instances": present,
            "evacuated": sorted(evacuated.evacuated_domains(tables)),
            "quarantined": len(tables.convicted),
            "history": [row._asdict() for row in tables.history[-10:]],
        }

    def _in_force(self, argument: str) -> dict[str, Any]:
        revision = int(argument) if argument.isdigit() else 0
        behind = self.leases.entries_behind(
            self.member.tables, revision, self.member.now()
        )
        accepted = self.member.tables.revision >= revision
        return {"in_force": accepted and not behind, "behind": behind}

    def _moves(self, _: str) -> dict[str, Any]:
        return {
            move: row._asdict()
            for move, row in self.member.tables.moves.items()
        }

    def _charges(self, _: str) -> dict[str, Any]:
        tables = self.member.tables
        return {
            "billed_micro": tables.billed_micro,
            "intervals": tables.intervals,
            "accounts": tables.charges,
        }

    def _entries(self, _: str) -> dict[str, Any]:
        return {
            entry: row._asdict()
            for entry, row in self.member.tables.entries.items()
        }

    def _call(self, argument: str) -> dict[str, Any]:
        workspace, _, key = argument.partition("\n")
        found = ledger.find(self.member.tables, workspace, key)
        return outcomes.to_json(found)

    def _is_idle(self, argument: str) -> dict[str, Any]:
        tables = self.member.tables
        return {"alone": self.leases.is_idle(tables, argument)}

    def _order_replacement(self, argument: str) -> dict[str, Any]:
        """Requests the replacement of the voter at an address."""
        replica = self.member.replica
        members = replica.log.members
        for voter in members.voters:
            if members.addresses[voter] == argument:
                replica.replacement_requested = voter
                note = f"{voter} is replaced once another member is ready"
                return {"ordered": True, "note": note}
        return {"ordered": False, "note": f"no voter at {argument}"}

    def dump(self) -> dict[str, Any]:
        """Returns the process's state as JSON values."""
        member = self.member
        replica = member.replica
        return {
            "role": "control",
            "id": self.name,
            "member": replica.member,
            "raft": {
                "role": replica.role.value,
                "term": replica.term,
                "leader": replica.leader,
                "commit": replica.commit,
                "applied": member.durable_replica.applied,
                "first": replica.log.snapshot_index + 1,
                "last": replica.log.last_index,
                "durable": replica.durable_index,
                "members": replica.log.members._asdict(),
                "lease": member.holds_lease,
            },
            "counts": member.durable_replica.counts,
            "grants": {
                f"{entry}/{incarnation}": [grant.revision, grant.synced_at]
                for (entry, incarnation), grant in self.leases.grants.items()
            },
            "tables": json.loads(_dump_tables(member)),
            **self.extra_dump(),
        }


def _dump_tables(member: members.Member) -> bytes:
    values = dict(vars(member.tables))
    values["calls"] = len(member.tables.calls)
    # Both contain the workspaces' keys.
    del values["routes"], values["routes_source"]
    return json.dumps(values).encode()


def _invalid_sync(reason: str) -> ttypes.SyncReply:
    return ttypes.SyncReply(status=ttypes.Status.INVALID, reason=reason)


def _rejection_reason(command: commands.Command | None) -> str:
    """Returns why a command must not be proposed, or an empty string."""
    if command is None:
        return "unknown command"
    if not isinstance(command, commands.Apply):
        return evacuations.find_problem(command) or departure_log.find_problem(
            command
        )
    if not isinstance(command.inventory, dict):
        return "inventory: not a table"
    checked = inventories.check(command.inventory, where="inventory")
    if isinstance(checked, settings.BadSettings):
        return "; ".join(checked.problems)
    return ""
