"""The next attempt of a request, and whether one may follow a silent one.

Silence alone does not end an attempt: a sound upstream may be silent for longer
than ``gap_s`` and go on. An attempt is left only if another one may follow it.
"""

import asyncio

from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import placement
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import upstreams

BUDGET_POLL_INTERVAL_S = 0.05


class RetryReservation:
    """Upstreams that a request tried, and its next attempt.

    Attributes:
        entry: The entry it runs in.
        request: The request.
        avoid: Keys of upstreams on which an attempt failed.
        left: Keys of those that were left as they were silent.
        exempt: Whether the next attempt is not charged to the budget.
        reserved: Whether the budget has permitted an attempt that has not
            begun yet.
    """

    def __init__(
        self, *, entry: entry_state.Entry, request: model_requests.ModelRequest
    ):
        self.entry = entry
        self.request = request
        self.avoid: set[str] = set()
        self.left: set[str] = set()
        self.exempt = True
        self.reserved = False

    async def wait_for_budget(self) -> bool:
        """Waits for the retry budget; false when the deadline passes."""
        budget = self.entry.retry_budget_for(self.request.upstream)
        while self.entry.now() < self.request.deadline:
            if self.exempt:
                self.exempt = False
                return True
            if self.reserved or budget.withdraw(self.entry.now()):
                self.reserved = False
                return True
            await asyncio.sleep(BUDGET_POLL_INTERVAL_S)
        return False

    def may_leave(self, row: upstreams.Row, *, has_begun: bool) -> bool:
        """Returns whether to leave a silent upstream; takes the next attempt.

        Args:
            row: The upstream.
            has_begun: Whether the attempt has received events. If not, one that
                begins anew may be silent for as long, so that it is sent only
                to an upstream that was not left before.
        """
        now = self.entry.now()
        if now >= self.request.deadline:
            return True
        if crash_quarantine.is_replaced(self.entry, row):
            return True
        if not self._has_next(row, set() if has_begun else self.left):
            return False
        self.reserved = self.reserved or self._permits(row, now)
        return self.reserved

    def record_left(self, row: upstreams.Row) -> bool:
        """Records that a silent upstream was left.

        Returns:
            Whether to try it once more before any other. The connection may be
            at fault rather than the upstream, whose cache is warm.
        """
        is_first = row.key not in self.avoid
        self.avoid.add(row.key)
        if row.key in self.left:
            # One that failed otherwise may be better than a silent one.
            self.avoid &= self.left
        self.left.add(row.key)
        return is_first

    def _has_next(self, row: upstreams.Row, excluded: set[str]) -> bool:
        now = self.entry.now()
        is_usable = row.health(
            now
        ) is upstreams.Health.USABLE and placement.may_send_to(self.entry, row)
        if is_usable and row.key not in excluded:
            return True
        others = [
            other
            for other in placement.candidates(
                self.entry,
                self.request.upstream,
                self.request.route,
                self.request.request_id,
            )
            if other is not row and other.key not in excluded
        ]
        return choose.choose(others, self.request.features) is not None

    def _permits(self, row: upstreams.Row, now: float) -> bool:
        """Returns whether the budget permits an attempt, or need not."""
        is_leaving = row.health(now) is upstreams.Health.LEAVING
        if is_leaving or row.silence_s(now) > upstreams.SUSPECT_AFTER_S:
            # An attempt lost with its upstream is no sign of overload.
            return True
        budget = self.entry.retry_budget_for(self.request.upstream)
        return budget.withdraw(now)
