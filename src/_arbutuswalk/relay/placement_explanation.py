"""Explains where a request would go now, and why, without sending it.

Nothing changes that the entry decides by: random numbers are drawn from a
source of its own, and a copy of the quota is charged.
"""

import collections
import copy
import random
from typing import Any
from typing import NamedTuple

from _arbutuswalk.relay import admission
from _arbutuswalk.relay import brittle_endpoints
from _arbutuswalk.relay import connection_limits
from _arbutuswalk.relay import endpoint_limits
from _arbutuswalk.relay import endpoint_pauses
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import permitted_placement
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import slow_start
from _arbutuswalk.relay import stopping
from _arbutuswalk.routing import directory
from _arbutuswalk.routing import routetable
from _arbutuswalk.state import routeconfig

MAX_DRAWS = 20
"""Placements from which the shares of endpoints are estimated."""
MAX_ROWS_READ = 2000
"""Endpoints examined over all draws; an entry serves nothing meanwhile."""


class Query(NamedTuple):
    """The request to explain.

    Attributes:
        host: Host of the route, without a port.
        path: Path of the request.
        workspace: Name of the caller's workspace, empty without one.
        tokens_in: Prompt tokens of a model request, 0 for other requests.
        parts: Ids and tokens of the prompt's parts, shared ones first.
    """

    host: str
    path: str
    workspace: str = ""
    tokens_in: int = 0
    parts: tuple[requests.Part, ...] = ()


def explain(relay: relay_state.Relay, query: Query) -> dict[str, Any]:
    """Returns what would become of a request that arrives now.

    Returns:
        ``entry``; ``refusal`` with ``status`` and ``reason`` if the entry would
        refuse the request, else ``route`` and, for each of its upstreams with
        its weight, what ``_explain_upstream`` returns.
    """
    probe = copy.copy(relay)
    probe.rng = random.Random(0)
    result: dict[str, Any] = {"entry": relay.name, "refusal": None}
    found = _find_request(probe, query)
    if isinstance(found, requests.Request):
        refusal = _find_refusal(probe, found)
    else:
        refusal = found
    if isinstance(found, requests.Request):
        result["route"] = found.route.name
        result["priority"] = found.priority
        result["upstreams"] = {
            target.upstream: {
                "weight": target.weight,
                **_explain_upstream(
                    probe, found._replace(upstream=target.upstream)
                ),
            }
            for target in found.route.targets
        }
    if refusal is not None:
        result["refusal"] = {
            "status": refusal.status,
            "reason": refusal.reason,
            "retry_after_s": round(refusal.retry_after_s, 3),
        }
    return result


def _find_request(
    relay: relay_state.Relay, query: Query
) -> requests.Request | admission.Refusal:
    """Returns the request as the entry would admit it."""
    table = relay.route_table
    if table is None:
        return admission.Refusal(
            admission.STATUS_UNAVAILABLE,
            "no configuration yet",
            admission.STARTUP_RETRY_AFTER_S,
        )
    route = routetable.find_route(table, query.host, query.path)
    if route is None:
        return admission.Refusal(admission.STATUS_NOT_FOUND, "no such route")
    workspaces = {row.name: row for row in table.config.workspaces}
    workspace = workspaces.get(query.workspace)
    needs_key = table.config.requires_keys and not route.anonymous
    if needs_key and (workspace is None or not workspace.keys):
        return admission.Refusal(
            admission.STATUS_UNAUTHORIZED,
            f"no workspace {query.workspace!r} with a key",
        )
    return _make_request(relay, query, route, workspace if needs_key else None)


def _make_request(
    relay: relay_state.Relay,
    query: Query,
    route: routeconfig.Route,
    workspace: routeconfig.Workspace | None,
) -> requests.Request:
    now = relay.now()
    prompt = None
    if query.tokens_in:
        prompt = requests.Prompt("", query.tokens_in, 0, query.parts)
    return requests.Request(
        id="",
        method="POST",
        target=query.path,
        headers=[],
        body=b"",
        route=route,
        upstream=route.targets[0].upstream,
        workspace=workspace,
        received_at=now,
        deadline=now + route.timeout_s,
        caller_deadline_s=route.timeout_s,
        prompt=prompt,
        last_event="",
        fingerprint="",
    )


