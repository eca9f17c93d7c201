"""Model routes: admission, resends and resumption of requests."""

import asyncio
from typing import Any

from _arbutuswalk.base import events
from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import delivery
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import execution
from _arbutuswalk.entry import http
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import placement
from _arbutuswalk.entry import request_copies
from _arbutuswalk.limits import fair
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.streams import answer
from _arbutuswalk.streams import framing

MAX_TRACKED_REQUESTS = 20_000
TAKEN_OVER_GRACE_S = 55.0
"""Added to the time for which a request without readers keeps running, for
requests taken over from another entry."""


class ModelRoute:
    """ASGI endpoint of one model route.

    Attributes:
        entry: The entry.
        route: ``chat`` or ``completions``.
    """

    def __init__(self, *, entry: entry_state.Entry, route: str):
        self.entry = entry
        self.route = route

    async def __call__(
        self, scope: dict[str, Any], receive: http.Receive, send: http.Send
    ) -> None:
        """Serves one request."""
        headers = http.headers_of(scope)
        raw = await http.read_body(receive)
        if isinstance(raw, answer.Problem):
            await send_refusal(self.entry, raw, scope, receive, send)
            return
        admitted = await self._admit(headers, raw)
        if isinstance(admitted, answer.Problem):
            await send_refusal(self.entry, admitted, scope, receive, send)
            return
        request, first_event, reset = admitted
        await delivery.deliver(
            self.entry,
            request,
            receive,
            send,
            first_event=first_event,
            reset=reset,
        )

    async def _admit(
        self, headers: dict[str, str], raw: bytes
    ) -> tuple[model_requests.ModelRequest, int, bool] | answer.Problem:
        """Returns the request, the first event to send and whether to reset."""
        entry = self.entry
        workspace = http.authenticate(entry, headers)
        if isinstance(workspace, answer.Problem):
            return http.lease_problem(entry) or workspace
        options = model_requests.parse_options(headers)
        if isinstance(options, answer.Problem):
            return options
        body = model_requests.parse_body(raw, self.route)
        if isinstance(body, answer.Problem):
            return body
        resumed = await self._find_resumable(headers, raw, workspace, options)
        if resumed is not None:
            return resumed
        problem = self._check_new(workspace, body, raw)
        if problem is not None:
            return problem
        request = self._make_request(workspace, options, body, raw)
        problem = placement.early_refusal(entry, request)
        if problem is not None:
            return problem
        accept_request(entry, request)
        reset = "last-event-id" in headers
        return request, 0, reset

    async def _find_resumable(
        self,
        headers: dict[str, str],
        raw: bytes,
        workspace: inventories.Workspace,
        options: model_requests.RequestOptions,
    ) -> tuple[model_requests.ModelRequest, int, bool] | answer.Problem | None:
        """Returns the request that a resend or a resumption refers to."""
        entry = self.entry
        last_event = None
        if "last-event-id" in headers:
            last_event = framing.parse_event_id(headers["last-event-id"])
            if last_event is None:
                detail = "Last-Event-ID: give an id that an event carried"
                return model_requests.refusal("bad header", detail)
        existing = find_request(
            entry, workspace["name"], options.key, last_event
        )
        if existing is None and last_event is not None:
            existing = await request_copies.fetch_and_take_over(
                entry, last_event[0], workspace["name"]
            )
        if existing is None:
            return None
        if existing.digest != inventories.sha256_hex(raw):
            detail = "the key or id belongs to another body"
            return model_requests.refusal("key reused", detail, 409)
        if last_event is None or last_event[0] != existing.request_id:
            return existing, 0, last_event is not None
        position = last_event[1] + 1
        if position > len(existing.answer.events):
            # The caller received more events than this entry has: that
            # generation is lost, and two generations must not be mixed.
            return existing, 0, True
        return existing, position, False

    def _check_new(
        self,
        workspace: inventories.Workspace,
        body: dict[str, Any],
        raw: bytes,
    ) -> answer.Problem | None:
        entry = self.entry
        problem = http.lease_problem(entry)
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
            return model_requests.refusal("unknown model", detail, 404)
        if len(entry.requests) >= MAX_TRACKED_REQUESTS:
            detail = "too many requests are in flight here"
            return answer.Problem(503, "entry full", detail, "no", 1)
        digest = inventories.sha256_hex(raw)
        name = workspace["name"]
        fingerprint = model_requests.fingerprint(name, self.route, digest)
        until_ms = entry.convicted_until_ms(fingerprint)
        if until_ms:
            return answer.Problem(
                422,
                "request quarantined",
                "upstreams died while running this request; change it before"
                f" sending it again, or wait until {until_ms} ms",
                "no",
                crash_quarantine.seconds_until(entry, until_ms),
            )
        return None

    def _make_request(
        self,
        workspace: inventories.Workspace,
        options: model_requests.RequestOptions,
        body: dict[str, Any],
        raw: bytes,
    ) -> model_requests.ModelRequest:
        now = self.entry.now()
        return model_requests.ModelRequest(
            request_id=model_requests.new_request_id(self.entry.name),
            workspace=workspace["name"],
            weight=workspace["weight"],
            key=options.key,
            route=self.route,
            raw=raw,
            body=body,
            deadline=now + options.deadline_s,
            priority=options.priority,
            now=now,
        )


