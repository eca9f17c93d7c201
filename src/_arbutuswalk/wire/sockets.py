"""Socket options that make silent connections end."""

import socket

SILENT_MS = 1500
"""Unacknowledged time after which the kernel gives a connection up: below the
two seconds after which callers abandon a silent stream."""
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2


def detect_silence(sock: socket.socket) -> None:
    """Makes the kernel give up a connection whose other side is silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)
