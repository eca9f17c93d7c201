"""Decides whether a request may be relayed, and by which route."""

from typing import NamedTuple

from _arbutuswalk.limits import quota
from _arbutuswalk.relay import core
from _arbutuswalk.relay import request as requests
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import routetable
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import replies

STATUS_BAD_REQUEST = 400
STATUS_NO_KEY = 401
STATUS_NO_ROUTE = 404
STATUS_TOO_LARGE = 413
STATUS_OVER_QUOTA = 429
STATUS_UNAVAILABLE = 503
STARTING_RETRY_S = 0.3
"""When to come back to an entry that has no configuration yet."""
MAX_RETRY_AFTER_S = 5.0
RETRY_SPREAD = 0.5
"""Part of the wait over which returns are spread."""
DEFAULT_DEADLINE_S = 60.0
"""Deadline of a caller that names none; the route's time-out is shorter."""


class Arrival(NamedTuple):
    """A request as it was read, before anything is known of it.

    Attributes:
        id: Id of the caller's attempt, empty if it bears none.
        host: Host header, lower case, without a port.
        path: Path without its query.
        key: Caller's key, empty if there is none.
        deadline_s: Time the caller waits, None if it does not say.
        headers: Headers to pass on.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    key: str
    deadline_s: float | None
    headers: replies.Headers
    body: bytes
    prompt: requests.Prompt | None
    last_event: str
    came_at: float


class Refusal(NamedTuple):
    """Why a request is not relayed; it has not run and never will."""

    status: int
    reason: str
    retry_after_s: float = 0.0


def admit(relay: core.Relay, arrival: Arrival) -> requests.Request | Refusal:
    """Returns the request to relay, or why it is refused."""
    if relay.table is None:
        reason = "no configuration yet"
        return Refusal(STATUS_UNAVAILABLE, reason, STARTING_RETRY_S)
    route = routetable.find(relay.table, arrival.host, arrival.path)
    if route is None:
        return Refusal(STATUS_NO_ROUTE, "no such route")
    if not arrival.id:
        return Refusal(STATUS_BAD_REQUEST, "the request bears no id")
    limit = relay.table.config.limits.max_body_bytes
    if limit and len(arrival.body) > limit:
        return Refusal(STATUS_TOO_LARGE, f"body over {limit} bytes")
    workspace = None
    if relay.table.holders and not route.anonymous:
        workspace = relay.table.holders.get(arrival.key)
        if workspace is None:
            return Refusal(STATUS_NO_KEY, "unknown key")
    request = _request(relay, arrival, route, workspace)
    if request.fingerprint in relay.refused:
        reason = f"it crashed {crashes.DEATHS} endpoints"
        return Refusal(STATUS_UNAVAILABLE, reason, crashes.KEPT_S)
    relay.patience.note(route.name, arrival.deadline_s)
    refusal = _take_quota(relay, request)
    return refusal or request


def _request(
    relay: core.Relay,
    arrival: Arrival,
    route: routeconfig.Route,
    workspace: routeconfig.Workspace | None,
) -> requests.Request:
    waits_s = arrival.deadline_s
    if waits_s is None:
        waits_s = DEFAULT_DEADLINE_S
    return requests.Request(
        id=arrival.id,
        method=arrival.method,
        target=arrival.target,
        headers=arrival.headers,
        body=arrival.body,
        route=route,
        upstream=routetable.pick_target(route, relay.rng),
        workspace=workspace,
        came_at=arrival.came_at,
        deadline=arrival.came_at + min(waits_s, route.timeout_s),
        waits_s=waits_s,
        prompt=arrival.prompt,
        last_event=arrival.last_event,
        fingerprint=crashes.fingerprint(
            workspace.name if workspace else "", arrival.target, arrival.body
        ),
    )


def _take_quota(relay: core.Relay, request: requests.Request) -> Refusal | None:
    """Takes the request's cost out of its workspace's quota."""
    workspace = request.workspace
    if workspace is None or not workspace.rate_per_s:
        return None
    now = relay.now()
    bucket = _bucket(relay, workspace, now)
    wait_s = bucket.take(
        cost(request),
        now,
        entries=relay.entries,
        unreachable=relay.silent,
        late=relay.patience.is_late(request, now),
    )
    if not wait_s:
        return None
    # Spread out, so that those refused together do not return together.
    wait_s *= 1 + RETRY_SPREAD * relay.rng.random()
    return Refusal(
        STATUS_OVER_QUOTA,
        f"quota of workspace {workspace.name} is used up:"
        f" {bucket.level:.0f} of {bucket.burst:.0f} tokens, rate"
        f" {bucket.rate:.0f}, part {bucket.usable_fraction:.2f}, others take"
        f" {bucket.others_rate:.0f}, heard"
        f" {now - bucket.last_report_at:.2f} s ago",
        min(MAX_RETRY_AFTER_S, wait_s),
    )


def _bucket(
    relay: core.Relay, workspace: routeconfig.Workspace, now: float
) -> quota.Bucket:
    rate, burst = workspace.rate_per_s, workspace.burst
    if workspace.by_tokens:
        rate, burst = quota.effective_quota(rate, burst, relay.options.quota)
    bucket = relay.buckets.get(workspace.name)
    if bucket is None:
        bucket = quota.Bucket(rate=rate, burst=burst, now=now)
        relay.buckets[workspace.name] = bucket
    elif (bucket.rate, bucket.burst) != (rate, burst):
        bucket.resize(rate, burst, now)
    return bucket


def cost(request: requests.Request) -> int:
    """Returns what a request takes of its workspace's quota."""
    if not request.workspace.by_tokens:
        return 1
    return request.tokens or request.workspace.default_tokens
