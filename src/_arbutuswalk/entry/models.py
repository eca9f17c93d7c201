"""Callers' model routes: admission, resends, resumption."""

import asyncio
from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.entry import copies
from _arbutuswalk.entry import core
from _arbutuswalk.entry import delivery
from _arbutuswalk.entry import http
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import requests
from _arbutuswalk.entry import running
from _arbutuswalk.entry import suspicion
from _arbutuswalk.limits import fair
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import answer
from _arbutuswalk.streams import framing

MAX_REQUESTS = 20_000
ADOPTED_GRACE_S = 55.0
"""How much longer than other orphans an adopted request is kept running."""


class ModelRoute:
    """ASGI endpoint of one model route.

    Attributes:
        entry: The entry.
        route: ``chat`` or ``completions``.
    """

    def __init__(self, *, entry: core.Entry, route: str):
        self.entry = entry
        self.route = route

    async def __call__(
        self, scope: dict[str, Any], receive: http.Receive, send: http.Send
    ) -> None:
        """Serves one request."""
        headers = http.headers_of(scope)
        raw = await http.read_body(receive)
        if isinstance(raw, answer.Problem):
            await refuse(self.entry, raw, scope, receive, send)
            return
        found = await self._admit(headers, raw)
        if isinstance(found, answer.Problem):
            await refuse(self.entry, found, scope, receive, send)
            return
        request, start, reset = found
        await delivery.deliver(
            self.entry, request, receive, send, start=start, reset=reset
        )

    async def _admit(
        self, headers: dict[str, str], raw: bytes
    ) -> tuple[requests.ModelRequest, int, bool] | answer.Problem:
        """Returns the request to deliver and from which event on."""
        entry = self.entry
        workspace = http.workspace_of(entry, headers)
        if isinstance(workspace, answer.Problem):
            return http.not_admitting(entry) or workspace
        terms = requests.parse_terms(headers)
        if isinstance(terms, answer.Problem):
            return terms
        body = requests.parse_body(raw, self.route)
        if isinstance(body, answer.Problem):
            return body
        resumed = await self._resume(headers, raw, workspace, terms)
        if resumed is not None:
            return resumed
        problem = self._check_new(workspace, body, raw)
        if problem is not None:
            return problem
        request = self._make(workspace, terms, body, raw)
        problem = placing.early_refusal(entry, request)
        if problem is not None:
            return problem
        start(entry, request)
        reset = "last-event-id" in headers
        return request, 0, reset

    async def _resume(
        self,
        headers: dict[str, str],
        raw: bytes,
        workspace: inventories.Workspace,
        terms: requests.Terms,
    ) -> tuple[requests.ModelRequest, int, bool] | answer.Problem | None:
        """Finds the request that a resend or a resumption speaks of."""
        entry = self.entry
        last = None
        if "last-event-id" in headers:
            last = framing.parse_event_id(headers["last-event-id"])
            if last is None:
                detail = "Last-Event-ID: give an id that an event carried"
                return requests.bad("bad header", detail)
        known = find(entry, workspace["name"], terms.key, last)
        if known is None and last is not None:
            known = await copies.adopt(entry, last[0], workspace["name"])
        if known is None:
            return None
        if known.digest != inventories.sha256_hex(raw):
            detail = "the key or id belongs to another body"
            return requests.bad("key reused", detail, 409)
        if last is None or last[0] != known.request_id:
            return known, 0, last is not None
        position = last[1] + 1
        if position > len(known.answer.events):
            # More was delivered than this entry has: the generation the
            # caller saw is lost, and two must never be spliced.
            return known, 0, True
        return known, position, False

    def _check_new(
        self,
        workspace: inventories.Workspace,
        body: dict[str, Any],
        raw: bytes,
    ) -> answer.Problem | None:
        entry = self.entry
        problem = http.not_admitting(entry)
        if problem is not None:
            return problem
        upstream = inventories.find_upstream(entry.inventory, body["model"])
        if upstream is None or upstream["kind"] != "model":
            names = ", ".join(
                item["name"]
                for item in entry.inventory["upstreams"]
                if item["kind"] == "model"
            )
            detail = f"model: {body['model']!r} is unknown; known: {names}"
            return requests.bad("unknown model", detail, 404)
        if len(entry.requests) >= MAX_REQUESTS:
            detail = "too many requests are in flight here"
            return answer.Problem(503, "entry full", detail, "no", 1)
        digest = inventories.sha256_hex(raw)
        name = workspace["name"]
        fingerprint = requests.fingerprint(name, self.route, digest)
        until_ms = entry.convicted_until_ms(fingerprint)
        if until_ms:
            return answer.Problem(
                422,
                "request quarantined",
                "upstreams died while running this request; change it before"
                f" sending it again, or wait until {until_ms} ms",
                "no",
                suspicion.seconds_until(entry, until_ms),
            )
        return None

    def _make(
        self,
        workspace: inventories.Workspace,
        terms: requests.Terms,
        body: dict[str, Any],
        raw: bytes,
    ) -> requests.ModelRequest:
        now = self.entry.now()
        return requests.ModelRequest(
            request_id=requests.new_request_id(self.entry.name),
            workspace=workspace["name"],
            weight=workspace["weight"],
            key=terms.key,
            route=self.route,
            raw=raw,
            body=body,
            deadline=now + terms.deadline_s,
            priority=terms.priority,
            now=now,
        )


