"""Keeps requests within what an endpoint tolerates while it warms up.

Designed for many entries whose traffic to one endpoint adds up: each request to
an endpoint that warms up needs a permit like those for stated limits, and is
sent soon after it was granted.
"""

from _arbutuswalk.base import events
from _arbutuswalk.relay import relay_state
from _arbutuswalk.routing import directory

PERMIT_VALIDITY_S = 0.25
"""Time in which a permit may be used. Requests that were delayed on their way,
as by connections to an endpoint that was out of reach, would arrive together
otherwise."""
SLOW_CONNECTION_S = 0.5
"""Time to a connection after which the endpoint may just have come back: a
first attempt to connect was lost."""


def rate(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> float | None:
    """Returns the limit in requests per second, None if there is none now."""
    warm_ups = relay.directory.warm_ups
    if not warm_ups.ends_at or relay.route_table is None:
        return None
    limits = relay.route_table.warm_ups.get(endpoint.upstream)
    start = directory.start_of(endpoint)
    if limits is None or not warm_ups.left_s(start, relay.now()):
        return None
    return limits.rate_per_s


def permit_ends_at(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> float | None:
    """Returns until when a permit that is valid from now on may be used."""
    if rate(relay, endpoint) is None:
        return None
    return relay.now() + PERMIT_VALIDITY_S


def needs_other_permit(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    ends_at: float | None,
    waited_s: float,
) -> bool:
    """Returns whether a request with this permit may not be sent any more.

    Args:
        relay: State of the entry.
        endpoint: The endpoint.
        ends_at: Until when the permit may be used, None without one: the
            endpoint did not warm up when it was chosen.
        waited_s: How long the request has waited for its connection.
    """
    if waited_s > SLOW_CONNECTION_S:
        assume(relay, endpoint)
    if rate(relay, endpoint) is None:
        return False
    if ends_at is not None and relay.now() <= ends_at:
        return False
    relay.metrics.count("warm_up_permits_expired")
    return True


def record_sent(relay: relay_state.Relay, endpoint: directory.Endpoint) -> None:
    """Counts a request that is sent to an endpoint that warms up."""
    if rate(relay, endpoint) is not None:
        relay.metrics.count("sent_to_warming", f'endpoint="{endpoint.id}"')


def assume(relay: relay_state.Relay, endpoint: directory.Endpoint) -> None:
    """Assumes that an endpoint warms up until it announces that it does not.

    It has no effect if its upstream limits no requests during warm-ups.
    """
    if relay.route_table is None:
        return
    limits = relay.route_table.warm_ups.get(endpoint.upstream)
    if limits is None or not limits.duration_s:
        return
    start, now = directory.start_of(endpoint), relay.now()
    warm_ups = relay.directory.warm_ups
    was_warm = not warm_ups.left_s(start, now)
    warm_ups.assume(start, limits.duration_s, now)
    if was_warm:
        _record_event(relay, endpoint, limits.duration_s, "assumed")


def record_announced(
    relay: relay_state.Relay,
    before: directory.Endpoint | None,
    after: directory.Endpoint,
    source: str,
) -> None:
    """Records an event if an endpoint has announced that it warms up.

    Args:
        relay: State of the entry.
        before: What the endpoint announced before, None for nothing.
        after: What it has announced now.
        source: Link address of the control process that sent it.
    """
    is_new = before is None or before.born_ms != after.born_ms
    if after.cold_s and (is_new or after.cold_s > before.cold_s):
        _record_event(relay, after, after.cold_s, source)


def _record_event(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    left_s: float,
    source: str,
) -> None:
    events.record(
        events.Event.ENDPOINT_WARMS_UP,
        endpoint.id,
        endpoint.born_ms,
        left_s,
        rate(relay, endpoint),
        source,
    )
