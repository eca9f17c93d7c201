"""Pool of connections to upstreams.

Upstreams accept a bounded number of connections from all entries together, and
each new connection costs them time, so idle connections are reused.
"""

import asyncio
import dataclasses
import socket
from collections.abc import Awaitable
from collections.abc import Callable

from _arbutuswalk.base import clock
from _arbutuswalk.base import settings
from _arbutuswalk.base import stalls
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import replies

CONNECT_TIMEOUT_S = 0.6
"""Connect timeout. TCP retransmits a lost first packet only after one second,
so a slightly longer timeout would only delay the detection of a dead
upstream."""
DEFAULT_IDLE_TIMEOUT_S = 3.0
"""How long an idle connection is kept if its upstream announces no timeout."""
IDLE_MARGIN_S = 1.0
"""How long before the upstream's timeout an idle connection is closed."""
NON_IDEMPOTENT_MAX_IDLE_S = 2.0
"""Longest idle time of a connection used for a non-idempotent request: after a
short idle time the upstream seldom closes the connection during the request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotOpened:
    """No connection was opened, so nothing was sent.

    Attributes:
        reason: Why not.
        refused: Whether the upstream's instance refused the connection.
        is_path_failure: Whether this process has no path to any upstream, so
            that the failure tells nothing about this one.
    """

    reason: str
    refused: bool
    is_path_failure: bool = False


class Pool:
    """Idle connections by address.

    Attributes:
        read_reply: Interprets the status and headers of a response.
        connect_s: Connect timeout.
        idle: Idle connections by address, the most recently used last.
        opener: Opens a new connection to an address.
    """

    def __init__(
        self,
        *,
        read_reply: Callable[[int, replies.Headers], replies.Reply],
        connect_s: float = CONNECT_TIMEOUT_S,
        now: clock.Clock = clock.monotonic,
    ):
        self.read_reply = read_reply
        self.connect_s = connect_s
        self.now = now
        self.idle: dict[str, list[connections.Connection]] = {}
        self.opener: Callable[
            [str], Awaitable[connections.Connection | NotOpened]
        ] = self.open_directly

    async def acquire(
        self, address: str, *, non_idempotent: bool
    ) -> connections.Connection | NotOpened:
        """Returns an idle connection or opens a new one.

        Args:
            address: ``IP:port`` of the upstream.
            non_idempotent: Whether the request must not be sent again if it
                is lost with its connection.
        """
        idle = self.idle.get(address, [])
        now = self.now()
        while idle:
            candidate = idle.pop()
            idle_s = now - candidate.idle_since
            if (
                candidate.reusable
                and idle_s < _max_idle_s(candidate, non_idempotent)
                and not candidate.has_unread_data()
            ):
                return candidate
            candidate.abort()
        return await self.open(address)

    def release(self, connection: connections.Connection) -> None:
        """Returns a connection to the pool after its exchange, or closes it."""
        connection.end_exchange()
        if connection.reusable and not connection.transport.is_closing():
            self.idle.setdefault(connection.address, []).append(connection)
        else:
            connection.transport.close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address suspected to be down."""
        for connection in self.idle.pop(address, []):
            connection.abort()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        now = self.now()
        for address, idle in list(self.idle.items()):
            for connection in list(idle):
                if now - connection.idle_since >= _max_idle_s(
                    connection, non_idempotent=False
                ):
                    idle.remove(connection)
                    connection.abort()
            if not idle:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self.idle):
            self.close_idle(address)

    async def open(self, address: str) -> connections.Connection | NotOpened:
        """Opens a new connection."""
        return await self.opener(address)

    def close_idle_if(
        self, is_unwanted: Callable[[connections.Connection], bool]
    ) -> None:
        """Closes the idle connections for which ``is_unwanted`` is true."""
        for idle in list(self.idle.values()):
            for connection in list(idle):
                if is_unwanted(connection):
                    connection.abort()

    def make_connection(
        self, address: str, peer: str = ""
    ) -> connections.Connection:
        """Returns a connection of this pool that has no transport yet."""
        return connections.Connection(
            address=address,
            read_reply=self.read_reply,
            on_close=self._remove_closed,
            peer=peer,
        )

    async def open_directly(
        self, address: str
    ) -> connections.Connection | NotOpened:
        """Opens a new connection on this process's own path."""
        return await connect(
            address,
            read_reply=self.read_reply,
            timeout_s=self.connect_s,
            on_close=self._remove_closed,
        )

    def _remove_closed(self, closed: connections.Connection) -> None:
        idle = self.idle.get(closed.address, [])
        if closed in idle:
            idle.remove(closed)


async def connect(
    address: str,
    *,
    read_reply: Callable[[int, replies.Headers], replies.Reply],
    timeout_s: float,
    on_close: Callable[[connections.Connection], None] = lambda closed: None,
) -> connections.Connection | NotOpened:
    """Opens a connection to ``address``.

    Args:
        address: ``IP:port`` of the upstream.
        read_reply: Interprets the status and headers of a response.
        timeout_s: Connect timeout.
        on_close: Called once the connection has closed.
    """
    if not settings.is_address(address):
        return NotOpened(reason="not IP:port", refused=False)
    started_at = clock.monotonic()
    opened = await _connect_once(address, read_reply, timeout_s, on_close)
    late_s = clock.monotonic() - started_at - timeout_s
    if isinstance(opened, NotOpened) and late_s > stalls.MIN_STALL_S:
        # The process stood still; the upstream may have accepted in time.
        return await _connect_once(address, read_reply, timeout_s, on_close)
    return opened


async def _connect_once(
    address: str,
    read_reply: Callable[[int, replies.Headers], replies.Reply],
    timeout_s: float,
    on_close: Callable[[connections.Connection], None],
) -> connections.Connection | NotOpened:
    loop = asyncio.get_running_loop()
    try:
        sock = await _connect_socket(address, timeout_s)
        _, connection = await loop.create_connection(
            lambda: connections.Connection(
                address=address, read_reply=read_reply, on_close=on_close
            ),
            sock=sock,
        )
    except OSError as error:
        return not_opened(error)
    return connection


async def _connect_socket(address: str, timeout_s: float) -> socket.socket:
    """Returns a socket that is connected to ``address``.

    A connection made in time counts although a busy event loop has not handled
    it before its time-out.

    Raises:
        OSError: The connection was refused or lost, or timed out.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().sock_connect(
                sock, (host, int(port))
            )
    except TimeoutError:
        if not _is_connected(sock):
            sock.close()
            raise
    except BaseException:
        sock.close()
        raise
    return sock


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def not_opened(error: OSError) -> NotOpened:
    """Returns the result of a failed attempt to connect, or of a time-out."""
    if isinstance(error, TimeoutError) and not error.errno:
        return NotOpened(reason="connect timed out", refused=False)
    refused = isinstance(error, ConnectionRefusedError)
    return NotOpened(reason=str(error), refused=refused)


def _max_idle_s(
    connection: connections.Connection, non_idempotent: bool
) -> float:
    """Returns the idle time up to which a connection may be used."""
    max_idle_s = DEFAULT_IDLE_TIMEOUT_S
    if connection.keep_alive_s is not None:
        max_idle_s = max(0.0, connection.keep_alive_s - IDLE_MARGIN_S)
    return (
        min(max_idle_s, NON_IDEMPOTENT_MAX_IDLE_S)
        if non_idempotent
        else max_idle_s
    )
