"""Announcements of endpoints that may be acknowledged.

Entries watch the members of the group and the seeds. What a process outside of
the group hears, or one that is cut off from the others, may reach no entry: it
hands the announcement over to a member, or else acknowledges nothing.

That an endpoint leaves is committed first. It may say so only once and serve
on, and the processes that know it may all be killed.
"""

import asyncio
import json
import random

from _arbutuswalk.base import events
from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import leaving
from _arbutuswalk.wire.gen.arbutus import ttypes

QUERY = "announce"
"""Query of ``Read`` with which a process hands an announcement to a member."""
HANDOVER_TIMEOUT_S = 0.8
"""Longest time until a member has applied an announcement that was handed over:
endpoints allow one second for the response."""
MEMBER_TIMEOUT_S = 0.5
"""Longest time for one member's reply, so that another one can be asked."""

NOT_COMMITTED = "departure not committed in time"


async def announce(
    discovery: discoveries.Discovery, endpoint: directory.Endpoint
) -> bool:
    """Applies an announcement; returns whether it may be acknowledged.

    If not, it is lost with this process, so that the endpoint has to call
    another one.
    """
    if discovery.member.hears_majority:
        return await _apply(discovery, endpoint)
    discovery.announce(endpoint)
    return await _hand_over(discovery, endpoint)


async def deregister(
    discovery: discoveries.Discovery, endpoint_id: str, born_ms: int | None
) -> bool:
    """Applies a deregistration; returns whether it may be acknowledged.

    It may arrive before the first heartbeat of the same start.
    """
    gone = discovery.make_gone(endpoint_id, born_ms)
    if gone is None:
        # One of a former start ends nothing that is known here now.
        start = leaving.Start(endpoint_id, born_ms)
        return await discovery.departure_log.record(start)
    return await announce(discovery, gone)


async def answer(
    discovery: discoveries.Discovery, message: ttypes.Read
) -> ttypes.ReadReply:
    """Applies an announcement that another control process handed over."""
    endpoint = directory.decode((message.argument or "").encode())
    if isinstance(endpoint, str):
        return ttypes.ReadReply(status=ttypes.Status.INVALID, reason=endpoint)
    if not discovery.member.hears_majority:
        discovery.announce(endpoint)
        return _refuse("no quorum")
    if not await _apply(discovery, endpoint):
        return _refuse(NOT_COMMITTED)
    return ttypes.ReadReply(status=ttypes.Status.OK)


def _refuse(reason: str) -> ttypes.ReadReply:
    return ttypes.ReadReply(status=ttypes.Status.UNAVAILABLE, reason=reason)


async def _apply(
    discovery: discoveries.Discovery, endpoint: directory.Endpoint
) -> bool:
    """Applies an announcement; returns whether it lasts.

    Waits a short time until no entry uses an endpoint that leaves, and until
    its departure is committed.
    """
    is_change = discovery.announce(endpoint)
    if endpoint.state == directory.READY:
        return True
    start = directory.start_of(endpoint)
    committed = asyncio.ensure_future(discovery.departure_log.record(start))
    if endpoint.state == directory.LEAVING:
        await discovery.wait_for_entries(endpoint.id)
    elif is_change:
        await discovery.wait_for_entries()
    if await committed:
        return True
    events.record(
        events.Event.ANNOUNCEMENT_UNACKNOWLEDGED, endpoint.id, NOT_COMMITTED
    )
    return False


async def _hand_over(
    discovery: discoveries.Discovery, endpoint: directory.Endpoint
) -> bool:
    """Returns whether a member of the group has applied an announcement."""
    message = ttypes.Read(query=QUERY, argument=json.dumps(endpoint))
    member = discovery.member
    heard = member.replica.heard_membership.addresses.values()
    known = {*discovery.member_addresses(), *heard} - {member.address}
    reason = "no member is known"
    try:
        async with asyncio.timeout(HANDOVER_TIMEOUT_S):
            for address in random.sample(sorted(known), len(known)):
                reply = await member.link_to(address).call(
                    message, timeout_s=MEMBER_TIMEOUT_S
                )
                if getattr(reply, "status", None) == ttypes.Status.OK:
                    return True
                reason = getattr(reply, "reason", None) or str(reply)
    except TimeoutError:
        reason = "no member answered in time"
    events.record(events.Event.ANNOUNCEMENT_UNACKNOWLEDGED, endpoint.id, reason)
    return False
