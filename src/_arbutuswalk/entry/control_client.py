"""Talks to the control group: finds the leader, resends, goes round cuts."""

import asyncio
import dataclasses
import json
from typing import Any

from _arbutuswalk.base import clock
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

CALL_TIMEOUT_S = 1.5
PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable:
    """No leader answered in time; the command may be committed or not."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """The control group refused the message as invalid."""

    reason: str


class ControlClient:
    """Calls to whichever control process leads.

    Attributes:
        addresses: Control processes from the settings.
        relays: Other entries' link addresses, tried when no control process
            answers directly.
        links: Link by address.
        preferred: Address that answered last.
    """

    def __init__(
        self, *, addresses: list[str], now: clock.Clock = clock.monotonic
    ):
        self.addresses = addresses
        self.relays: list[str] = []
        self.links: dict[str, link.Link] = {}
        self.preferred = addresses[0]
        self.now = now

    async def call(
        self, message: object, *, timeout_s: float, relayed: bool = False
    ) -> object:
        """Sends ``message`` until a leader answers it.

        Every message is safe to send again.

        Args:
            message: Submit, Sync or Read.
            timeout_s: How long to try.
            relayed: Whether it is another entry's, which goes no further
                than to a control process.

        Returns:
            The leader's reply, or ``Unreachable``.
        """
        deadline = self.now() + timeout_s
        reason = "no answer"
        tries = 0
        while self.now() < deadline:
            tries += 1
            address = self.preferred
            if relayed and address in self.relays:
                address = self.addresses[tries % len(self.addresses)]
            reply = await self.link_to(address).call(
                message, timeout_s=min(CALL_TIMEOUT_S, deadline - self.now())
            )
            status = getattr(reply, "status", None)
            if status in (ttypes.Status.OK, ttypes.Status.INVALID):
                return reply
            reason = getattr(reply, "reason", "") or "no leader"
            if isinstance(reply, link.TimedOut):
                # The connection may be silent for good while new ones work.
                self.link_to(address).close("timed out")
            self.preferred = self._next(address, reply)
            if status is None or not reply.leader:
                await asyncio.sleep(PAUSE_S)
        return Unreachable(reason=reason)

    async def submit(
        self, command: commands.Command, *, timeout_s: float
    ) -> outcomes.Outcome | Unreachable | Rejected:
        """Commits a command and returns its outcome."""
        message = ttypes.Submit(command=commands.encode(command))
        reply = await self.call(message, timeout_s=timeout_s)
        if isinstance(reply, Unreachable):
            return reply
        if reply.status == ttypes.Status.INVALID:
            return Rejected(reason=reply.reason)
        return outcomes.decode(reply.result)

    async def read(
        self, query: str, argument: str = "", *, timeout_s: float
    ) -> Any | Unreachable | Rejected:
        """Reads current state; never stale."""
        message = ttypes.Read(query=query, argument=argument)
        reply = await self.call(message, timeout_s=timeout_s)
        if isinstance(reply, Unreachable):
            return reply
        if reply.status == ttypes.Status.INVALID:
            return Rejected(reason=reply.reason)
        return json.loads(reply.result)

    def link_to(self, address: str) -> link.Link:
        """Returns the link to an address, made on first use."""
        found = self.links.get(address)
        if found is None:
            found = link.Link(address=address, now=self.now)
            self.links[address] = found
        return found

    async def stop(self) -> None:
        """Closes all links."""
        for each in self.links.values():
            await each.stop()

    def _next(self, address: str, reply: object) -> str:
        """Returns whom to ask next: the named leader, or the next in turn."""
        leader = getattr(reply, "leader", None)
        if leader and leader != address:
            return leader
        ring = [*self.addresses, *self.relays]
        if address not in ring:
            return ring[0]
        return ring[(ring.index(address) + 1) % len(ring)]
