"""Admission control: selects a request's route or refuses the request."""

from typing import NamedTuple

from _arbutuswalk.limits import quota_levels
from _arbutuswalk.relay import late_requests
from _arbutuswalk.relay import quota_buckets
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import stopping
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import refusals
from _arbutuswalk.routing import routetable
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import replies

STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_CONTENT_TOO_LARGE = 413
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503
STARTUP_RETRY_AFTER_S = 0.3
"""Retry-After of an entry that has no configuration yet."""
MAX_RETRY_AFTER_S = 5.0
RETRY_AFTER_JITTER_FRACTION = 0.5
"""Random increase of Retry-After, as a share of the wait."""
DEFAULT_DEADLINE_S = 60.0
"""Deadline of a caller that sets none; the route's time-out is shorter."""


class IncomingRequest(NamedTuple):
    """A request as it was read, before admission.

    Attributes:
        id: Id of the caller's attempt, empty if there is none.
        method: HTTP method.
        host: Host header in lower case, without the port.
        path: Path without the query.
        target: Path and query as received.
        key: API key of the caller, empty if there is none.
        deadline_s: Time the caller waits, None if not specified.
        headers: Headers to forward.
        body: Complete body.
        prompt: Prompt of a model request, None for other requests.
        last_event: Id of the last event that the caller has, or empty.
        received_at: When it was read, in seconds.
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
    received_at: float


class Refusal(NamedTuple):
    """Refusal of a request, which has not run and will not be run."""

    status: int
    reason: str
    retry_after_s: float = 0.0


def admit(
    relay: relay_state.Relay, incoming: IncomingRequest
) -> requests.Request | Refusal:
    """Returns the request to relay, or its refusal."""
    if relay.route_table is None:
        reason = "no configuration yet"
        return Refusal(STATUS_UNAVAILABLE, reason, STARTUP_RETRY_AFTER_S)
    route = routetable.find_route(
        relay.route_table, incoming.host, incoming.path
    )
    if route is None:
        return Refusal(STATUS_NOT_FOUND, "no such route")
    if not incoming.id:
        return Refusal(STATUS_BAD_REQUEST, "the request bears no id")
    refusal = check_body_size(relay, len(incoming.body))
    if refusal is not None:
        return refusal
    workspace = None
    if relay.route_table.config.requires_keys and not route.anonymous:
        workspace = relay.route_table.workspaces_by_key.get(incoming.key)
        if workspace is None:
            return Refusal(STATUS_UNAUTHORIZED, "unknown key")
    request = _make_request(relay, incoming, route, workspace)
    refused_key = find_refused_key(relay, request)
    if refused_key:
        return Refusal(
            STATUS_UNAVAILABLE,
            f"{refused_key} crashes endpoints",
            refusals.RETENTION_S,
        )
    if not stopping.has_time(relay, request, relay.now()):
        return Refusal(
            STATUS_UNAVAILABLE, stopping.REASON, stopping.RETRY_AFTER_S
        )
    relay.lateness.record(route.name, incoming.deadline_s)
    refusal = _take_quota(relay, request)
    if refusal is None and relay.options.rejects_late:
        refusal = _refuse_late(relay, request)
    return refusal or request


def find_refused_key(
    relay: relay_state.Relay, request: requests.Request
) -> str:
    """Returns what of a request is refused, empty if nothing is."""
    if not relay.refusals.rows:
        return ""
    return relay.refusals.find(request.crash_keys, relay.now())


def check_body_size(relay: relay_state.Relay, size: int) -> Refusal | None:
    """Returns the refusal of a body over the limit of the configuration."""
    if relay.route_table is None:
        return None
    max_body_bytes = relay.route_table.config.limits.max_body_bytes
    if not max_body_bytes or size <= max_body_bytes:
        return None
    return Refusal(
        STATUS_CONTENT_TOO_LARGE, f"body over {max_body_bytes} bytes"
    )


def _make_request(
    relay: relay_state.Relay,
    incoming: IncomingRequest,
    route: routeconfig.Route,
    workspace: routeconfig.Workspace | None,
) -> requests.Request:
    caller_deadline_s = incoming.deadline_s
    if caller_deadline_s is None:
        caller_deadline_s = DEFAULT_DEADLINE_S
    return requests.Request(
        id=incoming.id,
        method=incoming.method,
        target=incoming.target,
        headers=incoming.headers,
        body=incoming.body,
        route=route,
        upstream=routetable.pick_target(route, relay.rng),
        workspace=workspace,
        received_at=incoming.received_at,
        deadline=incoming.received_at + min(caller_deadline_s, route.timeout_s),
        caller_deadline_s=caller_deadline_s,
        prompt=incoming.prompt,
        last_event=incoming.last_event,
        fingerprint=crashes.fingerprint(
            workspace.name if workspace else "", incoming.target, incoming.body
        ),
    )


def _take_quota(
    relay: relay_state.Relay, request: requests.Request
) -> Refusal | None:
    """Takes the request's cost from its workspace's quota."""
    workspace = request.workspace
    if workspace is None or not workspace.rate_per_s:
        return None
    now = relay.now()
    bucket = relay.quota_buckets[workspace.name]
    cost = quota_cost(request)
    labels = f'workspace="{workspace.name}"'
    limit = quota_levels.window_limit(
        workspace.rate_per_s, workspace.burst, relay.options.quota
    )
    if workspace.by_tokens and cost > limit:
        relay.metrics.count("quota_refused", labels, cost)
        return Refusal(
            STATUS_TOO_MANY_REQUESTS,
            f"{cost} tokens exceed what the quota of workspace"
            f" {workspace.name} permits in a window, {limit:.0f}",
        )
    wait_s = bucket.take(
        cost,
        now,
        entries=relay.entry_count,
        unreachable=relay.unreachable_entries,
        late=relay.lateness.is_late(request, now),
        share_draw=relay.rng.random(),
    )
    if not wait_s:
        relay.metrics.count("quota_taken", labels, cost)
        return None
    relay.metrics.count("quota_refused", labels, cost)
    # Random, so that requests refused together are not all sent again at once.
    wait_s *= 1 + RETRY_AFTER_JITTER_FRACTION * relay.rng.random()
    return Refusal(
        STATUS_TOO_MANY_REQUESTS,
        f"quota of workspace {workspace.name} is used up:"
        f" {bucket.level:.0f} of {bucket.burst:.0f} tokens, rate"
        f" {bucket.rate:.0f}, part {bucket.usable_fraction:.2f}, others take"
        f" {bucket.others_rate:.0f}, heard"
        f" {now - bucket.last_report_at:.2f} s ago",
        min(MAX_RETRY_AFTER_S, wait_s),
    )


def _refuse_late(
    relay: relay_state.Relay, request: requests.Request
) -> Refusal | None:
    """Returns the refusal of a late request, whose quota is given back."""
    not_sent = late_requests.admit(relay, request)
    if not_sent is None:
        return None
    workspace = request.workspace
    if workspace is not None and workspace.rate_per_s:
        cost = quota_cost(request)
        quota_buckets.give_back(relay.quota_buckets[workspace.name], cost)
        labels = f'workspace="{workspace.name}"'
        relay.metrics.count("quota_taken", labels, -cost)
    return Refusal(STATUS_UNAVAILABLE, not_sent.reason, not_sent.retry_after_s)


def quota_cost(request: requests.Request) -> int:
    """Returns the cost of a request in its workspace's quota."""
    if not request.workspace.by_tokens:
        return 1
    return request.tokens or request.workspace.default_tokens
