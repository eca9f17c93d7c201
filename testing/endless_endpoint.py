"""Endpoint that sends bytes without end, from threads of its own.

The threads keep the sending out of the event loop under test, so that its
latency and its processor time are those of the entry.
"""

import contextlib
import itertools
import socket
import threading
import time

from _arbutuswalk.routing import directory

BLOCK_BYTES = 64 * 1024
TRICKLE_INTERVAL_S = 0.1
MAX_SENDING_S = 20.0
"""Longest sending of one answer, so that no thread outlives a failed test."""


class EndlessEndpoint:
    """An endpoint whose answers have a start and an endlessly repeated part.

    Attributes:
        start: First bytes of each answer, sent at once.
        repeated: Bytes that follow until the connection is closed.
        trickle: Whether the repeated part comes a byte at a time.
        pause_s: Seconds between the first and the repeated part.
        ends: Times at which connections were closed by the other side.
        sent_bytes: Bytes sent on all connections.
    """

    def __init__(self, start, repeated, *, trickle=False, name="endless"):
        self.start = start
        self.repeated = repeated
        self.trickle = trickle
        self.pause_s = 0.0
        self.name = name
        self.request_heads = []
        self.connection_count = 0
        self.ends = []
        self.sent_bytes = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.threads = []

    @property
    def address(self):
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def listen(self):
        self._start_thread(self._accept)
        return self

    def announce(self, relay, upstream="ops"):
        values = {
            "id": self.name,
            "born_ms": 1,
            "sequence": 1,
            "upstream": upstream,
            "address": self.address,
            "domain": "d1",
            "version": "v1",
            "slots": 4,
            "state": directory.READY,
        }
        announced = directory.Endpoint(**values)
        directory.announce(relay.directory, announced, relay.now())

    def stop(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _start_thread(self, target, *args):
        thread = threading.Thread(target=target, args=args, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.connection_count += 1
                self._start_thread(self._serve, connection)

    def _serve(self, connection):
        connection.settimeout(MAX_SENDING_S)
        with connection, contextlib.suppress(OSError):
            head = b""
            while b"\r\n\r\n" not in head:
                data = connection.recv(BLOCK_BYTES)
                if not data:
                    return
                head += data
            self.request_heads.append(head)
            try:
                self._send_endlessly(connection)
            finally:
                self.ends.append(time.monotonic())

    def _send_endlessly(self, connection):
        stop_at = time.monotonic() + MAX_SENDING_S
        connection.sendall(self.start)
        time.sleep(self.pause_s)
        if self.trickle:
            for number in itertools.cycle(range(len(self.repeated))):
                connection.sendall(self.repeated[number : number + 1])
                self.sent_bytes += 1
                time.sleep(TRICKLE_INTERVAL_S)
                if time.monotonic() > stop_at:
                    return
        block = self.repeated * max(1, BLOCK_BYTES // len(self.repeated))
        while time.monotonic() < stop_at:
            connection.sendall(block)
            self.sent_bytes += len(block)


def resident_bytes():
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * 4096
