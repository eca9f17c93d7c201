"""Keeps requests within the limits of endpoints.

An endpoint that states a limit, or has one as it warms up, is used only with a
permit: from the leader, or from the entry's equal share of the limit while no
leader answers.
"""

import asyncio
import math

from _arbutuswalk.base import events
from _arbutuswalk.limits import permits
from _arbutuswalk.relay import permit_client
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import warm_up_limits
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import stated_limits

OWN_SHARE = "own share"


def record_statement(
    relay: relay_state.Relay,
    endpoint_id: str,
    statement: stated_limits.Statement,
    source: str,
) -> None:
    """Records a limit, or that there is none, that an endpoint stated."""
    before = relay.stated_limits.rate(endpoint_id, statement.born_ms)
    if not relay.stated_limits.record(endpoint_id, statement):
        return
    relay.permits.next_ask_at.pop(endpoint_id, None)
    events.record(
        events.Event.ENDPOINT_LIMIT_CHANGED,
        endpoint_id,
        statement.rate_per_s or 0,
        before or 0,
        source,
    )


def merge_report(
    relay: relay_state.Relay, limits: dict[str, list], source: str
) -> None:
    """Records the limits that a control process reports."""
    statements = stated_limits.from_json(limits, relay.now())
    for endpoint_id, statement in statements.items():
        record_statement(relay, endpoint_id, statement, source)


def record_sent(relay: relay_state.Relay, endpoint: directory.Endpoint) -> None:
    """Counts a request that is sent to an endpoint with a limit."""
    if relay.stated_limits.rate(endpoint.id, endpoint.born_ms) is not None:
        relay.metrics.count("sent_to_limited", f'endpoint="{endpoint.id}"')
    warm_up_limits.record_sent(relay, endpoint)


def are_known(relay: relay_state.Relay) -> bool:
    """Returns whether any endpoint may have a limit."""
    return bool(
        relay.stated_limits.statements or relay.directory.warm_ups.ends_at
    )


def find(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> permit_client.Limit | None:
    """Returns the lowest limit of an endpoint, None without one."""
    stated = relay.stated_limits.rate(endpoint.id, endpoint.born_ms)
    warm_up = warm_up_limits.rate(relay, endpoint)
    if warm_up is not None:
        lowest = warm_up if stated is None else min(warm_up, stated)
        return permit_client.Limit(lowest, None)
    if stated is None:
        return None
    statement = relay.stated_limits.statements[endpoint.id]
    return permit_client.Limit(stated, statement)


def expected_wait(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> float:
    """Returns the time in seconds until a permit may be available.

    It is zero for an endpoint without a limit.
    """
    if find(relay, endpoint) is None:
        return 0.0
    next_ask_at = relay.permits.next_ask_at.get(endpoint.id, -math.inf)
    return max(0.0, next_ask_at - relay.now())


async def acquire(
    relay: relay_state.Relay, endpoint: directory.Endpoint, max_wait_s: float
) -> bool:
    """Acquires a permit to send one request, waiting until it is valid.

    Returns:
        Whether the request may be sent now. It may if the endpoint has no
        limit.
    """
    limit = find(relay, endpoint)
    if limit is None:
        return True
    rate_per_s = limit.rate_per_s
    asked_at = relay.now()
    reply = await relay.permits.ask_leader(endpoint, limit, max_wait_s)
    if isinstance(reply, permit_client.LeaderDecision):
        _record_source(relay, reply.leader, "")
        relay.permits.pacers.clear()
        decision, asking = reply.decision, reply.asking_entries
    else:
        _record_source(relay, OWN_SHARE, reply)
        decision, asking = (
            _take_share(relay, endpoint, limit, max_wait_s),
            0,
        )
    outcome = type(decision).__name__
    relay.metrics.count(
        "permits", f'source="{relay.permits.source}",outcome="{outcome}"'
    )
    if isinstance(decision, permits.Granted):
        relay.metrics.record(
            "permit", "", relay.now() - asked_at + decision.wait_s
        )
        await asyncio.sleep(decision.wait_s)
        return True
    relay.permits.next_ask_at[endpoint.id] = (
        relay.now()
        + permits.ask_again_after(
            decision.wait_s, rate_per_s, asking, relay.rng.random()
        )
    )
    return False


def _take_share(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    limit: permit_client.Limit,
    max_wait_s: float,
) -> permits.Decision:
    rate_per_s = limit.rate_per_s
    if limit.statement is None:
        rate_per_s *= permits.WARM_UP_OWN_SHARE
    pacer = relay.permits.pacers.setdefault(endpoint.id, permits.SharePacer())
    return pacer.take(
        rate_per_s,
        relay.entry_count,
        max_wait_s,
        relay.now(),
        relay.rng.random(),
    )


def _record_source(relay: relay_state.Relay, source: str, reason: str) -> None:
    if relay.permits.source != source:
        relay.permits.source = source
        events.record(
            events.Event.PERMIT_SOURCE_CHANGED,
            source,
            relay.entry_count,
            reason,
        )


def remove_unknown(relay: relay_state.Relay) -> None:
    """Forgets the limits of endpoints that are no longer known."""
    known = relay.directory.rows
    relay.stated_limits.remove_unknown(known)
    for values in (relay.permits.next_ask_at, relay.permits.pacers):
        for endpoint_id in [name for name in values if name not in known]:
            del values[endpoint_id]
