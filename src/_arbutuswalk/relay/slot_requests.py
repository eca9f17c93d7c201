"""Sends the leader messages about slots of brittle endpoints."""

from collections.abc import Callable
from collections.abc import Sequence

from _arbutuswalk.relay import permit_requests
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import slot_client
from _arbutuswalk.wire import slot_messages
from _arbutuswalk.wire.gen.arbutus import ttypes


def make_caller(
    relay: relay_state.Relay,
    list_feeds: Callable[[], Sequence[permit_requests.Feed]],
) -> slot_client.CallLeader:
    """Returns the function that calls the leader among the watched ones."""

    async def call_leader(
        make_content: slot_client.MakeContent, max_wait_s: float
    ) -> slot_client.LeaderReply | str:
        leader = max(list_feeds(), key=lambda feed: feed.term, default=None)
        if leader is None or not leader.term:
            return "no leader is known"
        if not leader.features.slots:
            return f"{leader.address} gives out no slots"
        if relay.now() < leader.permit_retry_at:
            return f"{leader.address} did not answer recently"
        name = f"{leader.address} in term {leader.term}"
        message = ttypes.SlotRequest(
            entry=relay.name,
            incarnation=relay.incarnation,
            content=slot_messages.encode(make_content(name)),
        )
        reply = await leader.link.call(
            message, timeout_s=permit_requests.TIMEOUT_S + max_wait_s
        )
        if not isinstance(reply, ttypes.SlotReply):
            leader.permit_retry_at = (
                relay.now() + permit_requests.RETRY_INTERVAL_S
            )
            return f"{leader.address} did not answer"
        if reply.status != ttypes.Status.OK:
            leader.permit_retry_at = (
                relay.now() + permit_requests.RETRY_INTERVAL_S
            )
            return f"{leader.address} is not the leader"
        return slot_client.LeaderReply(name, reply.endpoint)

    return call_leader
