"""Compares the speeds of endpoints from the measures of all entries.

Every control process does so for itself, as every entry reports to each; after
a restart it knows no speeds until the entries have reported enough.
"""

import collections
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.routing import directory as directories
from _arbutuswalk.routing import endpoint_speed
from _arbutuswalk.wire import speed_fields

MAX_SAMPLES = 32
"""Newest samples of an endpoint that are compared: those of some seconds under
load, enough for a median within a tenth."""
SAMPLE_RETENTION_S = 30.0
"""Age from which samples are dropped. The speed of an endpoint may change with
its machine's other load."""
UPDATE_INTERVAL_S = 2.0
"""Interval at which speeds are computed, and sent if they have changed."""
REFRESH_INTERVAL_S = 10.0
"""Interval at which unchanged speeds are sent, so that entries keep them."""
ENTRY_RETENTION_S = 60.0
"""Time after which a silent entry's last number is forgotten."""


class Received(NamedTuple):
    """What an entry sent last: the number of its last sample, and when."""

    count: int
    at: float


class Start:
    """Samples of one start of an endpoint.

    Attributes:
        born_ms: The start, in Unix milliseconds.
        samples: Receiving times and measures, oldest first.
    """

    def __init__(self, *, born_ms: int):
        self.born_ms = born_ms
        self.samples: collections.deque[
            tuple[float, endpoint_speed.Measures]
        ] = collections.deque(maxlen=MAX_SAMPLES)

    def recent(self, now: float) -> list[endpoint_speed.Measures]:
        """Returns the measures that still count."""
        while self.samples and now - self.samples[0][0] > SAMPLE_RETENTION_S:
            self.samples.popleft()
        return [measures for _, measures in self.samples]


class SpeedReports:
    """Samples of all entries and the speeds found by them.

    Attributes:
        starts: Samples by endpoint.
        received: What each entry process sent last.
        table: Start and steps from the typical speed, by endpoint.
        differing: Whether the endpoints of an upstream differed last, where
            that could be told.
        revision: Revision of the table, 0 before the first speeds.
        updated_at: When the table was computed, in seconds.
        refreshed_at: When the revision last changed, in seconds.
    """

    def __init__(self):
        self.starts: dict[str, Start] = {}
        self.received: dict[tuple[str, int], Received] = {}
        self.table: dict[str, list[int]] = {}
        self.differing: dict[str, bool] = {}
        self.revision = 0
        self.updated_at = self.refreshed_at = float("-inf")

    def record(
        self,
        key: tuple[str, int],
        report: dict[str, Any],
        directory: directories.Directory,
        now: float,
    ) -> None:
        """Records the samples of an entry's report that are new.

        Args:
            key: Id and incarnation of the entry.
            report: The report.
            directory: Known endpoints.
            now: Seconds.
        """
        if "speeds" not in report:
            return
        _, count, fields = report["speeds"][:3]
        before = self.received.get(key, Received(0, now)).count
        self.received[key] = Received(max(count, before), now)
        new_count = max(0, min(count - before, len(fields)))
        new_fields = fields[len(fields) - new_count :]
        for endpoint_id, born_ms, read, pace, *_ in new_fields:
            row = directory.rows.get(endpoint_id)
            if row is None or row.endpoint.born_ms != born_ms:
                continue
            start = self.starts.get(endpoint_id)
            if start is None or start.born_ms != born_ms:
                start = self.starts[endpoint_id] = Start(born_ms=born_ms)
            start.samples.append((now, endpoint_speed.Measures(read, pace)))

    def typical(
        self, rows: Iterable[directories.Row], now: float
    ) -> endpoint_speed.Seconds | None:
        """Returns the times that a typical one of these endpoints takes."""
        samples = [
            self.starts[row.endpoint.id].recent(now)
            for row in rows
            if row.endpoint.id in self.starts
            and self.starts[row.endpoint.id].born_ms == row.endpoint.born_ms
        ]
        return endpoint_speed.typical_seconds(samples)

    def parts(
        self, directory: directories.Directory, since: int | None, now: float
    ) -> dict[str, Any]:
        """Returns the part of a reply with speeds newer than a revision.

        Args:
            directory: Known endpoints.
            since: Revision that the entry has, None if it wants no speeds.
            now: Seconds.
        """
        if since is None:
            return {}
        if self.starts and now - self.updated_at >= UPDATE_INTERVAL_S:
            self._update(directory, now)
        if self.revision == since:
            return {}
        return {"speeds": [self.revision, self.table]}

    def _update(self, directory: directories.Directory, now: float) -> None:
        self.updated_at = now
        self._remove_old(directory, now)
        samples: dict[str, dict[str, list[endpoint_speed.Measures]]] = {}
        for endpoint_id, start in self.starts.items():
            upstream = directory.rows[endpoint_id].endpoint.upstream
            samples.setdefault(upstream, {})[endpoint_id] = start.recent(now)
        self.differing = {
            upstream: do_differ
            for upstream, do_differ in self.differing.items()
            if upstream in samples
        }
        before, self.table = self.table, {}
        for upstream, upstream_samples in samples.items():
            slowness = endpoint_speed.find_slowness(upstream_samples)
            if self._is_confirmed(upstream, slowness):
                self.table |= self._rows(slowness)
            else:
                self.table |= {
                    endpoint_id: row
                    for endpoint_id, row in before.items()
                    if endpoint_id in upstream_samples
                    and row[0] == self.starts[endpoint_id].born_ms
                }
        is_changed = self.table != before
        if is_changed:
            self._log_changes(before)
        is_due = now - self.refreshed_at >= REFRESH_INTERVAL_S
        if is_changed or (self.table and is_due):
            self.revision += 1
            self.refreshed_at = now

    def _is_confirmed(
        self, upstream: str, slowness: dict[str, float] | None
    ) -> bool:
        """Returns whether a result is the same kind as the one before."""
        if slowness is None:
            return False
        do_differ = bool(slowness)
        before = self.differing.get(upstream)
        self.differing[upstream] = do_differ
        return before == do_differ

    def _rows(self, slowness: dict[str, float]) -> dict[str, list[int]]:
        return {
            endpoint_id: [self.starts[endpoint_id].born_ms, steps]
            for endpoint_id, factor in slowness.items()
            if (steps := speed_fields.steps(factor))
        }

    def _remove_old(self, directory: directories.Directory, now: float) -> None:
        self.starts = {
            endpoint_id: start
            for endpoint_id, start in self.starts.items()
            if (row := directory.rows.get(endpoint_id)) is not None
            and row.endpoint.born_ms == start.born_ms
        }
        self.received = {
            key: received
            for key, received in self.received.items()
            if now - received.at <= ENTRY_RETENTION_S
        }

    def _log_changes(self, before: dict[str, list[int]]) -> None:
        for endpoint_id in sorted(before.keys() | self.table.keys()):
            former, current = (
                before.get(endpoint_id),
                self.table.get(endpoint_id),
            )
            if former != current:
                events.record(
                    events.Event.ENDPOINT_SPEED_CHANGED,
                    endpoint_id,
                    *(
                        round(speed_fields.factor(row[1]) if row else 1.0, 2)
                        for row in (current, former)
                    ),
                )