def accept_request(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> None:
    """Registers a request and starts to run it."""
    entry.requests[request.request_id] = request
    if request.key:
        entry.request_ids_by_key[request.workspace, request.key] = (
            request.request_id
        )
    entry.metrics.count("accepted", f'upstream="{request.upstream}"')
    request_copies.start_copying(entry, request)
    start_task(entry, request)


def start_task(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> None:
    """Queues a request and runs it in its own task."""
    ticket = placement.enqueue(entry, request)
    request.task = asyncio.ensure_future(_run_request(entry, request, ticket))


async def _run_request(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    ticket: fair.Ticket,
) -> None:
    try:
        await execution.run(entry, request, ticket)
    except Exception as error:  # noqa: BLE001
        # An internal error must not leave the caller without an answer.
        events.warn(events.Event.TASK_FAILED, request.request_id, repr(error))
    finally:
        if not request.answer.ended:
            request.answer.fail(
                answer.Problem(
                    500,
                    "request abandoned",
                    "the entry stopped running it",
                    "unknown" if request.possibly_sent else "no",
                    1,
                )
            )
        request_copies.send_final_events(entry, request)
        duration_s = entry.now() - request.accepted_at
        entry.metrics.record(
            "total", f'upstream="{request.upstream}"', duration_s
        )
        outcome = "whole" if request.answer.done else "failed"
        entry.metrics.count("answers", f'outcome="{outcome}"')


def find_request(
    entry: entry_state.Entry,
    workspace: str,
    key: str,
    last_event: tuple[str, int] | None = None,
) -> model_requests.ModelRequest | None:
    """Returns a known request of the workspace by event id or key.

    A request that failed is not returned for its key, so that a resend of it
    runs.
    """
    request_id = (
        last_event[0]
        if last_event
        else entry.request_ids_by_key.get((workspace, key), "")
    )
    request = entry.requests.get(request_id)
    if request is None or request.workspace != workspace:
        return None
    if request.answer.problem is not None and last_event is None:
        return None
    return request


async def send_refusal(
    entry: entry_state.Entry,
    problem: answer.Problem,
    scope: dict[str, Any],
    receive: http.Receive,
    send: http.Send,
) -> None:
    """Answers with a problem document."""
    events.log(events.Event.REQUEST_REFUSED, "", problem.title)
    entry.metrics.count("refused", f'title="{problem.title}"')
    await http.problem_response(problem)(scope, receive, send)
