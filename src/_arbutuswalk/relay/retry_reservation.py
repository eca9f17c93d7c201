"""The next attempt of a request, taken from the retry budget beforehand."""

from collections.abc import Iterable

from _arbutuswalk.relay import admission
from _arbutuswalk.relay import crash_probes
from _arbutuswalk.relay import permitted_placement
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.relay import stopping


class RetryReservation:
    """Attempts of a request so far, and whether another one may follow.

    Attributes:
        relay: State of the entry.
        request: The request.
        tally: Counts of the attempts so far.
        tried: Endpoints that were tried.
        left: Those of them that were left as they were silent. They are tried
            again if no other one takes the request.
        reserved: Whether the budget has permitted an attempt that has not
            reached an endpoint yet.
        heard_since: Since when the next endpoint must have been heard, if there
            is such a one; None if any may follow.
    """

    def __init__(self, *, relay: relay_state.Relay, request: requests.Request):
        self.relay = relay
        self.request = request
        self.tally = results.Tally()
        self.tried: set[str] = set()
        self.left: set[str] = set()
        self.reserved = False
        self.heard_since: float | None = None

    async def find_placement(self) -> placement.Placement | results.NotSent:
        """Returns where the request may be sent now, preferably one heard."""
        if self.heard_since is not None:
            unheard = self.relay.directory.rows.keys() - self._heard(
                self.relay.directory.rows, self.heard_since
            )
            found = await permitted_placement.find(
                self.relay, self.request, self.tried | unheard
            )
            if not isinstance(found, results.NotSent):
                return found
        found = await permitted_placement.find(
            self.relay, self.request, self.tried
        )
        if not isinstance(found, results.NotSent) or not self.left:
            return found
        self.tried -= self.left
        self.left.clear()
        return await permitted_placement.find(
            self.relay, self.request, self.tried
        )

    def record_sent(self) -> None:
        """Records that an attempt has reached an endpoint."""
        self.reserved = False
        self.heard_since = None

    def acquire(self) -> results.NoRetry | None:
        """Takes an attempt from the budget; returns why that is not possible.

        Attempts that did not reach an endpoint take nothing from the budget.
        """
        if self.reserved or not self.tally.arrivals:
            return None
        window = self.relay.retry_window(self.request.upstream)
        now = self.relay.now()
        if window.try_acquire(now, self.relay.entry_count):
            self.reserved = True
            return None
        use = window.use(now, self.relay.entry_count)
        return results.NoRetry(
            decision="retry budget",
            inputs=f"{use.retries} of {use.limit:.1f} in {window.window_s:g} s",
        )

    def record_result(self, result: results.Result) -> None:
        """Counts an attempt that has ended."""
        self.tally = results.tally_result(self.tally, result)

    def prepare(self, since: float, *, needs_sound: bool) -> None:
        """Examines an endpoint that may be tried next, unless one was heard."""
        others = self._others(needs_sound=needs_sound)
        if others and not self._heard(others, since):
            endpoint = self.relay.directory.rows[others[0]].endpoint
            crash_probes.start_silent(self.relay, endpoint)

    def reserve(self, since: float, *, needs_sound: bool) -> bool:
        """Takes the attempt that is to follow the current one.

        Args:
            since: Since when the current endpoint has sent nothing, or no whole
                event. The next one must have been heard later.
            needs_sound: Whether to leave out endpoints that failed recently.

        Returns:
            Whether an attempt may follow.
        """
        if not self._heard(self._others(needs_sound=needs_sound), since):
            return False
        lost = results.Lost(reason="silent")
        tally = results.tally_result(self.tally, lost)
        left_s = self.request.deadline - self.relay.now()
        if results.why_no_retry(lost, self.request.route, tally, left_s):
            return False
        if admission.find_refused_key(self.relay, self.request):
            return False
        if stopping.find_refusal(self.relay, self.request) is not None:
            return False
        self.heard_since = since
        former_tally, self.tally = self.tally, tally
        try:
            self.reserved = False
            return self.acquire() is None
        finally:
            self.tally = former_tally

    def _others(self, *, needs_sound: bool) -> list[str]:
        """Returns the endpoints that may be tried next, sound ones if any."""
        sound = self._usable(needs_sound=True)
        return (
            sound if sound or needs_sound else self._usable(needs_sound=False)
        )

    def _usable(self, *, needs_sound: bool) -> list[str]:
        return placement.usable_endpoints(
            self.relay, self.request, self.tried, needs_sound=needs_sound
        )

    def _heard(self, endpoints: Iterable[str], since: float) -> list[str]:
        heard_at = self.relay.heard_at
        return [name for name in endpoints if heard_at.get(name, 0.0) > since]


class NoReservation(RetryReservation):
    """Of an attempt that runs beside another one and that none may follow."""

    def record_sent(self) -> None:
        """Leaves the reservation to the other attempt."""

    def prepare(self, since: float, *, needs_sound: bool) -> None:
        """Examines no endpoint."""

    def reserve(self, since: float, *, needs_sound: bool) -> bool:
        """Takes no attempt."""
        return False
