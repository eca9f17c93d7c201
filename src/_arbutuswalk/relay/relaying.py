"""Relays a request: endpoint selection, retries, resumption, final answer."""

import collections
import json
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.relay import admission
from _arbutuswalk.relay import connection_limits
from _arbutuswalk.relay import delivery
from _arbutuswalk.relay import evacuations
from _arbutuswalk.relay import hedged_attempts
from _arbutuswalk.relay import leaving_endpoints
from _arbutuswalk.relay import permitted_placement
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.relay import retry_reservation
from _arbutuswalk.relay import slotted_placement
from _arbutuswalk.relay import stopping
from _arbutuswalk.routing import refusals
from _arbutuswalk.streams import replies

RETRY_AFTER_S = 0.5
"""Retry-After of a refusal: about the time in which an overloaded or lost
endpoint is detected, avoided and replaced by another."""
PROBLEM_CONTENT_TYPE = b"application/problem+json"
STATUS_OK = 200
NOT_ADMITTED = results.NoRetry(decision="admission")


class Outcome(NamedTuple):
    """How the attempts of a request ended.

    Attributes:
        result: Result of the last attempt, or why there was none.
        last_answer: Last complete answer of an endpoint, None without one.
        tally: Counts of the attempts.
        endpoint_id: Endpoint of the last attempt, or empty.
        ended_by: Why there was no other attempt.
    """

    result: results.Result
    last_answer: results.Answered | None
    tally: results.Tally
    endpoint_id: str
    ended_by: results.NoRetry


async def relay_request(
    relay: relay_state.Relay,
    request: requests.Request,
    caller_delivery: delivery.Delivery,
) -> None:
    """Sends a request to endpoints until it is answered or has failed."""
    relay.retry_window(request.upstream).record_request(relay.now())
    retry = retry_reservation.RetryReservation(relay=relay, request=request)
    last_answer: results.Answered | None = None
    result: results.Result = results.NotSent(reason="no endpoint is ready")
    endpoint_id = ""
    while True:
        chosen = await retry.find_placement()
        if isinstance(chosen, results.NotSent) and not retry.tried:
            chosen = await _find_after_startup(relay, request, chosen)
        if isinstance(chosen, results.NotSent):
            ended_by = _explain_no_endpoint(relay, request, retry.tried, chosen)
            has_run = retry.tally.runs or isinstance(result, results.Answered)
            if not retry.tried or (
                not has_run and chosen.retry_after_s is not None
            ):
                result = chosen
            break
        refusal = _find_refusal(relay, request)
        if refusal is not None:
            slotted_placement.drop(relay, chosen)
            connection_limits.wake_next(relay, request.upstream)
            not_sent, ended_by = refusal
            if not retry.tally.runs:
                result = not_sent
            break
        ended_by = retry.acquire()
        if ended_by is not None:
            slotted_placement.drop(relay, chosen)
            break
        endpoint_id = chosen.endpoint.id
        retry.tried.add(endpoint_id)
        if caller_delivery.headers_sent:
            events.record(
                events.Event.RESUMED,
                request.id,
                endpoint_id,
                caller_delivery.last_event,
            )
        result, endpoint_id = await hedged_attempts.run(
            relay, caller_delivery, chosen, retry
        )
        retry.record_result(result)
        caller_delivery.may_have_run = retry.tally.runs > 0
        if isinstance(result, results.Answered):
            last_answer = result
        left_s = request.deadline - relay.now()
        ended_by = results.why_no_retry(
            result, request.route, retry.tally, left_s
        )
        if ended_by is not None:
            break
    if isinstance(result, results.CallerLeft):
        _record_caller_left(relay, request, endpoint_id)
        return
    outcome = Outcome(result, last_answer, retry.tally, endpoint_id, ended_by)
    await _send_final_answer(relay, caller_delivery, outcome)


async def _find_after_startup(
    relay: relay_state.Relay,
    request: requests.Request,
    not_found: results.NotSent,
) -> placement.Placement | results.NotSent:
    """Waits for an endpoint in the first seconds after the process start."""
    if permitted_placement.has_endpoint(relay, request):
        return not_found
    if leaving_endpoints.explain_if_all_leave(relay, request):
        return not_found
    if evacuations.explain_if_none_left(relay, request):
        return not_found
    is_available = await relay.wait_until_known(
        lambda: permitted_placement.has_endpoint(relay, request)
    )
    if not is_available:
        return not_found
    return await permitted_placement.find(relay, request, set())


def _explain_no_endpoint(
    relay: relay_state.Relay,
    request: requests.Request,
    tried: set[str],
    not_found: results.NotSent,
) -> results.NoRetry:
    endpoints_by_state = collections.Counter(
        row.endpoint.state
        for row in relay.directory.rows.values()
        if row.endpoint.upstream == request.upstream
    )
    states = [f"{count} {state}" for state, count in endpoints_by_state.items()]
    return results.NoRetry(
        decision="no endpoint",
        inputs=", ".join(
            [not_found.reason, f"{len(tried)} tried", *sorted(states)]
        ),
    )


def _find_refusal(
    relay: relay_state.Relay, request: requests.Request
) -> tuple[results.NotSent, results.NoRetry] | None:
    """Returns why a request is sent to no endpoint, None if it may be."""
    refused_key = admission.find_refused_key(relay, request)
    if refused_key:
        not_sent = results.NotSent(
            reason=f"{refused_key} crashes endpoints",
            retry_after_s=refusals.RETENTION_S,
        )
        return not_sent, results.NoRetry(decision="refused", inputs=refused_key)
    not_sent = stopping.find_refusal(relay, request)
    if not_sent is not None:
        return not_sent, results.NoRetry(decision="stopping")
    return None


