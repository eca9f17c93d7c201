"""Measures how fast an endpoint works on one attempt."""

from _arbutuswalk.relay import endpoint_speeds
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import endpoint_speed
from _arbutuswalk.streams import framing


class AttemptSpeed:
    """Times of the events of one stream.

    Attributes:
        relay: State of the entry.
        endpoint: Endpoint that the request is sent to.
        load: What it has to do before the first event.
        sent_at: When the request was sent, in seconds.
        read: Time to read a prompt token, None if unknown.
        event_at: When events last arrived, None before the first data.
        gaps_s: Gaps between events, in seconds.
    """

    def __init__(
        self, *, relay: relay_state.Relay, chosen: placement.Placement
    ):
        self.relay = relay
        self.endpoint: directory.Endpoint = chosen.endpoint
        own, other = relay.known_loads(chosen.endpoint.id)
        self.load = endpoint_speed.ReadLoad(
            own_tokens=chosen.uncached_tokens,
            waiting_tokens=own.waiting_tokens + other.waiting_tokens,
            running=own.running + other.running,
            slots=chosen.endpoint.slots,
        )
        self.sent_at = relay.now()
        self.read: int | None = None
        self.event_at: float | None = None
        self.gaps_s: list[float] = []

    def record_sent(self) -> None:
        """Records that the request was sent."""
        self.sent_at = self.relay.now()

    def record_first_data(self) -> None:
        """Records the first data of a stream."""
        self.event_at = self.relay.now()
        took_s = self.event_at - self.sent_at
        self.read = endpoint_speed.measure_read(self.load, took_s)

    def record_further_data(self, data: bytes) -> None:
        """Records more data of a stream."""
        if len(self.gaps_s) >= endpoint_speed.MAX_GAPS:
            return
        event_count = data.count(framing.SEPARATOR)
        if not event_count:
            return
        now = self.relay.now()
        self.gaps_s.append((now - self.event_at) / event_count)
        self.event_at = now

    def record_success(self) -> None:
        """Adds a sample of a stream that was complete.

        A failed one may have been fast because nothing was generated. An answer
        in one piece contains the time to generate it.
        """
        if not self.gaps_s:
            return
        measures = endpoint_speed.Measures(
            self.read, endpoint_speed.measure_pace(self.gaps_s)
        )
        if any(value is not None for value in measures):
            self.relay.endpoint_speeds.add(
                endpoint_speeds.Sample(
                    self.endpoint.id, self.endpoint.born_ms, measures
                )
            )
