"""Connections to upstreams: few, kept while they are useful, never doubted.

Upstreams accept a bounded number of connections from all entries together, and
each new one costs them time.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from _arbutuswalk.base import clock
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import replies

CONNECT_S = 0.6
"""Time a connection may take to open: a lost first packet is sent again only
after a second, so waiting longer finds a dead endpoint no sooner."""
IDLE_S = 3.0
"""How long an idle connection is kept if its endpoint names no time."""
IDLE_MARGIN_S = 1.0
"""Kept connections are given up this much before their endpoint closes them."""
FRESH_IDLE_S = 2.0
"""Idle time up to which a connection carries requests that run only once: one
that was alive so lately is seldom closed under the request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotOpened:
    """No connection opened, so nothing was sent.

    Attributes:
        reason: What happened.
        refused: Whether the endpoint's machine refused it.
    """

    reason: str
    refused: bool


class Pool:
    """Idle and busy connections by address.

    Attributes:
        read: Tells what an answer's status and headers mean.
        connect_s: Time a connection may take to open.
        idle: Idle connections by address, the one used last at the end.
    """

    def __init__(
        self,
        *,
        read: Callable[[int, replies.Headers], replies.Reply],
        connect_s: float = CONNECT_S,
        now: clock.Clock = clock.monotonic,
    ):
        self.read = read
        self.connect_s = connect_s
        self.now = now
        self.idle: dict[str, list[connections.Connection]] = {}

    async def take(
        self, address: str, *, careful: bool
    ) -> connections.Connection | NotOpened:
        """Returns a connection to use, kept or new.

        Args:
            address: ``IP:port`` of the endpoint.
            careful: Whether a request lost with its connection cannot be
                sent again.
        """
        kept = self.idle.get(address, [])
        now = self.now()
        while kept:
            found = kept.pop()
            if found.usable and now - found.idle_since < _limit(found, careful):
                return found
            found.abort()
        return await self.open(address)

    def give_back(self, used: connections.Connection) -> None:
        """Takes a connection back after its exchange."""
        used.finish()
        if used.usable and not used.transport.is_closing():
            self.idle.setdefault(used.address, []).append(used)
        else:
            used.transport.close()

    def drop(self, address: str) -> None:
        """Closes idle connections to an address that has become doubtful."""
        for each in self.idle.pop(address, []):
            each.abort()

    def tick(self) -> None:
        """Closes connections that were idle for too long."""
        now = self.now()
        for address, kept in list(self.idle.items()):
            for each in list(kept):
                if now - each.idle_since >= _limit(each, careful=False):
                    kept.remove(each)
                    each.abort()
            if not kept:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self.idle):
            self.drop(address)

    async def open(self, address: str) -> connections.Connection | NotOpened:
        """Returns a new connection."""
        return await connect(
            address,
            read=self.read,
            timeout_s=self.connect_s,
            on_close=self._closed,
        )

    def _closed(self, lost: connections.Connection) -> None:
        kept = self.idle.get(lost.address, [])
        if lost in kept:
            kept.remove(lost)


async def connect(
    address: str,
    *,
    read: Callable[[int, replies.Headers], replies.Reply],
    timeout_s: float,
    on_close: Callable[[connections.Connection], None] = lambda lost: None,
) -> connections.Connection | NotOpened:
    """Opens a connection to ``address``.

    Args:
        address: ``IP:port`` of the upstream.
        read: Tells what an answer's status and headers mean.
        timeout_s: Time it may take.
        on_close: Called once the connection has closed.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, made = await loop.create_connection(
                lambda: connections.Connection(
                    address=address, read=read, on_close=on_close
                ),
                host,
                int(port),
            )
    except TimeoutError:
        return NotOpened(reason="connect timed out", refused=False)
    except OSError as error:
        refused = isinstance(error, ConnectionRefusedError)
        return NotOpened(reason=str(error), refused=refused)
    return made


def _limit(kept: connections.Connection, careful: bool) -> float:
    """Returns how long a connection may have been idle to be used."""
    limit = IDLE_S
    if kept.idle_s is not None:
        limit = max(0.0, kept.idle_s - IDLE_MARGIN_S)
    return min(limit, FRESH_IDLE_S) if careful else limit
