"""Callers' routes to plain services, repeatable or not."""

import asyncio
import uuid
from typing import Any
from typing import NamedTuple

from starlette import responses

from _arbutuswalk.entry import calls
from _arbutuswalk.entry import core
from _arbutuswalk.entry import exchange
from _arbutuswalk.entry import http
from _arbutuswalk.entry import models
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import requests
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import upstreams
from _arbutuswalk.routing import version_outcomes
from _arbutuswalk.routing import versions
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import answer

PREFIX = "/v1/services/"
MAX_ATTEMPTS = 5
PAUSE_S = 0.05
FORWARDED = ("content-type", "accept", "accept-language")


class ServiceCall(NamedTuple):
    """A checked call to a plain service.

    Attributes:
        call_id: Id of the call.
        workspace: Who asks.
        upstream: The service, from the inventory.
        route: The route, from the inventory.
        method: HTTP method.
        path: Path and query on the service.
        headers: Headers to forward.
        body: Body to forward.
        key: Idempotency key, or empty.
        deadline: When the caller stops to wait, in seconds.
        priority: Passed on.
    """

    call_id: str
    workspace: str
    upstream: inventories.Upstream
    route: inventories.Route
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    key: str
    deadline: float
    priority: int


class ServiceRoute:
    """ASGI endpoint for all plain services."""

    def __init__(self, *, entry: core.Entry):
        self.entry = entry

    async def __call__(
        self, scope: dict[str, Any], receive: http.Receive, send: http.Send
    ) -> None:
        """Serves one call."""
        body = await http.read_body(receive)
        if isinstance(body, answer.Problem):
            await models.refuse(self.entry, body, scope, receive, send)
            return
        call = check(self.entry, scope, body)
        if isinstance(call, answer.Problem):
            await models.refuse(self.entry, call, scope, receive, send)
            return
        result = await self._run(call)
        if isinstance(result, answer.Problem):
            await models.refuse(self.entry, result, scope, receive, send)
            return
        response = responses.Response(
            result.body,
            status_code=result.status,
            media_type=result.content_type or None,
            headers={"X-Request-Id": call.call_id},
        )
        await response(scope, receive, send)

    async def _run(self, call: ServiceCall) -> exchange.Reply | answer.Problem:
        if call.route["repeatable"]:
            return await _run_repeatable(self.entry, call)
        # A call that may have begun runs to its end, whoever still listens.
        task = asyncio.ensure_future(calls.run_once(self.entry, call))
        self.entry.hold(task)
        return await asyncio.shield(task)


def check(
    entry: core.Entry, scope: dict[str, Any], body: bytes
) -> ServiceCall | answer.Problem:
    """Checks a call against the configuration in force."""
    headers = http.headers_of(scope)
    problem = http.not_admitting(entry)
    if problem is not None:
        return problem
    workspace = http.workspace_of(entry, headers)
    if isinstance(workspace, answer.Problem):
        return workspace
    terms = requests.parse_terms(headers)
    if isinstance(terms, answer.Problem):
        return terms
    found = _find_route(entry, scope)
    if isinstance(found, answer.Problem):
        return found
    upstream, route, path = found
    if not route["repeatable"] and not terms.key:
        detail = "this route may not be repeated: send an Idempotency-Key"
        return requests.bad("missing key", detail)
    return ServiceCall(
        call_id=requests.new_request_id(entry.name),
        workspace=workspace["name"],
        upstream=upstream,
        route=route,
        method=scope["method"],
        path=path,
        headers={n: v for n, v in headers.items() if n in FORWARDED},
        body=body,
        key=terms.key,
        deadline=entry.now() + terms.deadline_s,
        priority=terms.priority,
    )


def _find_route(
    entry: core.Entry, scope: dict[str, Any]
) -> tuple[inventories.Upstream, inventories.Route, str] | answer.Problem:
    name, _, rest = scope["path"].removeprefix(PREFIX).partition("/")
    upstream = inventories.find_upstream(entry.inventory, name)
    if upstream is None or upstream["kind"] != "service":
        return requests.bad("unknown service", f"{name!r} is unknown", 404)
    path = f"/{rest}"
    route = inventories.find_route(upstream, scope["method"], path)
    if route is None:
        known = ", ".join(
            f"{'|'.join(item['methods'])} {item['path']}"
            for item in upstream["routes"]
        )
        detail = f"{scope['method']} {path} is no route; known: {known}"
        return requests.bad("unknown route", detail, 404)
    query = scope.get("query_string", b"").decode("latin-1")
    return upstream, route, f"{path}?{query}" if query else path


