"""Asks the leader for permits to use endpoints that have a limit."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

from _arbutuswalk.limits import permits
from _arbutuswalk.relay import control_features
from _arbutuswalk.relay import permit_client
from _arbutuswalk.relay import relay_state
from _arbutuswalk.routing import directory
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

TIMEOUT_S = 0.15
"""Time-out of a request for a permit, for which a caller's request waits."""
RETRY_INTERVAL_S = 0.5
"""Time after a failure in which the same control process is not asked again."""


class Feed(Protocol):
    """The part of a watched control process that is needed here."""

    address: str
    link: link.Link
    term: int
    permit_retry_at: float
    features: control_features.Features


def make_asker(
    relay: relay_state.Relay, list_feeds: Callable[[], Sequence[Feed]]
) -> permit_client.AskLeader:
    """Returns the function that asks the leader among the watched processes."""

    async def ask_leader(
        endpoint: directory.Endpoint,
        limit: permit_client.Limit,
        max_wait_s: float,
    ) -> permit_client.LeaderDecision | str:
        leader = max(list_feeds(), key=lambda feed: feed.term, default=None)
        if leader is None or not leader.term:
            return "no leader is known"
        if not leader.features.permits:
            return f"{leader.address} gives no permits"
        statement = limit.statement
        if statement is None and not leader.features.warm_up_permits:
            return f"{leader.address} gives no permits for warm-ups"
        if relay.now() < leader.permit_retry_at:
            return f"{leader.address} did not answer recently"
        message = ttypes.PermitRequest(
            entry=relay.name,
            endpoint=endpoint.id,
            born_ms=endpoint.born_ms,
            rate_per_s=limit.rate_per_s,
            statement_age_s=relay.now() - statement.stated_at
            if statement
            else 0.0,
            max_wait_s=max_wait_s,
            warms_up=True if statement is None else None,
        )
        reply = await leader.link.call(message, timeout_s=TIMEOUT_S)
        if not isinstance(reply, ttypes.PermitReply):
            leader.permit_retry_at = relay.now() + RETRY_INTERVAL_S
            return f"{leader.address} did not answer"
        if reply.status != ttypes.Status.OK:
            leader.permit_retry_at = relay.now() + RETRY_INTERVAL_S
            return f"{leader.address} is not the leader"
        decision = permits.Granted if reply.granted else permits.Denied
        return permit_client.LeaderDecision(
            leader.address, decision(wait_s=reply.wait_s), reply.asking_entries
        )

    return ask_leader
