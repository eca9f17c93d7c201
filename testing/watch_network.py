"""Entries that watch a control process over a simulated network."""

import asyncio

import relay_fixtures
import test_duties

from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.relay import control_watch
from _arbutuswalk.wire import codec
from _arbutuswalk.wire import link
from _arbutuswalk.wire import sockets
from _arbutuswalk.wire.gen.arbutus import ttypes

CONTROL_ADDRESS = "127.0.0.1:1"
FIRST_PACKET_TIMES_S = (0.0, 1.0, 3.0)
"""When the kernel sends the first packet of a connection."""


class Connection:
    """A connection, which is also its writer and transport.

    Attributes:
        is_dead: Whether all that is sent from now on is lost, without a word.
    """

    def __init__(self, network):
        self.network = network
        self.reader = asyncio.StreamReader()
        self.transport = self
        self.is_dead = False
        self.tasks = set()

    def get_extra_info(self, name):
        return None

    def abort(self):
        self.is_dead = True
        self.reader.feed_eof()

    def write(self, data):
        call_number, _, message = codec.decode(data[codec.LENGTH_PREFIX.size :])
        if isinstance(message, ttypes.Watch):
            task = asyncio.ensure_future(self._watch(call_number, message))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _watch(self, call_number, message):
        if not await self._arrives("watch"):
            return
        reply = await self.network.discovery.watch(message)
        if await self._arrives("reply"):
            self.reader.feed_data(codec.encode(call_number, reply, reply=True))

    async def _arrives(self, kind):
        if self.network.next_lost == kind:
            self.network.next_lost = ""
            self.is_dead = True
        await asyncio.sleep(self.network.latency_s)
        return not self.is_dead


class Network:
    """Entries and a control process, which has no power until it starts.

    Attributes:
        latency_s: Time that a message takes.
        next_lost: Kind of message whose next one is lost, with all that its
            connection carries afterwards.
        discovery: Discovery of the control process, None before its start.
        watchers: Watcher of each entry.
    """

    def __init__(self, monkeypatch, *, latency_s):
        self.latency_s = latency_s
        self.next_lost = ""
        self.discovery = None
        self.watchers = []
        monkeypatch.setattr(sockets, "set_options", lambda *_: None)
        monkeypatch.setattr(
            link.asyncio, "open_connection", self._open_connection
        )

    def now(self):
        return asyncio.get_running_loop().time()

    def start_control(self):
        member = test_duties.FakeMember()
        member.address = CONTROL_ADDRESS
        member.now = self.now
        self.discovery = discoveries.Discovery(member=member)

    def start_entry(self):
        relay = relay_fixtures.make_relay()
        relay.name = f"e{len(self.watchers)}"
        relay.now = self.now
        watcher = control_watch.ControlWatcher(
            relay=relay, seeds=[CONTROL_ADDRESS], listen_address=relay.name
        )
        watcher.tick()
        self.watchers.append(watcher)

    async def _open_connection(self, host, port):
        started_at = self.now()
        for time_s in FIRST_PACKET_TIMES_S:
            await asyncio.sleep(started_at + time_s - self.now())
            if self.discovery is not None:
                await asyncio.sleep(2 * self.latency_s)
                connection = Connection(self)
                return connection.reader, connection
        raise TimeoutError
