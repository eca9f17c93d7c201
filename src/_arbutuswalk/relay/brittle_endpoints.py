"""Keeps brittle endpoints from having to turn requests away.

A request is sent to a brittle endpoint only with one of its slots: from the
leader, or from the entry's equal share of them while no leader answers.
"""

import asyncio
import zlib
from collections.abc import Sequence

from _arbutuswalk.base import events
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.relay import slot_client
from _arbutuswalk.relay import slot_reports
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import stated_limits
from _arbutuswalk.streams import replies
from _arbutuswalk.wire import slot_messages

OWN_SHARE = "own share"
LINGER_S = 1.0
"""Time for which an endpoint may go on with a request that was given up: most
endpoints notice the end of the connection."""
RETRY_AFTER_S = 0.5
"""Time after which another slot is expected to be free."""
LEADER_RETRY_INTERVAL_S = 0.02
OWN_SHARE_AFTER_S = 1.0
"""Time without a reply of a leader after which the entry uses its share. A
change of the leader takes less, and what entries send without a leader is
likely to be turned away."""
TURN_S = 4.0
"""Time for which the same entries have a slot, if there are more of them."""
USED_SHARE = 0.5
"""Part of the slots that is used then on average. Chance may give more entries
one than there are."""
MAX_CRC32 = 2**32
MIN_AWAY_S = 1.0
MAX_AWAY_S = 60.0


def record_reply(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    reply: replies.Reply,
    request_id: str,
) -> None:
    """Records what the head of an endpoint's answer states.

    An answer of another endpoint at the address states nothing.
    """
    if reply.is_misdirected:
        return
    start = directory.start_of(endpoint)
    if reply.invalid_brittle is not None:
        if start not in relay.slots.invalid_from:
            relay.slots.invalid_from.add(start)
            events.record(
                events.Event.ENDPOINT_BRITTLE_INVALID,
                endpoint.id,
                reply.invalid_brittle,
            )
        return
    statement = stated_limits.Statement(
        endpoint.born_ms, reply.rejections_per_s, relay.now()
    )
    _record_statement(
        relay,
        endpoint.id,
        statement,
        request_id,
        keeps_none=rejections_per_s(relay, endpoint) is not None,
    )
    if reply.has_no_room and rejections_per_s(relay, endpoint) is not None:
        relay.metrics.count("brittle_rejections", f'endpoint="{endpoint.id}"')


def merge_report(
    relay: relay_state.Relay, table: dict[str, list], source: str
) -> None:
    """Records the statements that a control process reports."""
    statements = stated_limits.from_json(table, relay.now())
    for endpoint_id, statement in statements.items():
        _record_statement(relay, endpoint_id, statement, source)


def _record_statement(
    relay: relay_state.Relay,
    endpoint_id: str,
    statement: stated_limits.Statement,
    source: str,
    *,
    keeps_none: bool = False,
) -> None:
    table = relay.stated_brittle
    before = table.rate(endpoint_id, statement.born_ms)
    if table.record(endpoint_id, statement, keeps_none=keeps_none):
        events.record(
            events.Event.ENDPOINT_BRITTLE_CHANGED,
            endpoint_id,
            statement.rate_per_s,
            before,
            source,
        )


