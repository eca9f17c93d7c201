"""Leases of entries that lose the leader, on virtual time."""

import asyncio
import functools

import entry_fixtures
import pytest
import virtual

from _arbutuswalk.control import leases
from _arbutuswalk.control import service
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import control_sync
from _arbutuswalk.entry import link_handler
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

CONTROL_ADDRESSES = ["127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"]
ENTRY_ADDRESSES = ["127.0.0.1:21", "127.0.0.1:22"]
DELAY_S = 0.001
ELECTION_S = 1.2
"""Longest election timeout of the default settings."""
WATCH_S, SAMPLE_INTERVAL_S = 6.0, 0.01


class Group:
    """Control processes whose leader freezes, and entries that sync.

    Attributes:
        leader: Address of the leader that the followers name.
        frozen: Address of the frozen process, if any.
        cut_links: Pairs of an entry and an address that it cannot reach.
    """

    def __init__(self, leader):
        self.loop = virtual.VirtualLoop()
        self.leader = leader
        self.frozen = ""
        self.cut_links = set()
        control = entry_fixtures.Control(self.loop, rng=None)
        self.entries = {
            address: entry_fixtures.make_entry(self.loop, control, name)
            for address, name in zip(ENTRY_ADDRESSES, "ab", strict=True)
        }
        for address, entry in self.entries.items():
            entry.control = control_client.ControlClient(
                addresses=CONTROL_ADDRESSES, now=self.loop.time
            )
            entry.control.relay_addresses = [
                peer for peer in ENTRY_ADDRESSES if peer != address
            ]
            entry.control.link_to = functools.partial(
                GroupLink, self, entry.name
            )
            entry.registered = True

    async def handle(self, address, message):
        if address in self.entries:
            handler = link_handler.make_handler(self.entries[address])
            return await handler(message)
        if address == self.frozen:
            await asyncio.sleep(3600)
        if address != self.leader:
            return ttypes.SyncReply(
                status=ttypes.Status.NOT_LEADER, leader=self.leader
            )
        await asyncio.sleep(service.MAX_SYNC_WAIT_S)
        return ttypes.SyncReply(
            status=ttypes.Status.OK,
            lease_ms=int(leases.LEASE_S * 1000),
            view_version=message.view_version,
            view=b"{}",
        )

    def freeze_leader(self):
        """Freezes the leader; the next is elected after ``ELECTION_S``."""
        self.frozen = self.leader
        rotation = CONTROL_ADDRESSES * 2
        successor = rotation[rotation.index(self.leader) + 1]
        self.loop.call_later(ELECTION_S, setattr, self, "leader", successor)

    async def _lost_leases(self, at_s, disturb):
        tasks = [
            asyncio.ensure_future(control_sync.run(entry))
            for entry in self.entries.values()
        ]
        await asyncio.sleep(at_s)
        disturb()
        lost = set()
        for _ in range(int(WATCH_S / SAMPLE_INTERVAL_S)):
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            lost |= {
                e.name for e in self.entries.values() if not e.accepts_work
            }
        for task in tasks:
            task.cancel()
        return lost

    def lost_leases(self, at_s, disturb):
        """Returns the entries that lose their leases after ``disturb``."""
        try:
            return self.loop.run_until_complete(
                self._lost_leases(at_s, disturb)
            )
        finally:
            virtual.close(self.loop)


class GroupLink:
    """A link to a process of the group."""

    def __init__(self, group, entry, address):
        self.group = group
        self.entry = entry
        self.address = address

    async def call(self, message, *, timeout_s):
        if (self.entry, self.address) in self.group.cut_links:
            await asyncio.sleep(link.CONNECT_TIMEOUTS_S[0])
            return link.LinkDown(reason="cut", possibly_sent=False)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(DELAY_S)
                reply = await self.group.handle(self.address, message)
                await asyncio.sleep(DELAY_S)
                return reply
        except TimeoutError:
            return link.TimedOut(after_s=timeout_s)

    def close(self, reason):
        pass


@pytest.mark.parametrize("leader", CONTROL_ADDRESSES)
@pytest.mark.parametrize("at_s", [1.0 + i / 10 for i in range(6)])
class TestLeases:
    def test_frozen_leader_costs_none_once_the_next_is_elected(
        self, leader, at_s
    ):
        group = Group(leader)
        assert group.lost_leases(at_s, group.freeze_leader) == set()

    def test_entry_that_cannot_reach_the_leader_relays(self, leader, at_s):
        group = Group(leader)

        def cut_link():
            group.cut_links.add(("a", leader))

        assert group.lost_leases(at_s, cut_link) == set()
