"""Pauses that endpoints ask one entry for.

An endpoint that turns a request away may state for how long it wants no request
from the entry that sent it. The entry sends it none until the last of its
pauses has ended, and then releases requests gradually.
"""

import math
from collections.abc import Container
from typing import NamedTuple

MAX_PAUSE_S = 3600.0
"""Longest pause that is honoured. A longer one is more likely a date or a wrong
unit than a time after which an endpoint is of use again."""
END_SPREAD_S = 0.1
"""Longest random delay of the first request after the end of a pause, so that
entries whose pauses end together do not all send at once."""
RAMP_S = 1.0
"""Time after the end of a pause in which an entry sends its share of the
endpoint's slots. The rate increases with the time since the end."""
RELEASE_S = 3 * RAMP_S
"""Time after the end of a pause after which requests are sent at any rate."""
MIN_RAMP_REQUESTS = 4.0
"""Smallest such share, for endpoints with fewer slots than entries."""


class Pause(NamedTuple):
    """The last pause of an endpoint.

    Attributes:
        born_ms: Start of the endpoint as known then, in Unix milliseconds.
        stated_ms: When a pause was last stated, in Unix milliseconds. A start
            between the two has stated it, although it was not known yet.
        ends_at: When its last pause ends, in seconds.
        delay_s: Time from its end to the first request.
        ramp_requests: Requests that are released in the first ``RAMP_S``.
        released: Requests that were released since the end.
    """

    born_ms: int
    stated_ms: int
    ends_at: float
    delay_s: float
    ramp_requests: float
    released: int = 0

    def is_of(self, born_ms: int) -> bool:
        """Returns whether it may have been stated by a start."""
        return self.born_ms <= born_ms <= max(self.born_ms, self.stated_ms)

    @property
    def next_at(self) -> float:
        """Time from which the next request may be sent, in seconds."""
        ramp_s = RAMP_S * math.sqrt(self.released / self.ramp_requests)
        return self.ends_at + min(RELEASE_S, self.delay_s + ramp_s)


class Pauses:
    """Pauses of the endpoints of one entry.

    Attributes:
        rows: Pause by endpoint id, also for some time after its end.
        invalid_from: (endpoint id, start) of the endpoints that stated an
            invalid pause.
    """

    def __init__(self):
        self.rows: dict[str, Pause] = {}
        self.invalid_from: set[tuple[str, int]] = set()

    def record(
        self,
        endpoint_id: str,
        born_ms: int,
        pause_s: float,
        now: float,
        *,
        now_ms: int,
        slot_share: float,
        draw: float,
    ) -> float:
        """Records a pause that was stated just now.

        A pause that ends before a known one changes nothing: the endpoint has
        stated both, so it wants no request until the end of the last.

        Args:
            endpoint_id: Id of the endpoint.
            born_ms: Start of the endpoint to which the request was sent. A
                later one, born before now, may have answered.
            pause_s: Time for which it wants no requests.
            now: Current time in seconds.
            now_ms: Current time of day in Unix milliseconds.
            slot_share: This entry's share of the endpoint's slots.
            draw: Random number from 0 to 1 for the first request after it.

        Returns:
            The time in seconds until the last pause of the endpoint ends.
        """
        known = self.rows.get(endpoint_id)
        if known is not None and born_ms < known.born_ms:
            if now_ms < known.born_ms:
                return 0.0
            born_ms = known.born_ms
        ends_at = now + pause_s
        if (
            known is not None
            and known.is_of(born_ms)
            and known.ends_at >= ends_at
        ):
            row = known._replace(stated_ms=now_ms)
        else:
            row = Pause(
                born_ms=born_ms,
                stated_ms=now_ms,
                ends_at=ends_at,
                delay_s=draw * END_SPREAD_S,
                ramp_requests=max(MIN_RAMP_REQUESTS, slot_share),
            )
        self.rows[endpoint_id] = row
        return row.ends_at - now

    def left_s(self, endpoint_id: str, born_ms: int, now: float) -> float:
        """Returns the time until the pause ends, 0 without one."""
        pause = self._find(endpoint_id, born_ms, now)
        return 0.0 if pause is None else max(0.0, pause.ends_at - now)

    def wait_s(self, endpoint_id: str, born_ms: int, now: float) -> float:
        """Returns the time until a request may be sent, 0 for now."""
        pause = self._find(endpoint_id, born_ms, now)
        return 0.0 if pause is None else max(0.0, pause.next_at - now)

    def reserve(
        self, endpoint_id: str, born_ms: int, max_wait_s: float, now: float
    ) -> float | None:
        """Reserves the sending of one request.

        Returns:
            The time in seconds after which it may be sent, None if that is
            longer than ``max_wait_s``.
        """
        wait_s = self.wait_s(endpoint_id, born_ms, now)
        if wait_s > max_wait_s:
            return None
        pause = self._find(endpoint_id, born_ms, now)
        if pause is not None:
            self.rows[endpoint_id] = pause._replace(released=pause.released + 1)
        return wait_s

    def remove_unused(self, endpoint_ids: Container[str], now: float) -> None:
        """Removes ended pauses, and invalid ones not of ``endpoint_ids``.

        A pause outlasts the removal of its endpoint, which may be announced
        again in the same start.
        """
        self.rows = {
            endpoint_id: pause
            for endpoint_id, pause in self.rows.items()
            if now < pause.ends_at + RELEASE_S
        }
        self.invalid_from = {
            (endpoint_id, born_ms)
            for endpoint_id, born_ms in self.invalid_from
            if endpoint_id in endpoint_ids
        }

    def _find(self, endpoint_id: str, born_ms: int, now: float) -> Pause | None:
        pause = self.rows.get(endpoint_id)
        if pause is None or not pause.is_of(born_ms):
            return None
        return pause if now < pause.ends_at + RELEASE_S else None
