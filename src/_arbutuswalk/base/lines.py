"""Structured log lines on standard output, bounded and never blocking.

Each event may write so many lines a second; what is left out is counted and
told in the next line of that event. Lines wait in a bounded queue for a thread
that writes them, so that a reader who stops cannot stop the process.
"""

import collections
import json
import os
import sys
import threading
from typing import Any

from _arbutuswalk.base import clock

LINES_PER_S = 40
"""Lines of one event a second; docs/OPERATIONS.md gives the log's volume."""
QUEUE_LINES = 4000
"""Lines that wait for a slow reader, about one megabyte."""
FLUSH_S = 0.2
"""How long a line waits to be written together with others."""


class Allowance:
    """Lines that one event may still write in the current second.

    Attributes:
        second: The second that is counted.
        written: Lines written in it.
        left_out: Lines left out since the last one written.
    """

    def __init__(self):
        self.second = 0
        self.written = 0
        self.left_out = 0


class Writer:
    """Queue of lines and the thread that writes them.

    Attributes:
        waiting: Encoded lines, oldest first.
        allowances: Allowance by event number.
        lost: Lines dropped since the last write because the queue was full.
    """

    def __init__(self, *, descriptor: int, now: clock.Clock = clock.monotonic):
        self.descriptor = descriptor
        self.now = now
        self.waiting: collections.deque[bytes] = collections.deque()
        self.allowances: dict[int, Allowance] = {}
        self.lost = 0
        self.filled = threading.Event()
        self.thread: threading.Thread | None = None

    def write(self, number: int, fields: dict[str, Any]) -> None:
        """Queues one line, or counts it as left out."""
        allowance = self.allowances.get(number)
        if allowance is None:
            allowance = self.allowances[number] = Allowance()
        second = int(self.now())
        if allowance.second != second:
            allowance.second, allowance.written = second, 0
        if allowance.written >= LINES_PER_S:
            allowance.left_out += 1
            return
        if len(self.waiting) >= QUEUE_LINES:
            self.lost += 1
            return
        allowance.written += 1
        if allowance.left_out:
            fields["left_out"] = allowance.left_out
            allowance.left_out = 0
        if self.lost:
            fields["lost"] = self.lost
            self.lost = 0
        line = json.dumps(fields, default=str, separators=(",", ":"))
        self.waiting.append(line.encode() + b"\n")
        self._start()
        self.filled.set()

    def flush(self) -> None:
        """Writes everything that waits; may block."""
        while self.waiting:
            batch = []
            while self.waiting and len(batch) < QUEUE_LINES:
                batch.append(self.waiting.popleft())
            _write_all(self.descriptor, b"".join(batch))

    def _start(self) -> None:
        if self.thread is None:
            self.thread = threading.Thread(target=self._run, daemon=True)
            self.thread.start()

    def _run(self) -> None:
        pause = threading.Event()
        while True:
            self.filled.wait()
            pause.wait(FLUSH_S)
            self.filled.clear()
            self.flush()


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    try:
        while view:
            view = view[os.write(descriptor, view) :]
    except OSError as error:
        # Nobody reads the log any more; say so where that can still be seen.
        print(f"log lost: {error}", file=sys.stderr)


_writers: list[Writer] = []


def start(descriptor: int) -> Writer:
    """Sends structured lines to ``descriptor`` from now on."""
    _writers[:] = [Writer(descriptor=descriptor)]
    return _writers[0]


def current() -> Writer | None:
    """Returns the writer in use, None where there is no structured log."""
    return _writers[0] if _writers else None
