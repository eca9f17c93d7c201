"""Structured JSON log with a rate limit and non-blocking writes.

Each event has a limit of lines per second; suppressed lines are counted, and
the count is added to the next line of that event. A thread writes the lines
from a bounded queue, so that a stalled reader does not block the process.
"""

import collections
import json
import os
import sys
import threading
from typing import Any

from _arbutuswalk.base import clock

MAX_LINES_PER_EVENT_PER_S = 40
"""Rate limit of each event; docs/OPERATIONS.md gives the log's volume."""
MAX_QUEUED_LINES = 4000
"""Bound of the queue, about one megabyte; further lines are dropped."""
FLUSH_DELAY_S = 0.2
"""Delay before a write, so that lines are written in batches."""


class EventRateLimit:
    """Count of one event's lines in the current second.

    Attributes:
        second: The second that is counted.
        written: Lines written in that second.
        suppressed: Lines suppressed since the last one written.
    """

    def __init__(self):
        self.second = 0
        self.written = 0
        self.suppressed = 0


class Writer:
    """Queue of lines and the thread that writes them.

    Attributes:
        queue: Encoded lines, oldest first.
        rate_limits: Rate limit by event number.
        dropped: Lines dropped since the last queued line because the queue was
            full.
    """

    def __init__(self, *, descriptor: int, now: clock.Clock = clock.monotonic):
        self.descriptor = descriptor
        self.now = now
        self.queue: collections.deque[bytes] = collections.deque()
        self.rate_limits: dict[int, EventRateLimit] = {}
        self.dropped = 0
        self.lines_available = threading.Event()
        self.thread: threading.Thread | None = None

    def write(self, event_number: int, fields: dict[str, Any]) -> None:
        """Queues one line, or counts it as suppressed or dropped."""
        rate_limit = self.rate_limits.get(event_number)
        if rate_limit is None:
            rate_limit = self.rate_limits[event_number] = EventRateLimit()
        second = int(self.now())
        if rate_limit.second != second:
            rate_limit.second, rate_limit.written = second, 0
        if rate_limit.written >= MAX_LINES_PER_EVENT_PER_S:
            rate_limit.suppressed += 1
            return
        if len(self.queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        rate_limit.written += 1
        if rate_limit.suppressed:
            fields["left_out"] = rate_limit.suppressed
            rate_limit.suppressed = 0
        if self.dropped:
            fields["lost"] = self.dropped
            self.dropped = 0
        line = json.dumps(fields, default=str, separators=(",", ":"))
        self.queue.append(line.encode() + b"\n")
        self._start()
        self.lines_available.set()

    def flush(self) -> None:
        """Writes all queued lines; may block."""
        while self.queue:
            batch = []
            while self.queue and len(batch) < MAX_QUEUED_LINES:
                batch.append(self.queue.popleft())
            _write_all(self.descriptor, b"".join(batch))

    def _start(self) -> None:
        if self.thread is None:
            self.thread = threading.Thread(target=self._run, daemon=True)
            self.thread.start()

    def _run(self) -> None:
        flush_delay = threading.Event()
        while True:
            self.lines_available.wait()
            flush_delay.wait(FLUSH_DELAY_S)
            self.lines_available.clear()
            self.flush()


def _write_all(descriptor: int, data: bytes) -> None:
    unwritten = memoryview(data)
    try:
        while unwritten:
            unwritten = unwritten[os.write(descriptor, unwritten) :]
    except OSError as error:
        # Standard output is closed or broken, so report it on standard error.
        print(f"cannot write the structured log: {error}", file=sys.stderr)


_writers: list[Writer] = []


def start(descriptor: int) -> Writer:
    """Writes structured lines to ``descriptor`` from now on."""
    _writers[:] = [Writer(descriptor=descriptor)]
    return _writers[0]


def current_writer() -> Writer | None:
    """Returns the active writer, None if the structured log is off."""
    return _writers[0] if _writers else None