def choose_upstream(
    entry: core.Entry, call: ServiceCall, avoid: frozenset[str]
) -> upstreams.Row | None:
    """Returns the upstream for the next attempt, or None if all are full."""
    rows = placing.candidates(
        entry, call.upstream["name"], call.route["name"], call.call_id
    )
    features = choose.Features(0, (), call.call_id)
    return choose.choose(rows, features, avoid=avoid)


async def _run_repeatable(
    entry: core.Entry, call: ServiceCall
) -> exchange.Reply | answer.Problem:
    """Runs a repeatable call, again elsewhere when it fails."""
    budget = entry.budget_of(call.upstream["name"])
    budget.deposit()
    avoid: set[str] = set()
    sent = False
    for attempt in range(MAX_ATTEMPTS):
        if attempt and not await _take_retry(entry, budget, call.deadline):
            break
        row = await wait_for_upstream(entry, call, frozenset(avoid))
        if row is None:
            break
        result = await _attempt(entry, call, row)
        if isinstance(result, exchange.Reply):
            if result.status < 500:
                return result
            if attempt + 1 == MAX_ATTEMPTS:
                return result
        sent = sent or not isinstance(result, exchange.NotOpened)
        avoid.add(row.key)
    return answer.Problem(
        504 if sent else 503,
        "service unavailable",
        f"no upstream of {call.upstream['name']} answered in time",
        "unknown" if sent else "no",
        placing.RETRY_AFTER_S,
    )


async def _take_retry(entry: core.Entry, budget, deadline: float) -> bool:
    while entry.now() < deadline:
        if budget.withdraw(entry.now()):
            return True
        await asyncio.sleep(PAUSE_S)
    return False


async def wait_for_upstream(
    entry: core.Entry, call: ServiceCall, avoid: frozenset[str]
) -> upstreams.Row | None:
    """Waits for an upstream with a free slot; None at the deadline.

    Does not wait at all when no upstream of that name is up: the caller is
    told to come back.
    """
    while entry.now() < call.deadline:
        row = choose_upstream(entry, call, avoid)
        if row is not None:
            return row
        if not upstreams.usable(
            entry.upstreams, call.upstream["name"], entry.now()
        ):
            return None
        await asyncio.sleep(PAUSE_S)
    return None


async def _attempt(
    entry: core.Entry,
    call: ServiceCall,
    row: upstreams.Row,
) -> exchange.Result:
    row.sent_since_report += 1
    row.active_attempts[call.call_id] = None
    started = entry.now()
    timeout_s = min(entry.values["service_timeout_s"], call.deadline - started)
    try:
        result = await exchange.run(
            entry.pool,
            order_of(call, row),
            timeout_s=max(0.01, timeout_s),
            fresh=False,
        )
    finally:
        row.ended_since_report += 1
        row.active_attempts.pop(call.call_id, None)
        entry.note_usage(
            row.announcement["instance"], call.workspace, entry.now() - started
        )
    if isinstance(result, exchange.NotOpened):
        row.failed_at = entry.now()
    note_evidence(entry, call, row, result, entry.now() - started)
    return result


def order_of(call: ServiceCall, row: upstreams.Row) -> exchange.Order:
    """Returns what to send to an upstream."""
    return exchange.Order(
        address=row.announcement["address"],
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        request_id=call.call_id,
        attempt_id=uuid.uuid4().hex,
        key=call.key,
        priority=call.priority,
        echo=row.announcement["echo"],
    )


def note_evidence(
    entry: core.Entry,
    call: ServiceCall,
    row: upstreams.Row,
    result: exchange.Result,
    latency_s: float,
) -> None:
    """Notes how a version did on a route, unless it was being reclaimed."""
    leaving = row.health(entry.now()) is upstreams.Health.LEAVING
    if leaving or isinstance(result, exchange.NotOpened):
        return
    name, route = call.upstream["name"], call.route["name"]
    wanted, old = versions.pick_version(entry.moves, name, route, call.call_id)
    version = row.announcement["version"]
    ok = isinstance(result, exchange.Reply) and result.status < 500
    entry.evidence.record(
        version_outcomes.OutcomeKey(name, version, route),
        failed=not ok,
        latency_s=latency_s,
        baseline=version_outcomes.OutcomeKey(name, old, route) if old else None,
        is_new_version=bool(old) and version == wanted,
    )
    labels = f'upstream="{name}",version="{version}"'
    entry.metrics.record("service", labels, latency_s)
