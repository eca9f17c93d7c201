"""Carries one request through: endpoints, retries, resumption, final answer."""

import json

from _arbutuswalk.base import events
from _arbutuswalk.relay import attempts
from _arbutuswalk.relay import core
from _arbutuswalk.relay import delivery
from _arbutuswalk.relay import placing
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.streams import replies

RETRY_AFTER_S = 0.5
"""When a refused caller may come back: about as long as a crowded or lost
endpoint needs to be noticed, left, and replaced by another."""
PROBLEM_TYPE = b"application/problem+json"


async def relay_request(
    relay: core.Relay, request: requests.Request, to_caller: delivery.Delivery
) -> None:
    """Sends a request until it is answered, or gives it up at once."""
    relay.retry_window(request.upstream).record_request(relay.now())
    tally = results.Tally()
    tried: set[str] = set()
    fallback: results.Answered | None = None
    result: results.Result = results.NotSent(reason="no endpoint is ready")
    endpoint_id = ""
    while True:
        place = placing.place(relay, request, tried)
        if place is None and not tried:
            place = await _await_place(relay, request)
        if place is None or not _may_arrive(relay, request, tally):
            break
        endpoint_id = place.endpoint.id
        tried.add(endpoint_id)
        if to_caller.started:
            events.record(
                events.Event.RESUMED,
                request.id,
                endpoint_id,
                to_caller.last_event,
            )
        attempt = attempts.Attempt(
            relay=relay, to_caller=to_caller, place=place
        )
        result = await attempt.run()
        tally = results.add(tally, result)
        if isinstance(result, results.Answered):
            fallback = result
        left_s = request.deadline - relay.now()
        if not results.may_try_again(result, request.route, tally, left_s):
            break
    if isinstance(result, results.CallerLeft):
        _note_left(relay, request, endpoint_id)
        return
    await _conclude(relay, to_caller, result, fallback, tally, endpoint_id)


async def _await_place(
    relay: core.Relay, request: requests.Request
) -> placing.Place | None:
    """Waits for an endpoint in the first seconds of the process."""
    found = await relay.learn(
        lambda: placing.place(relay, request, set()) is not None
    )
    return placing.place(relay, request, set()) if found else None


def _may_arrive(
    relay: core.Relay, request: requests.Request, tally: results.Tally
) -> bool:
    """Takes the retry budget for a sending after one that arrived."""
    if not tally.arrivals:
        return True
    window = relay.retry_window(request.upstream)
    return window.try_acquire(relay.now(), relay.entries)


async def _conclude(
    relay: core.Relay,
    to_caller: delivery.Delivery,
    result: results.Result,
    fallback: results.Answered | None,
    tally: results.Tally,
    endpoint_id: str,
) -> None:
    request = to_caller.request
    took_ms = round((relay.now() - request.came_at) * 1000)
    route = request.route.name
    if isinstance(result, results.Delivered):
        first_ms = round((to_caller.first_at - request.came_at) * 1000)
        _note_answer(relay, request, endpoint_id, 200, tally, took_ms, first_ms)
        return
    if to_caller.started:
        events.record(
            events.Event.BROKEN_OFF,
            request.id,
            route,
            endpoint_id,
            _reason_of(result),
            took_ms,
        )
        return
    if fallback is not None:
        _note_answer(
            relay, request, endpoint_id, fallback.status, tally, took_ms
        )
        await to_caller.whole(fallback.status, fallback.headers, fallback.body)
        return
    status = results.final_status(result, tally)
    if status == results.STATUS_UNAVAILABLE:
        await refuse(
            relay,
            to_caller,
            status=status,
            reason=_reason_of(result),
            retry_after_s=RETRY_AFTER_S,
        )
        return
    events.record(
        events.Event.FAILED,
        request.id,
        route,
        request.upstream,
        endpoint_id,
        status,
        _reason_of(result),
        tally.runs,
        took_ms,
    )
    relay.metrics.count("failed", f'status="{status}"')
    await to_caller.own(*problem(status, _reason_of(result)))


async def refuse(
    relay: core.Relay,
    to_caller: delivery.Delivery,
    *,
    status: int,
    reason: str,
    retry_after_s: float = 0.0,
) -> None:
    """Answers a request that has not run and never will."""
    request = to_caller.request
    note_refusal(
        relay,
        request.id,
        status,
        reason,
        route=request.route.name,
        held_s=relay.now() - request.came_at,
    )
    await to_caller.own(*problem(status, reason, retry_after_s))


def note_refusal(
    relay: core.Relay,
    request_id: str,
    status: int,
    reason: str,
    *,
    route: str = "",
    held_s: float = 0.0,
) -> None:
    """Writes a refusal down."""
    events.record(
        events.Event.REFUSED,
        request_id,
        route,
        status,
        reason,
        round(held_s * 1000),
        relay.routes_version,
    )
    relay.metrics.count("refused", f'status="{status}"')


def problem(
    status: int, reason: str, retry_after_s: float = 0.0
) -> tuple[int, replies.Headers, bytes]:
    """Returns status, headers and body of an answer of our own."""
    body = json.dumps({"status": status, "detail": reason}).encode()
    headers = [
        (b"content-type", PROBLEM_TYPE),
        (b"content-length", str(len(body)).encode()),
    ]
    if retry_after_s:
        headers.append((b"retry-after", f"{retry_after_s:.2f}".encode()))
    return status, headers, body


def _reason_of(result: results.Result) -> str:
    if isinstance(result, results.Answered):
        return f"status {result.status}"
    return getattr(result, "reason", "")


def _note_left(
    relay: core.Relay, request: requests.Request, endpoint_id: str
) -> None:
    took_ms = round((relay.now() - request.came_at) * 1000)
    relay.metrics.count("callers_left")
    events.record(
        events.Event.CALLER_LEFT,
        request.id,
        request.route.name,
        endpoint_id,
        took_ms,
    )


def _note_answer(
    relay: core.Relay,
    request: requests.Request,
    endpoint_id: str,
    status: int,
    tally: results.Tally,
    took_ms: int,
    first_ms: int | None = None,
) -> None:
    if first_ms is None:
        first_ms = took_ms
    relay.metrics.count("answered", f'status="{status}"')
    relay.metrics.record(
        "answer", f'route="{request.route.name}"', took_ms / 1000
    )
    failed = status >= results.FAILURE_STATUS
    fields = [request.id, request.route.name, request.upstream, endpoint_id]
    if failed:
        reason = "the upstream's own answer"
        events.record(
            events.Event.FAILED, *fields, status, reason, tally.runs, took_ms
        )
    else:
        events.record(
            events.Event.ANSWERED,
            *fields,
            status,
            tally.runs,
            first_ms,
            took_ms,
        )
