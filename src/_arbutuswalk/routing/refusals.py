"""Table of what is refused because it crashes endpoints.

Entries and control processes exchange the whole table and merge it, so that a
refusal outlasts the restart of any of them.
"""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.routing import crash_blame

RETENTION_S = 60.0
"""Time without such a request after which a refusal ends."""
MAX_DURATION_S = 600.0
"""Time after which a refusal ends although such requests still come, in case
that what they crashed has been repaired."""


class Refusal(NamedTuple):
    """One refusal, in seconds of this process's clock.

    Attributes:
        blamed_at: When it began.
        asked_at: When such a request last came to any entry.
    """

    blamed_at: float
    asked_at: float


class Refusals:
    """Refusals in force.

    Attributes:
        rows: Refusal by key, the fingerprint of a request or a part's key.
    """

    def __init__(self):
        self.rows: dict[str, Refusal] = {}

    def add(self, key: str, now: float) -> None:
        """Adds a refusal, or starts it anew."""
        self.rows[key] = Refusal(now, now)

    def find(self, keys: Iterable[str], now: float) -> str:
        """Returns the first refused key of a request, empty if there is none.

        The refusal that it finds lasts longer.
        """
        for key in keys:
            row = self.rows.get(key)
            if row is not None:
                self.rows[key] = row._replace(asked_at=now)
                return key
        return ""

    def merge(self, values: Any, now: float) -> list[str]:
        """Adds what another process sent just now; returns the new keys."""
        new_keys = []
        for key, (blamed_age_s, asked_age_s, *_) in _rows_from_json(values):
            received = Refusal(now - blamed_age_s, now - asked_age_s)
            known = self.rows.get(key)
            if known is None:
                new_keys.append(key)
                known = received
            self.rows[key] = Refusal(
                max(known.blamed_at, received.blamed_at),
                max(known.asked_at, received.asked_at),
            )
        self.expire(now)
        return new_keys

    def to_json(self, now: float) -> dict[str, list[float]]:
        """Returns the table with ages instead of times."""
        return {
            key: [now - row.blamed_at, now - row.asked_at]
            for key, row in self.rows.items()
        }

    def expire(self, now: float) -> None:
        """Removes refusals that have ended."""
        self.rows = {
            key: row
            for key, row in self.rows.items()
            if now - row.asked_at <= RETENTION_S
            and now - row.blamed_at <= MAX_DURATION_S
        }


def _rows_from_json(values: Any) -> Iterable[tuple[str, list[float]]]:
    """Returns the rows; a former version sends the keys only.

    It takes parts for requests, and blames what sound requests share.
    """
    if isinstance(values, dict):
        return values.items()
    return [
        (key, [0.0, 0.0])
        for key in values
        if not key.startswith(crash_blame.PART_PREFIX)
    ]