def _find_refusal(
    relay: relay_state.Relay, request: requests.Request
) -> admission.Refusal | None:
    refused_key = admission.find_refused_key(relay, request)
    if refused_key:
        return admission.Refusal(
            admission.STATUS_UNAVAILABLE, f"{refused_key} crashes endpoints"
        )
    if not stopping.has_time(relay, request, relay.now()):
        return admission.Refusal(
            admission.STATUS_UNAVAILABLE,
            stopping.REASON,
            stopping.RETRY_AFTER_S,
        )
    workspace = request.workspace
    if workspace is None or workspace.name not in relay.quota_buckets:
        return None
    bucket = copy.deepcopy(relay.quota_buckets[workspace.name])
    wait_s = bucket.take(
        admission.quota_cost(request),
        relay.now(),
        entries=relay.entry_count,
        unreachable=relay.unreachable_entries,
        share_draw=0.5,
    )
    if not wait_s:
        return None
    return admission.Refusal(
        admission.STATUS_TOO_MANY_REQUESTS,
        f"quota of workspace {workspace.name}: {bucket.level:.0f} of"
        f" {bucket.burst:.0f} left",
        wait_s,
    )


def _explain_upstream(
    relay: relay_state.Relay, request: requests.Request
) -> dict[str, Any]:
    """Returns the outcome at one upstream and its endpoints.

    Returns:
        ``outcome``: ``sent``, ``waits`` or ``refused``; ``reason`` and
        ``retry_after_s`` of the latter; ``endpoints`` by id.
    """
    row_count = max(1, len(relay.directory.rows))
    draws = max(1, min(MAX_DRAWS, MAX_ROWS_READ // row_count))
    drawn = [
        placement.find_placement(relay, request, set()) for _ in range(draws)
    ]
    found = [chosen for chosen in drawn if chosen is not None]
    outcome: dict[str, Any] = {"outcome": "sent"}
    if not found:
        chosen = permitted_placement.find_after_wait(relay, request, set())
        if chosen is not None:
            found, outcome = [chosen], {"outcome": "waits"}
        else:
            not_sent = permitted_placement.explain_none(relay, request, set())
            outcome = {
                "outcome": "refused",
                "reason": not_sent.reason,
                "retry_after_s": not_sent.retry_after_s,
            }
    counts = collections.Counter(chosen.endpoint.id for chosen in found)
    uncached = {chosen.endpoint.id: chosen.uncached_tokens for chosen in found}
    by_version = {
        row.endpoint.id
        for row in placement.filter_by_version(
            relay, request, list(relay.directory.rows.values())
        )
    }
    outcome["endpoints"] = {
        endpoint_id: {
            "share": round(counts[endpoint_id] / max(1, len(found)), 2),
            "uncached_tokens": uncached.get(endpoint_id),
            **_explain_endpoint(relay, row, endpoint_id in by_version),
        }
        for endpoint_id, row in sorted(relay.directory.rows.items())
        if row.endpoint.upstream == request.upstream
    }
    return outcome


def _explain_endpoint(
    relay: relay_state.Relay, row: directory.Row, has_version: bool
) -> dict[str, Any]:
    """Returns what placement reads of an endpoint, and what speaks against it.

    Waits are in seconds, loads include those of other entries.
    """
    endpoint = row.endpoint
    own, others = relay.known_loads(endpoint.id)
    now = relay.now()
    waits_s = {
        "permit": endpoint_limits.expected_wait(relay, endpoint),
        "pause": endpoint_pauses.expected_wait(relay, endpoint),
        "connection": connection_limits.expected_wait(relay, endpoint),
        "slot": brittle_endpoints.expected_wait(relay, endpoint),
    }
    objections = {
        f"state {endpoint.state}": endpoint.state != directory.READY,
        "domain evacuated": evacuations.is_evacuated(relay, endpoint),
        "other version": not has_version,
        "failed recently": relay.suspect_until.get(endpoint.id, 0.0) > now,
        "warms up": not slow_start.is_warm(relay, endpoint),
        **{
            f"waits for a {name}": wait_s > 0
            for name, wait_s in waits_s.items()
        },
    }
    return {
        "domain": endpoint.domain,
        "version": endpoint.version,
        "running": own[0] + others[0],
        "slots": endpoint.slots,
        "waiting_tokens": own[1] + others[1],
        "slowness": relay.endpoint_speeds.factor(endpoint, now),
        "heard_s_ago": round(now - row.announced_at, 2),
        "waits_s": {
            name: round(wait_s, 3) for name, wait_s in waits_s.items() if wait_s
        },
        "objections": [name for name, holds in objections.items() if holds],
    }
