"""The next attempt of a request, taken from the retry budget beforehand."""

from _arbutuswalk.relay import admission
from _arbutuswalk.relay import crash_probes
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
        reserved: Whether the budget has permitted an attempt that has not
            reached an endpoint yet.
    """

    def __init__(self, *, relay: relay_state.Relay, request: requests.Request):
        self.relay = relay
        self.request = request
        self.tally = results.Tally()
        self.tried: set[str] = set()
        self.reserved = False

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

    def prepare(self, silent_since: float) -> None:
        """Examines an endpoint that may be tried next, unless one was heard."""
        others = self._others(silent_since)
        if others and not self._heard(others, silent_since):
            endpoint = self.relay.directory.rows[others[0]].endpoint
            crash_probes.start_silent(self.relay, endpoint)

    def reserve(self, silent_since: float | None) -> bool:
        """Takes the attempt that is to follow the current one.

        Args:
            silent_since: Since when the current endpoint has sent nothing; then
                the next one must have been heard later. None if it responds.

        Returns:
            Whether an attempt may follow.
        """
        others = self._others(silent_since)
        if silent_since is not None:
            others = self._heard(others, silent_since)
        if not others:
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
        former_tally, self.tally = self.tally, tally
        try:
            self.reserved = False
            return self.acquire() is None
        finally:
            self.tally = former_tally

    def _others(self, silent_since: float | None) -> list[str]:
        return placement.usable_endpoints(
            self.relay,
            self.request,
            self.tried,
            needs_sound=silent_since is not None,
        )

    def _heard(self, endpoints: list[str], since: float) -> list[str]:
        heard_at = self.relay.heard_at
        return [name for name in endpoints if heard_at.get(name, 0.0) > since]
