"""Socket options that detect connections to unresponsive peers.

``TCP_USER_TIMEOUT`` bounds the time for which data is not acknowledged or the
peer's window is closed. If it is set, it also decides when keep-alive probes
give up, whatever their count.
"""

import fcntl
import socket
import struct
import termios
from typing import NamedTuple

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1


class Detection(NamedTuple):
    """When the kernel aborts a connection whose peer does not respond.

    Attributes:
        keepalive_probes: Unanswered probes on a connection without outstanding
            data after which it is aborted.
        user_timeout_ms: ``TCP_USER_TIMEOUT``, None to leave it unset.
    """

    keepalive_probes: int
    user_timeout_ms: int | None


LINK = Detection(keepalive_probes=2, user_timeout_ms=1500)
"""Links between the system's processes, which open another at once."""
UPSTREAM = Detection(keepalive_probes=5, user_timeout_ms=None)
"""Connections to upstreams. A sound one may be silent for a second or so, or
read a long request late; each exchange is bounded by its own deadline."""
CALLER = Detection(keepalive_probes=2, user_timeout_ms=30_000)
"""Connections of callers. One that acknowledges but does not read yet is not
dead; the bound is for those that never read the rest of an answer."""


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns how much was sent that the peer's kernel has not received.

    It is 0 where the kernel does not tell.
    """
    try:
        packed = fcntl.ioctl(
            sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0)
        )
    except OSError:
        return 0
    (count,) = struct.unpack("i", packed)
    return count


def set_options(sock: socket.socket, detection: Detection) -> None:
    """Makes the kernel abort a connection whose peer does not respond."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, detection.keepalive_probes
    )
    if detection.user_timeout_ms is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            detection.user_timeout_ms,
        )
