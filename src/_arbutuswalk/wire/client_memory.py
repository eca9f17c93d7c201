"""Bounds on the memory and the connections that clients of a process use.

Each connection is charged for what it holds: bodies, heads, requests that were
read ahead, and answers that its client does not read. Charges are estimates of
the memory in use, several times the bytes that were received. Once all together
exceed the limit, connections give way whose requests nobody answers, or whose
clients do not read: first those that hold much, then the least recent ones. So
requests of ordinary size are served beside clients that hold as much as they
can, and running requests are broken off last.
"""

import collections
import resource
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple
from typing import Protocol

DEFAULT_MEMORY_MB = 1024
"""Memory of a process if the settings state none."""
CLIENT_SHARE = 0.5
"""Share of the memory of a process that clients may use."""
MAX_BODY_SHARE = 0.25
"""Share of clients' memory that one body may use where no limit is set."""
CONNECTION_SHARE = 0.5
"""Share of the descriptors that clients' connections may use."""
BACKLOG_SHARE = 0.25
"""Share of the descriptors that connections may use before they are opened."""
MAX_BACKLOG = 1024
PROBE_MEMORY_SHARE = 0.0625
"""Share of the memory of a process for probes and metrics, which are answered
also if clients use all of theirs."""
PROBE_CONNECTIONS = 32
"""Most connections for probes and metrics."""
LINGERING_SHARE = 0.25
"""Refused connections that are not closed yet, as a share of open ones."""
BYTES_PER_MB = 1024 * 1024

CONNECTION_BYTES = 32 * 1024
"""Charge of a connection, with a write buffer that is not full."""
ORDINARY_BYTES = 256 * 1024
"""Charge below which connections count as holding equally much."""
UNREAD_BYTES = 64 * 1024
"""Charge of a connection that is not read, for what its socket holds."""
REQUEST_BYTES = 16 * 1024
"""Charge of a request that was read and is not answered yet."""
HEADER_BYTES = 200
"""Charge of a header beside its bytes."""
HEADER_SEPARATOR_BYTES = 4
"""Bytes of a header line beside name and value."""
UNREAD_ANSWER_COPIES = 2
"""Copies of an answer that the client does not read: the application may hold
it, too."""
BODY_COPIES = 3
"""Copies of a body while it is read, checked and sent on."""


class Limits(NamedTuple):
    """Limits on what clients of a process use together.

    Attributes:
        memory_bytes: Sum of all charges.
        connections: Open connections.
        backlog: Connections that are accepted at a time.
    """

    memory_bytes: int
    connections: int
    backlog: int

    @property
    def max_body_bytes(self) -> int:
        """Largest body where no other limit is set."""
        return int(self.memory_bytes * MAX_BODY_SHARE) // BODY_COPIES


def derive_limits(
    memory_mb: float = 0,
    descriptors: int = 0,
    connection_share: float = CONNECTION_SHARE,
) -> Limits:
    """Returns the limits of a process.

    Args:
        memory_mb: Memory that the process may use in MiB, 0 if unknown.
        descriptors: Descriptors that it may open, 0 for the system's limit.
        connection_share: Share of them that clients' connections may use.
    """
    if not descriptors:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = 1 << 20
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    return Limits(
        memory_bytes=int(memory_bytes * CLIENT_SHARE),
        connections=max(1, int(descriptors * connection_share)),
        backlog=max(1, min(MAX_BACKLOG, int(descriptors * BACKLOG_SHARE))),
    )


def derive_probe_limits(limits: Limits) -> Limits:
    """Returns the limits for probes and metrics beside those of clients."""
    memory_bytes = limits.memory_bytes * PROBE_MEMORY_SHARE / CLIENT_SHARE
    connections = min(PROBE_CONNECTIONS, limits.connections)
    return Limits(int(memory_bytes), connections, limits.backlog)


def head_charge(header_count: int, header_bytes: int) -> int:
    """Returns the charge of a request without its body."""
    return REQUEST_BYTES + header_count * HEADER_BYTES + header_bytes


class Holder(Protocol):
    """A connection that is charged.

    Attributes:
        held_bytes: Its charge.
        is_idle: Whether it answers nothing, and its client has read all.
        is_at_work: Whether it answers a request that was read in full, and its
            client reads what is sent.
        give_way: Gives up all that it holds.
    """

    held_bytes: int

    @property
    def is_idle(self) -> bool: ...

    @property
    def is_at_work(self) -> bool: ...

    def give_way(self, reason: str) -> None: ...


def find_expendable(holders: Iterable[Holder]) -> Holder:
    """Returns the connection that is to give way when memory is short.

    Of those that hold about as much it is the least recent one.
    """
    return max(
        holders,
        key=lambda holder: (
            not holder.is_at_work,
            holder.held_bytes // ORDINARY_BYTES,
        ),
    )


def find_replaceable(holders: Collection[Holder]) -> Holder | None:
    """Returns the connection that is to make place for another, if any.

    It is the least recent idle one, else one whose request is incomplete or
    whose client does not read.
    """
    idle = next((holder for holder in holders if holder.is_idle), None)
    return idle or next(
        (holder for holder in holders if not holder.is_at_work), None
    )


class Account:
    """What the connections of all listeners of a process hold.

    Attributes:
        limits: The limits on it.
        count: Counts a refusal under the name and labels of a metric.
        held_bytes: Sum of the charges.
        holders: Open connections, the least recently used one first.
        lingering: Number of refused connections that are not closed yet.
    """

    def __init__(
        self,
        *,
        limits: Limits | None = None,
        count: Callable[[str, str], None] = lambda name, labels: None,
    ):
        self.limits = limits or derive_limits()
        self.count = count
        self.held_bytes = 0
        self.holders: collections.OrderedDict[Holder, None] = (
            collections.OrderedDict()
        )
        self.lingering = 0

    def open(self, holder: Holder) -> bool:
        """Adds a connection; returns False if there is no room for it."""
        if len(self.holders) >= self.limits.connections:
            replaceable = find_replaceable(self.holders)
            if replaceable is None:
                return False
            self.close(replaceable)
            replaceable.give_way("too many connections")
        self.holders[holder] = None
        self.charge(holder, CONNECTION_BYTES)
        return True

    def close(self, holder: Holder) -> None:
        """Removes a connection and its charge."""
        if holder in self.holders:
            del self.holders[holder]
            self.held_bytes -= holder.held_bytes
            holder.held_bytes = 0

    def start_lingering(self) -> bool:
        """Returns whether a refused connection may be closed later."""
        most = int(self.limits.connections * LINGERING_SHARE)
        may_linger = self.lingering < most
        self.lingering += may_linger
        return may_linger

    def end_lingering(self) -> None:
        """Records that a refused connection was closed."""
        self.lingering -= 1

    def mark_used(self, holder: Holder) -> None:
        """Makes a connection the most recently used one."""
        if holder in self.holders:
            self.holders.move_to_end(holder)

    def charge(self, holder: Holder, change: int) -> None:
        """Changes the charge of an open connection; makes room if needed."""
        if holder not in self.holders:
            return
        holder.held_bytes += change
        self.held_bytes += change
        while self.held_bytes > self.limits.memory_bytes and self.holders:
            expendable = find_expendable(self.holders)
            self.close(expendable)
            expendable.give_way("too much memory held")
