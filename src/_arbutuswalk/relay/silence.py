"""Decides when an attempt leaves an endpoint that is silent.

Silence alone does not end an answer: a sound endpoint may be silent for a
second or so and go on. An attempt ends before its deadline only if another one
may follow it.
"""

import math

from _arbutuswalk.base import stalls
from _arbutuswalk.relay import crash_probes
from _arbutuswalk.relay import path_opener
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import retry_reservation
from _arbutuswalk.routing import directory

PROBE_AFTER_S = 1.0
"""Silence after which connections are opened, to see whether the endpoint
responds and which other one does."""
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
        retry: Whether another attempt may follow.
        peer: Peer that it was sent through, empty on the entry's own path.
        has_begun: Whether events were sent to the caller.
        received_at: When anything was last received, in seconds.
        progress_at: When the request was sent, or events were last sent to the
            caller, in seconds.
        next_check_at: When the silence is examined next, in seconds.
    """

    def __init__(
        self,
        *,
        relay: relay_state.Relay,
        request: requests.Request,
        endpoint: directory.Endpoint,
        retry: retry_reservation.RetryReservation,
    ):
        self.relay = relay
        self.request = request
        self.endpoint = endpoint
        self.retry = retry
        self.peer = ""
        self.has_begun = False
        self.received_at = self.progress_at = relay.now()
        self.next_check_at = math.inf

    def record_sent(self) -> None:
        """Records that the request was sent."""
        self.retry.record_sent()
        self.received_at = self.relay.now()
        self._record_progress(may_leave=self.request.route.repeatable)

    def record_received(self) -> None:
        """Records that the endpoint has sent something."""
        self.received_at = self.relay.now()
        self.relay.heard_at[self.endpoint.id] = self.received_at
        if self.peer:
            self.relay.paths.record_peer_heard(self.peer)

    def record_sent_events(self) -> None:
        """Records that events of a stream were sent to the caller."""
        self.has_begun = True
        self._record_progress(may_leave=self.request.route.resumable)

    def _record_progress(self, *, may_leave: bool) -> None:
        self.progress_at = self.relay.now()
        self.next_check_at = (
            self.progress_at + PROBE_AFTER_S if may_leave else math.inf
        )

    def check(self) -> str:
        """Returns why the attempt leaves the endpoint, empty if it does not."""
        now = self.relay.now()
        late_s = now - self.next_check_at
        self.next_check_at = now + CHECK_INTERVAL_S
        if late_s > stalls.MIN_STALL_S:
            # The entry stood still: what was sent meanwhile is unread.
            self.received_at = self.progress_at = now
            return ""
        silent_since = max(self.received_at, self.progress_at)
        is_silent = now - silent_since >= PROBE_AFTER_S
        if is_silent:
            self._probe(now)
        may_leave = now - self.progress_at >= LEAVE_AFTER_S
        if self.has_begun:
            # One that sends bytes but no whole event does not recover.
            since = silent_since if is_silent else self.progress_at
            self.retry.prepare(since, needs_sound=is_silent)
            may_leave = may_leave and self._reserve(
                since, needs_sound=is_silent
            )
            return "stream stalled" if may_leave else ""
        if not is_silent:
            return ""
        is_unreachable = self._is_unreachable(silent_since)
        if is_unreachable or self._heard_at <= silent_since:
            self.retry.prepare(silent_since, needs_sound=True)
        # A sound endpoint may take longer than this to begin its answer.
        may_leave = (
            may_leave
            and is_unreachable
            and self._reserve(silent_since, needs_sound=True)
        )
        return "endpoint silent" if may_leave else ""

    def _reserve(self, since: float, *, needs_sound: bool) -> bool:
        if not self.retry.reserve(since, needs_sound=needs_sound):
            return False
        self.retry.left.add(self.endpoint.id)
        if self.peer and not self.relay.paths.was_peer_heard(self.peer, since):
            path_opener.give_up_peer(self.relay, self.peer)
        return True

    @property
    def _heard_at(self) -> float:
        return self.relay.heard_at.get(self.endpoint.id, -math.inf)

    def _is_unreachable(self, silent_since: float) -> bool:
        """Returns whether the last sign since then is a failed connection."""
        unreachable_at = self.relay.unreachable_at.get(
            self.endpoint.id, -math.inf
        )
        paths = self.relay.paths
        if self.peer and paths.is_peer_silent(self.peer, silent_since):
            return True
        if not self.peer and self._has_lost_path():
            return True
        return unreachable_at > max(self._heard_at, silent_since)

    def _has_lost_path(self) -> bool:
        paths = self.relay.paths
        return paths.is_cut_off and paths.is_silent

    def _probe(self, now: float) -> None:
        heard_at = self._heard_at
        if self.peer:
            peer_heard_at = self.relay.paths.peer_heard_at
            heard_at = min(heard_at, peer_heard_at.get(self.peer, -math.inf))
        if now - max(heard_at, self.progress_at) >= PROBE_AFTER_S:
            crash_probes.start_silent(
                self.relay, self.endpoint, self.peer, has_request=True
            )
