"""Keeps requests away from endpoints that asked this entry for a pause."""

import asyncio

from _arbutuswalk.base import clock
from _arbutuswalk.base import events
from _arbutuswalk.relay import relay_state
from _arbutuswalk.routing import directory
from _arbutuswalk.streams import replies


def record_reply(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    reply: replies.Reply,
    request_id: str,
) -> None:
    """Records the pause that an answer of an endpoint states, if any."""
    if reply.invalid_pause is not None:
        _record_invalid(relay, endpoint, reply.invalid_pause)
    if not reply.pause_s:
        return
    left_s = relay.pauses.record(
        endpoint.id,
        endpoint.born_ms,
        reply.pause_s,
        relay.now(),
        now_ms=int(relay.wall() * clock.MS_PER_S),
        slot_share=endpoint.slots / max(1, relay.entry_count),
        draw=relay.rng.random(),
    )
    relay.metrics.count("pauses", f'endpoint="{endpoint.id}"')
    events.record(
        events.Event.ENDPOINT_PAUSED,
        request_id,
        endpoint.id,
        reply.pause_s,
        round(left_s, 3),
    )


def _record_invalid(
    relay: relay_state.Relay, endpoint: directory.Endpoint, value: str
) -> None:
    start = endpoint.id, endpoint.born_ms
    if start not in relay.pauses.invalid_from:
        relay.pauses.invalid_from.add(start)
        events.record(events.Event.ENDPOINT_PAUSE_INVALID, endpoint.id, value)


def is_paused(relay: relay_state.Relay, endpoint: directory.Endpoint) -> bool:
    """Returns whether no request may be sent to an endpoint now."""
    return pause_left(relay, endpoint) > 0


def pause_left(relay: relay_state.Relay, endpoint: directory.Endpoint) -> float:
    """Returns the time in seconds until the endpoint's pause ends."""
    return relay.pauses.left_s(endpoint.id, endpoint.born_ms, relay.now())


def expected_wait(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> float:
    """Returns the time in seconds until the next request may be sent."""
    return relay.pauses.wait_s(endpoint.id, endpoint.born_ms, relay.now())


async def acquire(
    relay: relay_state.Relay, endpoint: directory.Endpoint, max_wait_s: float
) -> bool:
    """Waits until a request may be sent to an endpoint.

    Returns:
        Whether it may be sent now; false if the wait would be longer than
        ``max_wait_s``, or the endpoint has asked for another pause meanwhile.
    """
    wait_s = relay.pauses.reserve(
        endpoint.id, endpoint.born_ms, max_wait_s, relay.now()
    )
    if wait_s is None:
        return False
    if wait_s > 0:
        relay.metrics.record("pause_wait", "", wait_s)
        await asyncio.sleep(wait_s)
    return not is_paused(relay, endpoint)
