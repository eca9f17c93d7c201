"""Decides when an attempt leaves an endpoint that is silent.

Silence alone does not end an answer: a sound endpoint may be silent for a
second or so and go on. An attempt ends before its deadline only if another one
may follow it.
"""

import math
from collections.abc import Callable

from _arbutuswalk.relay import crash_probes
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import directory

PROBE_AFTER_S = 1.0
"""Time without any data of an endpoint after which a connection to it is opened
to see whether it responds."""
LEAVE_AFTER_S = 1.5
"""Silence after which an attempt may leave its endpoint. Callers abandon a
stream after two seconds at the earliest."""
CHECK_INTERVAL_S = 0.25


class SilenceWatch:
    """Silence of the endpoint of one attempt.

    Attributes:
        relay: State of the entry.
        request: The request.
        endpoint: Endpoint that it was sent to.
        reserve_retry: Returns whether another attempt may follow, and takes it
            from the retry budget. Its argument tells whether only an endpoint
            counts that has not failed recently.
        has_begun: Whether events were sent to the caller.
        received_at: When anything was last received, in seconds.
        silent_since: When the request was sent, or events were last sent to
            the caller, in seconds.
        next_check_at: When the silence is examined next, in seconds.
    """

    def __init__(
        self,
        *,
        relay: relay_state.Relay,
        request: requests.Request,
        endpoint: directory.Endpoint,
        reserve_retry: Callable[[bool], bool],
    ):
        self.relay = relay
        self.request = request
        self.endpoint = endpoint
        self.reserve_retry = reserve_retry
        self.has_begun = False
        self.received_at = self.silent_since = relay.now()
        self.next_check_at = math.inf
        self.restart()

    def restart(self) -> None:
        """Starts the silence anew when the request has been sent."""
        self.silent_since = self.relay.now()
        self.next_check_at = (
            self.silent_since + PROBE_AFTER_S
            if self.request.route.repeatable
            else math.inf
        )

    def record_received(self) -> None:
        """Records that the endpoint has sent something."""
        self.received_at = self.relay.now()
        self.relay.heard_at[self.endpoint.id] = self.received_at

    def record_sent_events(self) -> None:
        """Records that events of a stream were sent to the caller."""
        self.has_begun = True
        self.silent_since = self.relay.now()
        self.next_check_at = (
            self.silent_since + LEAVE_AFTER_S
            if self.request.route.resumable
            else math.inf
        )

    def check(self) -> str:
        """Returns why the attempt leaves the endpoint, empty if it does not."""
        now = self.relay.now()
        self.next_check_at = now + CHECK_INTERVAL_S
        if now - self.silent_since < LEAVE_AFTER_S:
            self._probe(now)
            return ""
        if self.has_begun:
            # One that sends bytes but no whole event does not recover.
            is_silent = now - self.received_at >= LEAVE_AFTER_S
            return "stream stalled" if self.reserve_retry(is_silent) else ""
        # A sound endpoint may take longer than this to begin its answer.
        if self.relay.suspect_until.get(self.endpoint.id, 0.0) <= now:
            self._probe(now)
            return ""
        return "endpoint silent" if self.reserve_retry(True) else ""

    def _probe(self, now: float) -> None:
        heard_at = self.relay.heard_at.get(self.endpoint.id, -math.inf)
        if now - max(heard_at, self.silent_since) >= PROBE_AFTER_S:
            crash_probes.start_silent(self.relay, self.endpoint)
