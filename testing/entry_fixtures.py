"""Entries with a fake control group and fake upstreams, on virtual time."""

import asyncio
import json

import virtual

from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import entry_state
from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import ledger
from _arbutuswalk.state import outcomes
from _arbutuswalk.state import state_machine
from _arbutuswalk.state import tables as state_tables
from _arbutuswalk.state import view
from _arbutuswalk.wire import link

ENTRY_SETTINGS = {
    "address": "127.0.0.1:1",
    "link_address": "127.0.0.1:2",
    "domain": "d1",
    "region": "local",
    "weight": 1,
    "control": ["127.0.0.1:3"],
    "connect_s": 1.0,
    "first_byte_s": 10.0,
    "gap_s": 2.0,
    "service_timeout_s": 5.0,
    "resume_grace_s": 5.0,
}

INVENTORY = inventories.check(
    {
        "domains": ["d1", "d2"],
        "classes": [{"name": "c", "slots": 4}],
        "workspaces": [
            {"name": "w", "token_sha256": inventories.sha256_hex("t")},
            {"name": "big", "token_sha256": inventories.sha256_hex("b")},
        ],
        "upstreams": [
            {
                "name": "model",
                "kind": "model",
                "owner": "w",
                "version": "v1",
                "domains": ["d1"],
                "classes": ["c"],
            },
            {
                "name": "claims",
                "kind": "service",
                "owner": "w",
                "version": "v1",
                "domains": ["d1"],
                "classes": ["c"],
                "routes": [
                    {
                        "name": "claim",
                        "path": "/claims",
                        "methods": ["POST"],
                        "repeatable": False,
                        "status": "/status/{key}",
                    },
                    {
                        "name": "lots",
                        "path": "/lots/*",
                        "methods": ["GET"],
                        "repeatable": True,
                    },
                ],
            },
        ],
    },
    where="test",
)


class Control:
    """A control group that consists of its tables, behind an unreliable link.

    Attributes:
        tables: The replicated tables.
        modes: Possible outcomes of a command: ``ok``, ``lost`` (not committed),
            ``deaf`` (committed, answer lost) or ``late`` (committed after the
            sender timed out).
        entry_reports: Index and occupied upstreams that an entry last
            reported, by entry.
    """

    def __init__(self, loop, rng):
        self.loop = loop
        self.rng = rng
        self.tables = state_tables.Tables()
        self.index = 0
        self.modes = ["ok"]
        self.entry_reports = {}

    def is_idle(self, upstream):
        """Returns whether all entries report a reserved upstream as idle."""
        isolation = self.tables.isolations.get(upstream)
        return isolation is not None and all(
            version >= isolation.index and upstream not in active
            for version, active in self.entry_reports.values()
        )

    def commit(self, command):
        self.index += 1
        at_ms = int(self.loop.time() * 1000)
        payload = state_machine.stamp(command, at_ms)
        outcome = state_machine.apply(self.tables, payload, self.index)
        # Loading the dump must restore the same tables, as after a restart.
        dump = state_machine.dump(self.tables)
        assert state_machine.dump(state_machine.load(dump)) == dump
        return outcome

    def client(self):
        return Client(self)


class Client:
    """An entry's client of the fake control group."""

    def __init__(self, control):
        self.control = control
        self.relay_addresses = []

    async def submit(self, command, *, timeout_s):
        control = self.control
        mode = control.rng.choice(control.modes)
        await asyncio.sleep(0.002)
        if mode == "ok":
            return control.commit(command)
        if mode == "deaf":
            control.commit(command)
        if mode == "late":
            control.loop.call_later(
                timeout_s + control.rng.random() * 3, control.commit, command
            )
        await asyncio.sleep(max(0.0, timeout_s))
        return control_client.Unreachable(reason=mode)

    async def read(self, query, argument="", *, timeout_s):
        if query == "alone":
            await asyncio.sleep(0.002)
            return {"alone": self.control.is_idle(argument)}
        assert query == "call"
        await asyncio.sleep(0.002)
        if self.control.rng.choice(self.control.modes) == "lost":
            await asyncio.sleep(timeout_s)
            return control_client.Unreachable(reason="lost")
        workspace, _, key = argument.partition("\n")
        call = ledger.find(self.control.tables, workspace, key)
        return outcomes.to_json(call)


class UnreachableLink:
    """A link to another entry that never connects."""

    address = "127.0.0.1:2"

    async def open(self):
        return link.LinkDown(reason="deaf", possibly_sent=False)

    async def call(self, message, *, timeout_s):
        return link.LinkDown(reason="deaf", possibly_sent=False)

    def send_oneway(self, message):
        return False


def make_entry(loop, control, name, incarnation=1):
    """Returns an entry with a registration, a lease and a configuration."""
    entry = entry_state.Entry(
        settings={**ENTRY_SETTINGS, "id": name},
        incarnation=incarnation,
        session=None,
        now=loop.time,
        wall=loop.time,
    )
    entry.control = control.client()
    entry.link_to = lambda address: UnreachableLink()
    control.commit(
        commands.RegisterEntry(
            name, incarnation, "127.0.0.1:1", "127.0.0.1:2", "d1", 1, "local"
        )
    )
    refresh(entry, control)
    return entry


def refresh(entry, control):
    """Updates an entry's view and grants it a lease without end."""
    if control.tables.revision == 0:
        control.commit(commands.Apply("op", "test", 0, INVENTORY))
    entry.view = json.loads(json.dumps(view.parts_since(control.tables, -1)))
    entry.lease_expires_at = float("inf")
    entry.registered = True


def make_announcement(identity, upstream, **extra):
    """Returns an announcement of an upstream; ``extra`` overrides fields."""
    return {
        "id": identity,
        "incarnation": 1,
        "sequence": 1,
        "address": "127.0.0.1:9",
        "upstream": upstream,
        "version": "v1",
        "instance": f"i-{identity}",
        "domain": "d1",
        "instance_class": "c",
        "role": "mixed",
        "adapters": [],
        "slots": 4,
        "running": 0,
        "cache_tokens": 4096,
        "fence": 0,
        "leaving": False,
        "leave_in_s": 0.0,
        "echo": True,
        **extra,
    }


__all__ = [
    "Client",
    "Control",
    "make_entry",
    "refresh",
    "make_announcement",
    "virtual",
]