async def _send_final_answer(
    relay: relay_state.Relay,
    caller_delivery: delivery.Delivery,
    outcome: Outcome,
) -> None:
    result, last_answer, tally, endpoint_id, ended_by = outcome
    request = caller_delivery.request
    took_ms = round((relay.now() - request.received_at) * 1000)
    route = request.route.name
    if isinstance(result, results.Delivered):
        first_ms = round(
            (caller_delivery.first_event_at - request.received_at) * 1000
        )
        _record_answer(relay, request, outcome, result, took_ms, first_ms)
        return
    if caller_delivery.headers_sent:
        events.record(
            events.Event.BROKEN_OFF,
            request.id,
            route,
            endpoint_id,
            _result_reason(result),
            took_ms,
            ended_by.decision,
            ended_by.inputs,
        )
        return
    if last_answer is not None:
        _record_answer(relay, request, outcome, last_answer, took_ms)
        await caller_delivery.send_answer(
            last_answer.status, last_answer.headers, last_answer.body
        )
        return
    status = results.final_status(result, tally)
    if status == results.STATUS_UNAVAILABLE:
        await refuse(
            relay,
            caller_delivery,
            status=status,
            reason=_result_reason(result),
            retry_after_s=_retry_after_s(result),
            ended_by=ended_by,
        )
        return
    events.record(
        events.Event.FAILED,
        request.id,
        route,
        request.upstream,
        endpoint_id,
        status,
        _result_reason(result),
        tally.runs,
        took_ms,
        ended_by.decision,
        ended_by.inputs,
    )
    relay.metrics.count("failed", f'status="{status}"')
    await caller_delivery.send_local_answer(
        *problem_answer(status, _result_reason(result))
    )


async def refuse(
    relay: relay_state.Relay,
    caller_delivery: delivery.Delivery,
    *,
    status: int,
    reason: str,
    retry_after_s: float,
    ended_by: results.NoRetry,
) -> None:
    """Refuses a request that has not run and will not be run."""
    request = caller_delivery.request
    record_refusal(
        relay,
        request.id,
        status,
        reason,
        route=request.route.name,
        elapsed_s=relay.now() - request.received_at,
        ended_by=ended_by,
    )
    await caller_delivery.send_local_answer(
        *problem_answer(status, reason, retry_after_s)
    )


def record_refusal(
    relay: relay_state.Relay,
    request_id: str,
    status: int,
    reason: str,
    *,
    route: str = "",
    elapsed_s: float = 0.0,
    ended_by: results.NoRetry = NOT_ADMITTED,
) -> None:
    """Records a refusal in the log and the metrics."""
    events.record(
        events.Event.REFUSED,
        request_id,
        route,
        status,
        reason,
        round(elapsed_s * 1000),
        relay.routes_version,
        ended_by.decision,
        ended_by.inputs,
    )
    relay.metrics.count("refused", f'status="{status}"')


def problem_answer(
    status: int, reason: str, retry_after_s: float = 0.0
) -> tuple[int, replies.Headers, bytes]:
    """Returns status, headers and body of an error answer by the entry."""
    body = json.dumps({"status": status, "detail": reason}).encode()
    headers = [
        (b"content-type", PROBLEM_CONTENT_TYPE),
        (b"content-length", str(len(body)).encode()),
    ]
    if retry_after_s:
        headers.append((b"retry-after", f"{retry_after_s:.2f}".encode()))
    return status, headers, body


def _retry_after_s(result: results.Result) -> float:
    if isinstance(result, results.NotSent) and result.retry_after_s:
        return result.retry_after_s
    return RETRY_AFTER_S


def _result_reason(result: results.Result) -> str:
    if isinstance(result, results.Answered):
        return f"status {result.status}"
    return getattr(result, "reason", "")


def _record_caller_left(
    relay: relay_state.Relay, request: requests.Request, endpoint_id: str
) -> None:
    took_ms = round((relay.now() - request.received_at) * 1000)
    relay.metrics.count("callers_left")
    events.record(
        events.Event.CALLER_LEFT,
        request.id,
        request.route.name,
        endpoint_id,
        took_ms,
    )


def _record_answer(
    relay: relay_state.Relay,
    request: requests.Request,
    outcome: Outcome,
    result: results.Answered | results.Delivered,
    took_ms: int,
    first_ms: int | None = None,
) -> None:
    if first_ms is None:
        first_ms = took_ms
    is_stream = isinstance(result, results.Delivered)
    status = STATUS_OK if is_stream else result.status
    relay.metrics.count("answered", f'status="{status}"')
    relay.metrics.record(
        "answer", f'route="{request.route.name}"', took_ms / 1000
    )
    failed = status >= results.MIN_FAILURE_STATUS
    tally, ended_by = outcome.tally, outcome.ended_by
    fields = [
        request.id,
        request.route.name,
        request.upstream,
        outcome.endpoint_id,
    ]
    if failed:
        reason = "the upstream's own answer"
        events.record(
            events.Event.FAILED,
            *fields,
            status,
            reason,
            tally.runs,
            took_ms,
            ended_by.decision,
            ended_by.inputs,
        )
    else:
        events.record(
            events.Event.ANSWERED,
            *fields,
            status,
            tally.runs,
            first_ms,
            took_ms,
            result.body_end,
            result.rest_bytes if is_stream else 0,
        )
