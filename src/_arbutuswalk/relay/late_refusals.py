"""What an entry was asked for lately, and what it refused as late."""

import collections

from _arbutuswalk.limits import late_admission

PRIORITY_MAX_AGE_S = 10.0
"""Time after a request for which its priority counts as in use."""
REFUSED_RECENTLY_S = 3.0
"""Time after a refusal for which an upstream counts as overloaded: several
reports of the entries' loads."""


MAX_EXPECTED = 16
"""Latest expected times that are kept of an upstream."""
EXPECTED_MAX_AGE_S = 5.0
"""Age at which an expected time is forgotten."""


class LateRefusals:
    """Times of requests and refusals.

    Attributes:
        asked_at: When each priority was last asked for, by upstream.
        refused_at: When a late request was last refused, by upstream.
        expected: Latest expected times by upstream: when it was, and the time
            as a fraction of the request's time left.
    """

    def __init__(self):
        self.asked_at: dict[str, dict[int, float]] = {}
        self.refused_at: dict[str, float] = {}
        self.expected: dict[str, collections.deque[tuple[float, float]]] = {}

    def record_asked(self, upstream: str, priority: int, now: float) -> None:
        """Records a request."""
        self.asked_at.setdefault(upstream, {})[priority] = now

    def priorities_in_use(self, upstream: str, now: float) -> list[int]:
        """Returns the priorities of recent requests, most urgent first."""
        return sorted(
            priority
            for priority, asked_at in self.asked_at.get(upstream, {}).items()
            if now - asked_at <= PRIORITY_MAX_AGE_S
        )

    def record_expected(
        self, upstream: str, fraction: float, now: float
    ) -> None:
        """Records an expected time as a fraction of the time left."""
        expected = self.expected.get(upstream)
        if expected is None:
            expected = collections.deque(maxlen=MAX_EXPECTED)
            self.expected[upstream] = expected
        expected.append((now, fraction))

    def is_overloaded(self, upstream: str, now: float) -> bool:
        """Returns whether an upstream is overloaded for more than a burst."""
        return late_admission.is_overloaded(
            [
                fraction
                for at, fraction in self.expected.get(upstream, ())
                if now - at <= EXPECTED_MAX_AGE_S
            ]
        )

    def refused_recently(self, upstream: str, now: float) -> bool:
        """Returns whether a late request was refused in the last seconds."""
        refused_at = self.refused_at.get(upstream)
        return refused_at is not None and now - refused_at <= REFUSED_RECENTLY_S

    def keep_upstreams(self, names: set[str]) -> None:
        """Forgets the upstreams that are not among ``names``."""
        for known in (self.asked_at, self.refused_at, self.expected):
            for name in known.keys() - names:
                del known[name]
