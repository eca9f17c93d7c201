"""Client of the control group.

Finds the leader, resends messages, and relays through other entries when no
control process can be reached directly.
"""

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import clock
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

ATTEMPT_TIMEOUT_S = 1.5
RETRY_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable:
    """No leader answered in time; the command may or may not be committed."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """The control group refused the message as invalid."""

    reason: str


class Tried(NamedTuple):
    """Addresses that one call has tried, and those that gave no answer."""

    addresses: set[str]
    failed: set[str]


class ControlClient:
    """Sends messages to the leader of the control group.

    Attributes:
        addresses: Addresses of the control processes, from the settings.
        relay_addresses: Link addresses of other entries, tried when no
            control process answers directly.
        links_by_address: Link by address.
        preferred_address: Address to try next.
    """

    def __init__(
        self, *, addresses: list[str], now: clock.Clock = clock.monotonic
    ):
        self.addresses = addresses
        self.relay_addresses: list[str] = []
        self.links_by_address: dict[str, link.Link] = {}
        self.preferred_address = addresses[0]
        self.now = now

    async def call(
        self,
        message: object,
        *,
        timeout_s: float,
        relayed: bool = False,
        before_attempt: Callable[[], None] = lambda: None,
    ) -> object:
        """Sends ``message`` until a leader answers it.

        Every message is idempotent, so resending is safe.

        Args:
            message: Submit, Sync or Read.
            timeout_s: Time for all attempts.
            relayed: Whether another entry sent the message; such a message
                is forwarded to control processes only.
            before_attempt: Called each time before the message is sent.

        Returns:
            The leader's reply, or ``Unreachable``.
        """
        deadline = self.now() + timeout_s
        reason = "no answer"
        attempts = 0
        tried = Tried(addresses=set(), failed=set())
        while self.now() < deadline:
            attempts += 1
            address = self.preferred_address
            if relayed and address in self.relay_addresses:
                address = self.addresses[attempts % len(self.addresses)]
            before_attempt()
            reply = await self.link_to(address).call(
                message, timeout_s=min(ATTEMPT_TIMEOUT_S, deadline - self.now())
            )
            status = getattr(reply, "status", None)
            if status in (ttypes.Status.OK, ttypes.Status.INVALID):
                return reply
            reason = getattr(reply, "reason", "") or "no leader"
            if isinstance(reply, link.TimedOut):
                # This connection may be dead while new ones still work.
                self.link_to(address).close("timed out")
            tried.addresses.add(address)
            if status is None:
                tried.failed.add(address)
            else:
                tried.failed.discard(address)
            leader = getattr(reply, "leader", None) or ""
            self.preferred_address = self._next_address(address, leader, tried)
            if not leader:
                await asyncio.sleep(RETRY_INTERVAL_S)
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
        """Reads the current state from the leader; never stale."""
        message = ttypes.Read(query=query, argument=argument)
        reply = await self.call(message, timeout_s=timeout_s)
        if isinstance(reply, Unreachable):
            return reply
        if reply.status == ttypes.Status.INVALID:
            return Rejected(reason=reply.reason)
        return json.loads(reply.result)

    def link_to(self, address: str) -> link.Link:
        """Returns the link to an address, creating it on first use."""
        existing = self.links_by_address.get(address)
        if existing is None:
            existing = link.Link(address=address, now=self.now)
            self.links_by_address[address] = existing
        return existing

    async def stop(self) -> None:
        """Closes all links."""
        for open_link in self.links_by_address.values():
            await open_link.stop()

    def _next_address(self, address: str, leader: str, tried: Tried) -> str:
        """Returns the address to try after one that is not the leader.

        Other entries come after the control processes: they may wait for the
        same frozen leader, and cannot reach a leader either if there is none.

        Args:
            address: Address tried last.
            leader: Leader that it named, if any.
            tried: Addresses tried in this call.
        """
        if leader and leader not in tried.failed | {address}:
            return leader
        in_turn = _others_in_turn(self.addresses, address)
        candidates = [a for a in in_turn if a not in tried.addresses]
        has_answered = address not in tried.failed
        if address in self.addresses and has_answered and not leader:
            candidates += [a for a in in_turn if a not in tried.failed]
        candidates += [
            a for a in self.relay_addresses if a not in tried.addresses
        ]
        if candidates:
            return candidates[0]
        tried.addresses.clear()
        tried.failed.clear()
        return in_turn[0] if in_turn else address


def _others_in_turn(addresses: list[str], address: str) -> list[str]:
    """Returns the addresses from the one after ``address``, without it."""
    if address not in addresses:
        return addresses
    position = addresses.index(address)
    return [*addresses[position + 1 :], *addresses[:position]]
