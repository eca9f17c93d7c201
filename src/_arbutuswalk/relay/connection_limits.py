"""Keeps connections to endpoints within their limit for all entries together.

What other entries use is known from the loads that control reports, with their
delay: requests that many entries start within it may go beyond the limit. Until
control has reported the number of entries, the usual one is assumed.
"""

import asyncio
import itertools
from typing import NamedTuple

from _arbutuswalk.limits import connections
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import directory
from _arbutuswalk.streams import connection as streams_connection

RETRY_AFTER_S = 0.5
"""Time after which another connection is expected to be free: that in which
entries learn what others have released."""


class Waiter(NamedTuple):
    """A request that waits for a connection; the least one is next."""

    priority: int
    deadline: float
    number: int
    woken: asyncio.Event


_waiter_numbers = itertools.count()


def has_own_connection(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> bool:
    """Returns whether the entry's own connections are not all in use."""
    own = relay.own_loads.get(endpoint.id)
    if own is None:
        return True
    division = _divide(relay, endpoint)
    return division is None or connections.has_own(division, own.running)


def may_use_another(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> bool:
    """Returns whether another request may be sent to an endpoint."""
    division = _divide(relay, endpoint)
    return division is None or connections.may_use_another(
        division,
        relay.own_loads.get(endpoint.id, relay_state.Load()).running,
        relay.other_loads.get(endpoint.id, relay_state.Load()).running,
    )


def may_keep_idle(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> bool:
    """Returns whether a connection that is still in use may become idle."""
    division = _divide(relay, endpoint)
    if division is None:
        return True
    in_use = relay.own_loads.get(endpoint.id, relay_state.Load()).running
    idle = len(relay.pool.idle.get(endpoint.address, ()))
    return in_use + idle <= division.own


def release(
    relay: relay_state.Relay,
    endpoint: directory.Endpoint,
    connection: streams_connection.Connection,
) -> None:
    """Returns a connection to the pool, or closes it if it may not be kept.

    It may be one too many, or go through a peer that is about to stop.
    """
    is_wanted = relay.paths.may_reuse(connection.peer)
    if not is_wanted or not may_keep_idle(relay, endpoint):
        connection.reusable = False
    relay.pool.release(connection)


def expected_wait(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> float:
    """Returns the time in seconds until a connection may be free."""
    return 0.0 if may_use_another(relay, endpoint) else RETRY_AFTER_S


async def wait(
    relay: relay_state.Relay, request: requests.Request, timeout_s: float
) -> None:
    """Waits until it is the request's turn to look for a connection."""
    waiter = Waiter(
        request.priority,
        request.deadline,
        next(_waiter_numbers),
        asyncio.Event(),
    )
    waiters = relay.connection_waiters.setdefault(request.upstream, [])
    waiters.append(waiter)
    try:
        async with asyncio.timeout(timeout_s):
            await waiter.woken.wait()
    except TimeoutError:
        return
    finally:
        if waiter in waiters:
            waiters.remove(waiter)


def wake_next(relay: relay_state.Relay, upstream: str) -> None:
    """Wakes the next request that waits for a connection to an upstream."""
    waiters = relay.connection_waiters.get(upstream)
    if waiters:
        waiter = min(waiters)
        waiters.remove(waiter)
        waiter.woken.set()


def _divide(
    relay: relay_state.Relay, endpoint: directory.Endpoint
) -> connections.Division | None:
    """Returns the division of an endpoint's connections, None without limit."""
    limit = relay.route_table.connection_limits.get(endpoint.upstream)
    if not limit:
        return None
    return connections.divide(limit, relay.entry_count, endpoint.slots)