def start(entry: core.Entry, request: requests.ModelRequest) -> None:
    """Makes a request known and starts to run it."""
    entry.requests[request.request_id] = request
    if request.key:
        entry.by_key[request.workspace, request.key] = request.request_id
    entry.metrics.count("accepted", f'upstream="{request.upstream}"')
    copies.send_request(entry, request)
    start_task(entry, request)


def start_task(entry: core.Entry, request: requests.ModelRequest) -> None:
    """Runs a request in a task of its own."""
    ticket = placing.enqueue(entry, request)
    request.task = asyncio.ensure_future(_run(entry, request, ticket))


async def _run(
    entry: core.Entry, request: requests.ModelRequest, ticket: fair.Ticket
) -> None:
    try:
        await running.run(entry, request, ticket)
    except Exception as error:  # noqa: BLE001
        # A fault of ours must not leave the caller without an answer.
        events.warn(events.Event.TASK_FAILED, request.request_id, repr(error))
    finally:
        if not request.answer.ended:
            request.answer.fail(
                answer.Problem(
                    500,
                    "request abandoned",
                    "the entry stopped running it",
                    "unknown" if request.sent else "no",
                    1,
                )
            )
        copies.send_end(entry, request)
        total = entry.now() - request.accepted_at
        entry.metrics.record("total", f'upstream="{request.upstream}"', total)
        outcome = "whole" if request.answer.done else "failed"
        entry.metrics.count("answers", f'outcome="{outcome}"')


def find(
    entry: core.Entry,
    workspace: str,
    key: str,
    last: tuple[str, int] | None = None,
) -> requests.ModelRequest | None:
    """Returns a known request by event id or key, of this workspace only.

    A request that failed without an answer is forgotten here, so that a
    resend of it is run.
    """
    request_id = last[0] if last else entry.by_key.get((workspace, key), "")
    request = entry.requests.get(request_id)
    if request is None or request.workspace != workspace:
        return None
    if request.answer.problem is not None and last is None:
        return None
    return request


async def refuse(
    entry: core.Entry,
    problem: answer.Problem,
    scope: dict[str, Any],
    receive: http.Receive,
    send: http.Send,
) -> None:
    """Answers with a problem document."""
    events.log(events.Event.REQUEST_REFUSED, "", problem.title)
    entry.metrics.count("refused", f'title="{problem.title}"')
    await http.problem_response(problem)(scope, receive, send)
