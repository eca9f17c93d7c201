"""HTTP routes of the entry."""

import json
from typing import Any

from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from _arbutuswalk.entry import at_most_once
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import exchange
from _arbutuswalk.entry import http
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import model_routes
from _arbutuswalk.entry import service_routes
from _arbutuswalk.entry import upstream_announcements
from _arbutuswalk.state import outcomes
from _arbutuswalk.wire import whole_answers

ENTRY_LIST_TTL_S = 10
STATUS_READ_TIMEOUT_S = 2.0


def make_app(entry: entry_state.Entry):
    """Returns the ASGI application of an entry.

    Model routes bypass the framework's middleware, because streaming needs
    the server's own ``send`` to reach its flow control.
    """
    entry.start_request = lambda request: model_routes.start_task(
        entry, request
    )
    model_endpoints = {
        path: model_routes.ModelRoute(entry=entry, route=route)
        for route, path in model_requests.ROUTE_PATHS.items()
    }
    fallback_app = _make_fallback_app(entry)

    async def serve(scope, receive, send) -> None:
        if entry.draining:
            send = _closing_send(send)
        route = model_endpoints.get(scope.get("path"))
        if route is not None and scope.get("method") == "POST":
            await route(scope, receive, send)
        else:
            await fallback_app(scope, receive, send)

    return whole_answers.for_http_1_0(serve)


def _closing_send(send):
    """Returns a ``send`` that tells the caller that its connection closes.

    Otherwise callers would send their next request on a kept connection while
    the process ends.
    """

    async def send_closing(message) -> None:
        if message["type"] == "http.response.start":
            headers = [*message["headers"], (b"connection", b"close")]
            message = {**message, "headers": headers}
        await send(message)

    return send_closing


def _make_fallback_app(entry: entry_state.Entry) -> applications.Starlette:
    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    service = service_routes.ServiceRoute(entry=entry)
    return applications.Starlette(
        routes=[
            routing.Route("/v1/services/{rest:path}", service, methods=methods),
            routing.Route("/v1/entries", _entries_endpoint(entry)),
            routing.Route(
                "/v1/requests/{key:path}", _request_status_endpoint(entry)
            ),
            routing.Route(
                "/v1/upstreams/announce",
                upstream_announcements.announce_endpoint(entry),
                methods=["POST"],
            ),
            routing.Route(
                "/v1/upstreams/events",
                upstream_announcements.cache_events_endpoint(entry),
                methods=["POST"],
            ),
            routing.Route("/metrics", _metrics_endpoint(entry)),
        ],
        exception_handlers={404: _not_found, 405: _not_found},
    )


async def _not_found(
    request: http_requests.Request, _error: Exception
) -> responses.Response:
    detail = f"{request.method} {request.url.path} is not served here"
    return http.problem_response(
        model_requests.refusal("no such route", detail, 404)
    )


def _entries_endpoint(entry: entry_state.Entry):
    async def entries(_: http_requests.Request) -> responses.Response:
        rows = entry.view.get("entries", {}).values()
        serving = [
            {
                "address": row["address"],
                "domain": row["domain"],
                "weight": row["weight"],
            }
            for row in rows
            if row["state"] == "serving"
        ]
        return responses.JSONResponse(
            {
                "entries": serving,
                "ttl_s": ENTRY_LIST_TTL_S,
                "revision": entry.revision,
            }
        )

    return entries


def _request_status_endpoint(entry: entry_state.Entry):
    async def request_status(
        request: http_requests.Request,
    ) -> responses.Response:
        headers = http.headers_of(request.scope)
        workspace = http.authenticate(entry, headers)
        if not isinstance(workspace, dict):
            return http.problem_response(workspace)
        key = request.path_params["key"]
        local = _local_status(entry, workspace["name"], key)
        if local is not None:
            return responses.JSONResponse(local)
        return await _recorded_status(entry, workspace["name"], key)

    return request_status


def _local_status(
    entry: entry_state.Entry, workspace: str, key: str
) -> dict[str, Any] | None:
    request_id = entry.request_ids_by_key.get((workspace, key), key)
    request = entry.requests.get(request_id)
    if request is None or request.workspace != workspace:
        return None
    state = "running"
    if request.answer.ended:
        state = "done" if request.answer.done else "failed"
    status = {
        "request_id": request_id,
        "state": state,
        "attempts": request.attempts,
        "events": len(request.answer.events),
    }
    if request.answer.problem is not None:
        status["problem"] = json.loads(
            http.problem_json(request.answer.problem)
        )
    return status


async def _recorded_status(
    entry: entry_state.Entry, workspace: str, key: str
) -> responses.Response:
    reply = await entry.control.read(
        "call", f"{workspace}\n{key}", timeout_s=STATUS_READ_TIMEOUT_S
    )
    if isinstance(reply, control_client.Unreachable):
        problem = model_requests.refusal(
            "control unreachable", reply.reason, 503
        )
        return http.problem_response(problem._replace(ran="unknown"))
    call_state = outcomes.decode(reply) if isinstance(reply, dict) else None
    if not isinstance(call_state, outcomes.CallState):
        detail = f"nothing is known of {key!r}"
        return http.problem_response(
            model_requests.refusal("unknown key", detail, 404)._replace(
                ran="unknown"
            )
        )
    document: dict[str, Any] = {
        "state": call_state.state,
        "entry": call_state.entry,
        "route": call_state.route,
    }
    outcome = at_most_once.outcome_of_record(call_state)
    if isinstance(outcome, exchange.Reply):
        document["status"] = outcome.status
        document["answer"] = outcome.body.decode(errors="replace")
    return responses.JSONResponse(document)


def _metrics_endpoint(entry: entry_state.Entry):
    async def metrics(_: http_requests.Request) -> responses.Response:
        return responses.PlainTextResponse(entry.metrics.render())

    return metrics
