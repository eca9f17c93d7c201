"""ASGI helpers: bodies, headers, tokens and problem documents."""

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from starlette import responses

from _arbutuswalk.entry import entry_state
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import answer

MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_TIMEOUT_S = 30.0
PROBLEM_CONTENT_TYPE = "application/problem+json"

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


def headers_of(scope: dict[str, Any]) -> dict[str, str]:
    """Returns the headers of a request by lower-case name."""
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }


async def read_body(receive: Receive) -> bytes | answer.Problem:
    """Reads a request body, limited in size and time."""
    parts, size = [], 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    return answer.Problem(
                        400, "body cut short", "send the whole body", "no"
                    )
                part = message.get("body", b"")
                size += len(part)
                if size > MAX_BODY_BYTES:
                    detail = f"at most {MAX_BODY_BYTES} bytes"
                    return answer.Problem(413, "body too large", detail, "no")
                parts.append(part)
                if not message.get("more_body", False):
                    return b"".join(parts)
    except TimeoutError:
        detail = f"the body took over {BODY_TIMEOUT_S:.0f} s"
        return answer.Problem(408, "body too slow", detail, "no")


def problem_response(problem: answer.Problem) -> responses.Response:
    """Returns a refusal or failure as a problem document."""
    headers = {}
    if problem.retry_after_s:
        headers["Retry-After"] = str(problem.retry_after_s)
    return responses.Response(
        problem_json(problem),
        status_code=problem.status,
        media_type=PROBLEM_CONTENT_TYPE,
        headers=headers,
    )


def problem_json(problem: answer.Problem) -> bytes:
    """Returns a problem document as JSON."""
    document = {
        "type": "about:blank",
        "title": problem.title,
        "status": problem.status,
        "detail": problem.detail,
        "ran": problem.ran,
    }
    if problem.retry_after_s:
        document["retry_after_s"] = problem.retry_after_s
    return json.dumps(document).encode()


def authenticate(
    entry: entry_state.Entry, headers: dict[str, str]
) -> inventories.Workspace | answer.Problem:
    """Returns the workspace of the bearer token."""
    scheme, _, token = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        detail = "send Authorization: Bearer with the workspace's token"
        return answer.Problem(401, "missing token", detail, "no")
    digest = inventories.sha256_hex(token.strip())
    for workspace in (entry.inventory or {}).get("workspaces", []):
        if workspace["token_sha256"] == digest:
            return workspace
    detail = "no workspace has this token"
    return answer.Problem(401, "unknown token", detail, "no")


def lease_problem(entry: entry_state.Entry) -> answer.Problem | None:
    """Returns a refusal if the entry may not accept new work."""
    if entry.accepts_work:
        return None
    peer_addresses = [row["address"] for row in entry.peers.values()]
    detail = "this entry is cut off from control; use another"
    if peer_addresses:
        detail += ": " + ", ".join(sorted(peer_addresses))
    return answer.Problem(503, "entry cut off", detail, "no", 1)