def rejections_per_s(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> float | None:
    """Returns how many rejections a brittle endpoint survives.

    A start that has not answered yet is like the others of its upstream.

    Returns:
        The rejections per second, None if the endpoint is not brittle.
    """
    statements = relay.stated_brittle.statements
    if not statements:
        return None
    own = statements.get(endpoint.id)
    if own is not None and own.born_ms == endpoint.born_ms:
        return own.rate_per_s
    rows = relay.directory.rows
    return min(
        (
            statement.rate_per_s
            for endpoint_id, statement in statements.items()
            if statement.rate_per_s is not None
            and endpoint_id in rows
            and rows[endpoint_id].endpoint.upstream == endpoint.upstream
        ),
        default=None,
    )


def expected_wait(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> float:
    """Returns the time after which a slot may be free, 0 if none is needed."""
    is_brittle = rejections_per_s(relay, endpoint) is not None
    return RETRY_AFTER_S if is_brittle else 0.0


async def acquire(
    relay: relay_state.Relay,
    request: requests.Request,
    candidates: Sequence[directory.Endpoint],
    max_wait_s: float,
) -> tuple[str, str]:
    """Acquires a slot of one of several brittle endpoints.

    Args:
        relay: State of the entry.
        request: The request.
        candidates: The endpoints, the preferred one first.
        max_wait_s: Longest wait for a slot.

    Returns:
        Ids of the endpoint and of the lease. Both are empty without a slot; the
        lease is, if no leader gave it out.
    """
    client = relay.slots
    asked_at = now = relay.now()
    while True:
        left_s = max(0.0, asked_at + max_wait_s - now)
        ask = _make_ask(relay, request, candidates, left_s)
        reply = await _ask_leader(relay, ask)
        now = relay.now()
        has_no_leader = now - client.replied_at > OWN_SHARE_AFTER_S
        if not isinstance(reply, str) or has_no_leader:
            break
        if now - asked_at >= max_wait_s:
            break
        await asyncio.sleep(LEADER_RETRY_INTERVAL_S)
        now = relay.now()
    lease_id, endpoint_id = ask.lease_id, ""
    if not isinstance(reply, str):
        client.replied_at, endpoint_id = now, reply.endpoint_id
        _record_source(relay, reply.leader, "")
        relay.metrics.record("slot_wait", "", now - asked_at)
    elif has_no_leader:
        endpoint_id, lease_id = _choose_share(relay, candidates), ""
        _record_source(relay, OWN_SHARE, reply)
    outcome = "Granted" if endpoint_id else "Denied"
    relay.metrics.count("slots", f'outcome="{outcome}"')
    if not endpoint_id or not lease_id:
        return endpoint_id, ""
    granted = next(e for e in candidates if e.id == endpoint_id)
    client.leases[lease_id] = slot_client.Lease(
        reply.leader, directory.start_of(granted)
    )
    return endpoint_id, lease_id


def _make_ask(
    relay: relay_state.Relay,
    request: requests.Request,
    candidates: Sequence[directory.Endpoint],
    max_wait_s: float,
) -> slot_messages.Ask:
    relay.slots.lease_count += 1
    left_s = max(0.0, request.deadline - relay.now())
    return slot_messages.Ask(
        lease_id=f"{relay.name}/{relay.incarnation}/{relay.slots.lease_count}",
        lease_s=left_s + LINGER_S,
        max_wait_s=max_wait_s,
        candidates=tuple(
            slot_messages.Candidate(
                e.id, e.born_ms, e.slots, rejections_per_s(relay, e) or 0.0
            )
            for e in candidates
        ),
    )


async def _ask_leader(
    relay: relay_state.Relay, ask: slot_messages.Ask
) -> slot_client.LeaderReply | str:
    """Asks the leader; a slot is given back if its reply does not arrive."""
    reply: slot_client.LeaderReply | str = ""
    try:
        reply = await slot_reports.call(relay, ask)
    finally:
        if isinstance(reply, str):
            slot_reports.add(relay, slot_messages.Ended(ask.lease_id))
    return reply


def _choose_share(
    relay: relay_state.Relay, candidates: Sequence[directory.Endpoint]
) -> str:
    """Returns an endpoint with a free slot in this entry's share."""
    now = relay.now()
    for endpoint in candidates:
        own = relay.own_loads.get(endpoint.id, relay_state.Load()).running
        away_until = relay.slots.away_until.get(directory.start_of(endpoint))
        share = _count_own_slots(relay, endpoint, now)
        if own < share and (away_until is None or away_until < now):
            return endpoint.id
    return ""


def _count_own_slots(
    relay: relay_state.Relay, endpoint: directory.Endpoint, now: float
) -> int:
    """Returns this entry's share of an endpoint's slots.

    With more entries than slots some have one for a time, chosen at random.
    """
    entries = max(1, relay.entry_count)
    if endpoint.slots >= entries:
        return endpoint.slots // entries
    turn = f"{relay.name}/{endpoint.id}/{now // TURN_S}".encode()
    draw = zlib.crc32(turn) / MAX_CRC32
    return int(draw < USED_SHARE * endpoint.slots / entries)


def release(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    lease_id: str,
    result: results.Result | None,
    *,
    has_no_room: bool = False,
) -> None:
    """Reports the end of an attempt, which does not count as load any more.

    Args:
        relay: State of the entry.
        endpoint: Endpoint that the request was sent to.
        lease_id: Its lease, empty without one.
        result: How the attempt ended, None if it was cancelled.
        has_no_room: Whether the endpoint turned it away for want of room.
    """
    limit = rejections_per_s(relay, endpoint)
    if limit is None and not lease_id:
        return
    start = directory.start_of(endpoint)
    relay.slots.leases.pop(lease_id, None)
    if has_no_room:
        relay.slots.away_until[start] = relay.now() + _away_s(relay, limit)
    is_given_up = result is None or isinstance(
        result, results.Lost | results.TimedOut | results.CallerLeft
    )
    slot_reports.add(
        relay,
        slot_messages.Ended(
            lease_id,
            *start,
            rejected=has_no_room,
            linger_s=LINGER_S if is_given_up else 0.0,
        ),
    )


def drop(relay: relay_state.Relay, lease_id: str) -> None:
    """Gives back a slot that no request was sent to."""
    lease = relay.slots.leases.pop(lease_id, None)
    if lease is not None:
        slot_reports.add(relay, slot_messages.Ended(lease_id, *lease.start))


def _away_s(relay: relay_state.Relay, limit: float | None) -> float:
    """Returns a time after which the entry's share permits a rejection."""
    mean_s = relay.entry_count / max(1.0, limit or 0.0)
    mean_s = min(MAX_AWAY_S, max(MIN_AWAY_S, mean_s))
    return mean_s * (0.5 + relay.rng.random())


def _record_source(relay: relay_state.Relay, source: str, reason: str) -> None:
    if relay.slots.source != source:
        relay.slots.source = source
        events.record(
            events.Event.SLOT_SOURCE_CHANGED, source, relay.entry_count, reason
        )


def remove_unknown(relay: relay_state.Relay) -> None:
    """Forgets the statements of endpoints that are no longer known."""
    relay.stated_brittle.remove_unknown(relay.directory.rows)
    starts = directory.known_starts(relay.directory)
    client = relay.slots
    client.invalid_from = {s for s in client.invalid_from if s in starts}
    client.away_until = {
        start: until
        for start, until in client.away_until.items()
        if start in starts
    }
