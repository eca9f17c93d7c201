"""The entry's HTTP application."""

import json
from typing import Any

from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from _arbutuswalk.entry import announcing
from _arbutuswalk.entry import calls
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import core
from _arbutuswalk.entry import exchange
from _arbutuswalk.entry import http
from _arbutuswalk.entry import models
from _arbutuswalk.entry import requests
from _arbutuswalk.entry import services
from _arbutuswalk.state import outcomes

ENTRIES_TTL_S = 10
READ_TIMEOUT_S = 2.0


def make(entry: core.Entry):
    """Returns the ASGI application of an entry.

    Model routes are served before the framework's middle layers, so that
    streams see the server's own send.
    """
    entry.start_request = lambda request: models.start_task(entry, request)
    hot = {
        path: models.ModelRoute(entry=entry, route=route)
        for route, path in requests.PATHS.items()
    }
    others = _make_others(entry)

    async def serve(scope, receive, send) -> None:
        route = hot.get(scope.get("path"))
        if route is not None and scope.get("method") == "POST":
            await route(scope, receive, send)
        else:
            await others(scope, receive, send)

    return serve


def _make_others(entry: core.Entry) -> applications.Starlette:
    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    service = services.ServiceRoute(entry=entry)
    return applications.Starlette(
        routes=[
            routing.Route("/v1/services/{rest:path}", service, methods=methods),
            routing.Route("/v1/entries", _entries_route(entry)),
            routing.Route("/v1/requests/{key:path}", _request_route(entry)),
            routing.Route(
                "/v1/upstreams/announce",
                announcing.announce_route(entry),
                methods=["POST"],
            ),
            routing.Route(
                "/v1/upstreams/events",
                announcing.cache_route(entry),
                methods=["POST"],
            ),
            routing.Route("/metrics", _metrics_route(entry)),
        ],
        exception_handlers={404: _not_found, 405: _not_found},
    )


async def _not_found(
    request: http_requests.Request, _error: Exception
) -> responses.Response:
    detail = f"{request.method} {request.url.path} is not served here"
    return http.problem_response(requests.bad("no such route", detail, 404))


def _entries_route(entry: core.Entry):
    async def entries(_: http_requests.Request) -> responses.Response:
        rows = entry.view.get("entries", {}).values()
        addresses = [
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
                "entries": addresses,
                "ttl_s": ENTRIES_TTL_S,
                "revision": entry.revision,
            }
        )

    return entries


def _request_route(entry: core.Entry):
    async def request_status(
        request: http_requests.Request,
    ) -> responses.Response:
        headers = http.headers_of(request.scope)
        workspace = http.workspace_of(entry, headers)
        if not isinstance(workspace, dict):
            return http.problem_response(workspace)
        key = request.path_params["key"]
        local = _local_status(entry, workspace["name"], key)
        if local is not None:
            return responses.JSONResponse(local)
        return await _recorded_status(entry, workspace["name"], key)

    return request_status


def _local_status(
    entry: core.Entry, workspace: str, key: str
) -> dict[str, Any] | None:
    request_id = entry.by_key.get((workspace, key), key)
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
    entry: core.Entry, workspace: str, key: str
) -> responses.Response:
    found = await entry.control.read(
        "call", f"{workspace}\n{key}", timeout_s=READ_TIMEOUT_S
    )
    if isinstance(found, control_client.Unreachable):
        problem = requests.bad("control unreachable", found.reason, 503)
        return http.problem_response(problem._replace(ran="unknown"))
    state = outcomes.decode(found) if isinstance(found, dict) else None
    if not isinstance(state, outcomes.CallState):
        detail = f"nothing is known of {key!r}"
        return http.problem_response(
            requests.bad("unknown key", detail, 404)._replace(ran="unknown")
        )
    document: dict[str, Any] = {
        "state": state.state,
        "entry": state.entry,
        "route": state.route,
    }
    recorded = calls.recorded(state)
    if isinstance(recorded, exchange.Reply):
        document["status"] = recorded.status
        document["answer"] = recorded.body.decode(errors="replace")
    return responses.JSONResponse(document)


def _metrics_route(entry: core.Entry):
    async def metrics(_: http_requests.Request) -> responses.Response:
        return responses.PlainTextResponse(entry.metrics.render())

    return metrics
