"""Measures the latencies of one attempt and compares them during a rollout."""

import asyncio

from _arbutuswalk.relay import attempt_speed
from _arbutuswalk.relay import late_requests
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import rollout_outcomes
from _arbutuswalk.state import rollouts

PACE_AFTER_S = 0.5
"""Time after the first data at which the pace of a longer stream is measured,
so that control learns of it before the stream ends."""


class AttemptTiming:
    """Latencies of one attempt.

    Attributes:
        relay: State of the entry.
        version: Version of the endpoint.
        speed: Speed of the endpoint, None if it is not measured.
        expected: Expected time to the first data, None if it is not compared.
        group: Group of requests that it is counted with.
        size: Prompt size, 0 without a prompt.
        compared: Whether a rollout of the upstream is under way.
        is_sample: Whether its latencies are samples of the old version.
        started_at: When the attempt started, in seconds.
        first_data_at: When the first data arrived, None before.
        further_bytes: Bytes since then.
        pace_recorded: Whether the pace has been recorded.
        overdue_timer: Runs when the first data is late by both bounds.
        is_overdue: Whether it has run.
    """

    def __init__(
        self,
        *,
        relay: relay_state.Relay,
        request: requests.Request,
        chosen: placement.Placement,
    ):
        self.relay = relay
        self.version = chosen.endpoint.version
        self.size = request.prompt.tokens_in if request.prompt else 0
        self.group = rollout_outcomes.Group(
            request.upstream,
            request.route.name,
            rollout_outcomes.size_band(self.size),
        )
        rollout = relay.rollouts.get(request.upstream)
        self.compared = rollout is not None and rollout[1] == rollouts.GROWING
        self.is_sample = not self.compared or rollout[0] != self.version
        self.speed = (
            attempt_speed.AttemptSpeed(relay=relay, chosen=chosen)
            if request.prompt
            else None
        )
        self.expected = (
            late_requests.FirstDataCheck(
                relay=relay, request=request, chosen=chosen
            )
            if relay.options.rejects_late
            else None
        )
        self.started_at = relay.now()
        self.first_data_at: float | None = None
        self.further_bytes = 0
        self.pace_recorded = False
        self.overdue_timer: asyncio.TimerHandle | None = None
        self.is_overdue = False

    def start(self) -> None:
        """Starts the timer for late first data."""
        if self.speed is not None:
            self.speed.record_sent()
        if not self.compared:
            return
        bounds = self.relay.rollout_outcomes.bounds(
            self.group, rollout_outcomes.FIRST_DATA, self.size
        )
        if bounds is not None:
            self.overdue_timer = asyncio.get_running_loop().call_later(
                max(bounds), self._record_overdue
            )

    def record_first_data(self, *, is_success: bool = True) -> None:
        """Records the latency to the first data, or to the whole answer."""
        self.stop()
        if self.expected is not None and is_success:
            self.expected.record_first_data()
        self.first_data_at = self.relay.now()
        if self.speed is not None:
            self.speed.record_first_data()
        self._record(
            rollout_outcomes.FIRST_DATA,
            self.first_data_at - self.started_at,
            is_counted=self.is_overdue,
        )

    def record_further_data(self, data: bytes) -> None:
        """Records more data of a stream."""
        if self.speed is not None:
            self.speed.record_further_data(data)
        self.further_bytes += len(data)
        if self.relay.now() - self.first_data_at >= PACE_AFTER_S:
            self._record_pace()

    def record_end(self, *, ran: bool, failed: bool) -> None:
        """Records the end of the attempt."""
        self._record_pace()
        if self.speed is not None and ran and not failed:
            self.speed.record_success()
        if self.compared and ran:
            self.relay.rollout_outcomes.record_end(
                self.group, self.version, failed=failed
            )

    def stop(self) -> None:
        """Cancels the timer for late first data."""
        if self.overdue_timer is not None:
            self.overdue_timer.cancel()
            self.overdue_timer = None

    def _record_pace(self) -> None:
        if self.pace_recorded or not self.further_bytes:
            return
        self.pace_recorded = True
        took_s = self.relay.now() - self.first_data_at
        self._record(rollout_outcomes.PACE, took_s / self.further_bytes)

    def _record(
        self, measure: str, took: float, *, is_counted: bool = False
    ) -> None:
        outcomes = self.relay.rollout_outcomes
        if self.compared and not is_counted:
            outcomes.record_latency(
                self.group, self.version, measure, size=self.size, took=took
            )
        if self.is_sample:
            outcomes.add_sample(self.group, measure, size=self.size, took=took)

    def _record_overdue(self) -> None:
        self.is_overdue = True
        self.relay.rollout_outcomes.record_overdue(
            self.group, self.version, rollout_outcomes.FIRST_DATA
        )
