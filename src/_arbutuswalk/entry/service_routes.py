"""Routes of callers to services, idempotent or not."""

import asyncio
import uuid
from typing import Any
from typing import NamedTuple

from starlette import responses

from _arbutuswalk.entry import at_most_once
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import exchange
from _arbutuswalk.entry import http
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import model_routes
from _arbutuswalk.entry import placement
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import upstreams
from _arbutuswalk.routing import version_outcomes
from _arbutuswalk.routing import versions
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import answer

PATH_PREFIX = "/v1/services/"
MAX_ATTEMPTS = 5
POLL_INTERVAL_S = 0.05
FORWARDED_HEADERS = ("content-type", "accept", "accept-language")


class ServiceCall(NamedTuple):
    """A validated call to a service.

    Attributes:
        call_id: Id of the call.
        workspace: Name of the caller's workspace.
        upstream: The service, from the inventory.
        route: The route, from the inventory.
        method: HTTP method.
        path: Path and query on the service.
        headers: Headers to forward.
        body: Body to forward.
        key: Idempotency key, or empty.
        deadline: When the caller stops waiting, in seconds.
        priority: Priority to forward.
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
    """ASGI endpoint of all services."""

    def __init__(self, *, entry: entry_state.Entry):
        self.entry = entry

    async def __call__(
        self, scope: dict[str, Any], receive: http.Receive, send: http.Send
    ) -> None:
        """Serves one call."""
        body = await http.read_body(receive)
        if isinstance(body, answer.Problem):
            await model_routes.send_refusal(
                self.entry, body, scope, receive, send
            )
            return
        call = check_call(self.entry, scope, body)
        if isinstance(call, answer.Problem):
            await model_routes.send_refusal(
                self.entry, call, scope, receive, send
            )
            return
        result = await self._run(call)
        if isinstance(result, answer.Problem):
            await model_routes.send_refusal(
                self.entry, result, scope, receive, send
            )
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
            return await _run_idempotent(self.entry, call)
        # A started call runs to its end even if the caller disconnects.
        task = asyncio.ensure_future(at_most_once.run_call(self.entry, call))
        self.entry.track_task(task)
        return await asyncio.shield(task)


def check_call(
    entry: entry_state.Entry, scope: dict[str, Any], body: bytes
) -> ServiceCall | answer.Problem:
    """Validates a call against the configuration in force."""
    headers = http.headers_of(scope)
    problem = http.lease_problem(entry)
    if problem is not None:
        return problem
    workspace = http.authenticate(entry, headers)
    if isinstance(workspace, answer.Problem):
        return workspace
    options = model_requests.parse_options(headers)
    if isinstance(options, answer.Problem):
        return options
    match = _find_route(entry, scope)
    if isinstance(match, answer.Problem):
        return match
    upstream, route, path = match
    if not route["repeatable"] and not options.key:
        detail = "this route may not be repeated: send an Idempotency-Key"
        return model_requests.refusal("missing key", detail)
    return ServiceCall(
        call_id=model_requests.new_request_id(entry.name),
        workspace=workspace["name"],
        upstream=upstream,
        route=route,
        method=scope["method"],
        path=path,
        headers={n: v for n, v in headers.items() if n in FORWARDED_HEADERS},
        body=body,
        key=options.key,
        deadline=entry.now() + options.deadline_s,
        priority=options.priority,
    )


def _find_route(
    entry: entry_state.Entry, scope: dict[str, Any]
) -> tuple[inventories.Upstream, inventories.Route, str] | answer.Problem:
    name, _, rest = scope["path"].removeprefix(PATH_PREFIX).partition("/")
    upstream = inventories.find_upstream(entry.inventory, name)
    if upstream is None or upstream["kind"] != "service":
        return model_requests.refusal(
            "unknown service", f"{name!r} is unknown", 404
        )
    path = f"/{rest}"
    route = inventories.find_route(upstream, scope["method"], path)
    if route is None:
        known = ", ".join(
            f"{'|'.join(item['methods'])} {item['path']}"
            for item in upstream["routes"]
        )
        detail = f"{scope['method']} {path} is no route; known: {known}"
        return model_requests.refusal("unknown route", detail, 404)
    query = scope.get("query_string", b"").decode("latin-1")
    return upstream, route, f"{path}?{query}" if query else path


def choose_upstream(
    entry: entry_state.Entry, call: ServiceCall, avoid: frozenset[str]
) -> upstreams.Row | None:
    """Returns the upstream for the next attempt, or None if none is free."""
    rows = placement.candidates(
        entry, call.upstream["name"], call.route["name"], call.call_id
    )
    features = choose.Features(0, (), call.call_id)
    return choose.choose(rows, features, avoid=avoid)


async def _run_idempotent(
    entry: entry_state.Entry, call: ServiceCall
) -> exchange.Reply | answer.Problem:
    """Runs an idempotent call, retrying on other upstreams."""
    budget = entry.retry_budget_for(call.upstream["name"])
    budget.deposit()
    avoid: set[str] = set()
    possibly_sent = False
    for attempt in range(MAX_ATTEMPTS):
        if attempt and not await _wait_for_budget(entry, budget, call.deadline):
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
        possibly_sent = possibly_sent or not isinstance(
            result, exchange.NotOpened
        )
        avoid.add(row.key)
    return answer.Problem(
        504 if possibly_sent else 503,
        "service unavailable",
        f"no upstream of {call.upstream['name']} answered in time",
        "unknown" if possibly_sent else "no",
        placement.RETRY_AFTER_S,
    )


async def _wait_for_budget(
    entry: entry_state.Entry, budget, deadline: float
) -> bool:
    while entry.now() < deadline:
        if budget.withdraw(entry.now()):
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


async def wait_for_upstream(
    entry: entry_state.Entry, call: ServiceCall, avoid: frozenset[str]
) -> upstreams.Row | None:
    """Waits for an upstream with a free slot; None at the deadline.

    Returns None immediately if no upstream of that name is up, so that the
    caller can be told to retry later.
    """
    while entry.now() < call.deadline:
        row = choose_upstream(entry, call, avoid)
        if row is not None:
            return row
        if not upstreams.usable(
            entry.upstreams, call.upstream["name"], entry.now()
        ):
            return None
        await asyncio.sleep(POLL_INTERVAL_S)
    return None


async def _attempt(
    entry: entry_state.Entry,
    call: ServiceCall,
    row: upstreams.Row,
) -> exchange.Result:
    row.sent_since_report += 1
    row.active_attempts[call.call_id] = None
    started = entry.now()
    timeout_s = min(
        entry.settings["service_timeout_s"], call.deadline - started
    )
    try:
        result = await exchange.run(
            entry.pool,
            make_order(call, row),
            timeout_s=max(0.01, timeout_s),
            fresh=False,
        )
    finally:
        row.ended_since_report += 1
        row.active_attempts.pop(call.call_id, None)
        entry.record_usage(
            row.announcement["instance"], call.workspace, entry.now() - started
        )
    if isinstance(result, exchange.NotOpened):
        row.failed_at = entry.now()
    record_outcome(entry, call, row, result, entry.now() - started)
    return result


def make_order(call: ServiceCall, row: upstreams.Row) -> exchange.Order:
    """Returns the order that sends a call to an upstream."""
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


def record_outcome(
    entry: entry_state.Entry,
    call: ServiceCall,
    row: upstreams.Row,
    result: exchange.Result,
    latency_s: float,
) -> None:
    """Records the outcome of a call for the version that ran it.

    Nothing is recorded for a call that was not sent or whose upstream is
    leaving, since neither says anything about the version.
    """
    leaving = row.health(entry.now()) is upstreams.Health.LEAVING
    if leaving or isinstance(result, exchange.NotOpened):
        return
    name, route = call.upstream["name"], call.route["name"]
    assigned, previous = versions.pick_version(
        entry.moves, name, route, call.call_id
    )
    version = row.announcement["version"]
    ok = isinstance(result, exchange.Reply) and result.status < 500
    entry.version_outcomes.record(
        version_outcomes.OutcomeKey(name, version, route),
        failed=not ok,
        latency_s=latency_s,
        baseline=version_outcomes.OutcomeKey(name, previous, route)
        if previous
        else None,
        is_new_version=bool(previous) and version == assigned,
    )
    labels = f'upstream="{name}",version="{version}"'
    entry.metrics.record("service", labels, latency_s)
