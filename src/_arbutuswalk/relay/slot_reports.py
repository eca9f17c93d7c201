"""Tells the leader of the ends of requests to brittle endpoints."""

import asyncio

from _arbutuswalk.base import background
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import slot_client
from _arbutuswalk.routing import leaving
from _arbutuswalk.wire import slot_messages

RETRY_INTERVAL_S = 0.1
MAX_FAILURES = 30
"""Failed reports in a row after which what was not reported is given up: the
leader's leases expire."""
MAX_ENDED = 1000


async def call(
    relay: relay_state.Relay, ask: slot_messages.Ask | None
) -> slot_client.LeaderReply | str:
    """Sends the leader what it does not know, and what the entry asks."""
    client = relay.slots
    ended, client.ended = client.ended, []
    starts = {leaving.Start(row.endpoint_id, row.born_ms) for row in ended}
    if ask is not None:
        starts |= {
            leaving.Start(row.endpoint_id, row.born_ms)
            for row in ask.candidates
        }

    def make_content(leader: str) -> slot_messages.Content:
        unleased = tuple(
            slot_messages.Unleased(
                *start, _count_unleased(relay, start, leader)
            )
            for start in sorted(starts)
            if start.endpoint_id
        )
        return slot_messages.Content(tuple(ended), unleased, ask)

    is_received = False
    try:
        reply = await client.call_leader(
            make_content, ask.max_wait_s if ask is not None else 0.0
        )
        is_received = not isinstance(reply, str)
    finally:
        if not is_received:
            client.ended = [*ended, *client.ended][-MAX_ENDED:]
    return reply


def add(relay: relay_state.Relay, ended: slot_messages.Ended) -> None:
    """Reports the end of a request as soon as possible."""
    relay.slots.ended.append(ended)
    if not relay.slots.is_reporting:
        relay.slots.is_reporting = True
        background.start("slots", _report(relay))


async def _report(relay: relay_state.Relay) -> None:
    failures = 0
    try:
        while relay.slots.ended:
            if isinstance(await call(relay, None), str):
                failures += 1
                if failures >= MAX_FAILURES:
                    relay.slots.ended.clear()
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                failures = 0
    finally:
        relay.slots.is_reporting = False


def _count_unleased(
    relay: relay_state.Relay, start: leaving.Start, leader: str
) -> int:
    """Returns the requests in progress without a lease of a leader."""
    load = relay.own_loads.get(start.endpoint_id, relay_state.Load())
    leased = sum(
        lease.start == start and lease.leader == leader
        for lease in relay.slots.leases.values()
    )
    return max(0, load.running - leased)
