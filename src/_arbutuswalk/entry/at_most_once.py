"""Runs non-idempotent calls at most once.

The intent to run a call is committed before a connection is opened. Once any
byte may have been sent, the call is never sent again. The intent is withdrawn
only if no connection opened.
"""

import asyncio
import base64
import json
import uuid

from _arbutuswalk.base import events
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import exchange
from _arbutuswalk.entry import placement
from _arbutuswalk.entry import service_routes
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import outcomes
from _arbutuswalk.streams import answer

COMMIT_TIMEOUT_S = 3.0
MAX_GRANT_AGE_S = 4.0
"""Maximum age of a grant when the call is sent. An entry that was paused for
longer may have been declared gone in the meantime."""
RUNNING_POLL_INTERVAL_S = 0.2
RECORD_RETRY_INTERVAL_S = 1.0
MAX_RECORD_ATTEMPTS = 60
MAX_RECORDED_BODY_BYTES = 256 * 1024
STATUS_TIMEOUT_S = 2.0
MAX_CONNECT_ATTEMPTS = 3

CallOutcome = exchange.Reply | answer.Problem


async def run_call(
    entry: entry_state.Entry, call: service_routes.ServiceCall
) -> CallOutcome:
    """Runs a call at most once and returns its answer or known outcome.

    A resend that arrives while the call runs here waits for the same answer.
    """
    scoped_key = (call.workspace, call.key)
    digest = _call_digest(call)
    known_call = entry.running_calls.get(scoped_key)
    if known_call is not None:
        known_digest, future = known_call
        if known_digest != digest:
            return reused_problem()
        return await asyncio.shield(future)
    future = asyncio.get_running_loop().create_future()
    entry.running_calls[scoped_key] = (digest, future)
    try:
        outcome = await _commit_and_send(entry, call, digest)
    except BaseException:
        outcome = _unknown_outcome_problem(
            "the entry stopped while running the call"
        )
        raise
    finally:
        del entry.running_calls[scoped_key]
        if not future.done():
            future.set_result(outcome)
    return outcome


async def _commit_and_send(
    entry: entry_state.Entry, call: service_routes.ServiceCall, digest: str
) -> CallOutcome:
    """Commits the intent and sends; retries only if no connection opened."""
    avoid: set[str] = set()
    for _ in range(MAX_CONNECT_ATTEMPTS):
        row = await service_routes.wait_for_upstream(
            entry, call, frozenset(avoid)
        )
        if row is None:
            return _not_run_problem("no upstream is up")
        attempt = uuid.uuid4().hex
        asked_at = entry.now()
        granted = await entry.control.submit(
            _begin_command(entry, call, digest, attempt, row),
            timeout_s=min(COMMIT_TIMEOUT_S, call.deadline - asked_at),
        )
        if not isinstance(granted, outcomes.Granted):
            return await _answer_ungranted(entry, call, attempt, granted)
        if entry.now() - asked_at > MAX_GRANT_AGE_S:
            _withdraw_in_background(entry, call, attempt)
            return _not_run_problem("the intent was committed too late")
        outcome = await _send(entry, call, attempt, row)
        if outcome is not None:
            return outcome
        avoid.add(row.key)
    return _not_run_problem("no connection to an upstream opened")


async def _answer_ungranted(
    entry: entry_state.Entry,
    call: service_routes.ServiceCall,
    attempt: str,
    outcome: object,
) -> CallOutcome:
    if isinstance(outcome, outcomes.CallState):
        return await _answer_resend(entry, call, outcome)
    if isinstance(outcome, outcomes.Reused):
        return reused_problem()
    if isinstance(outcome, control_client.Unreachable):
        # The intent may still be committed, but the call is never sent.
        _withdraw_in_background(entry, call, attempt)
        return _not_run_problem("the control group did not answer")
    return _not_run_problem("the entry has to register again")


async def _send(
    entry: entry_state.Entry,
    call: service_routes.ServiceCall,
    attempt: str,
    row: upstreams.Row,
) -> CallOutcome | None:
    """Sends a granted call; None if it was not sent and was withdrawn."""
    row.sent_since_report += 1
    row.active_attempts[call.call_id] = None
    started = entry.now()
    try:
        result = await exchange.run(
            entry.pool,
            service_routes.make_order(call, row),
            timeout_s=entry.settings["service_timeout_s"],
            fresh=True,
        )
    finally:
        row.ended_since_report += 1
        row.active_attempts.pop(call.call_id, None)
        entry.record_usage(
            row.announcement["instance"], call.workspace, entry.now() - started
        )
    service_routes.record_outcome(
        entry, call, row, result, entry.now() - started
    )
    if isinstance(result, exchange.NotOpened):
        row.failed_at = entry.now()
        return await _withdraw(entry, call, attempt)
    if isinstance(result, exchange.Lost):
        return await _resolve(entry, call, attempt, row)
    _record_in_background(entry, _finish_command(call, attempt, result))
    return result


async def _withdraw(
    entry: entry_state.Entry, call: service_routes.ServiceCall, attempt: str
) -> CallOutcome | None:
    command = commands.WithdrawCall(call.workspace, call.key, attempt)
    outcome = await entry.control.submit(command, timeout_s=COMMIT_TIMEOUT_S)
    if isinstance(outcome, control_client.Unreachable):
        _record_in_background(entry, command)
        return _not_run_problem("no connection to the upstream opened")
    return None


async def _resolve(
    entry: entry_state.Entry,
    call: service_routes.ServiceCall,
    attempt: str,
    row: upstreams.Row,
) -> CallOutcome:
    """Queries the status route about a call whose answer was lost."""
    events.warn(events.Event.CALL_UNKNOWN, call.key, row.key)
    entry.metrics.count("calls_unknown")
    reply = await query_status_route(
        entry, call.upstream, call.route, call.key, row
    )
    if reply is not None:
        _record_in_background(entry, _finish_command(call, attempt, reply))
        return reply
    _record_in_background(
        entry, commands.LoseCall(call.workspace, call.key, attempt)
    )
    return _unknown_outcome_problem("the answer was lost on the way")


async def query_status_route(
    entry: entry_state.Entry,
    upstream: inventories.Upstream,
    route: inventories.Route,
    key: str,
    row: upstreams.Row | None,
) -> exchange.Reply | None:
    """Returns the answer that the service recorded for a call, if any.

    A status of "not run" proves nothing while the call may still be in
    transit, so only a positive answer counts.
    """
    status_path = route.get("status", "")
    rows = [row] if row else []
    rows += upstreams.usable(entry.upstreams, upstream["name"], entry.now())
    if not status_path or not rows:
        return None
    order = exchange.Order(
        address=rows[0].announcement["address"],
        method="GET",
        path=status_path.replace("{key}", key),
        headers={},
        body=b"",
        request_id=key,
        attempt_id=uuid.uuid4().hex,
        key="",
        priority=0,
        echo=rows[0].announcement["echo"],
    )
    reply = await exchange.run(
        entry.pool, order, timeout_s=STATUS_TIMEOUT_S, fresh=True
    )
    if isinstance(reply, exchange.Reply) and reply.status == 200:
        return reply
    return None


async def _answer_resend(
    entry: entry_state.Entry,
    call: service_routes.ServiceCall,
    state: outcomes.CallState,
) -> CallOutcome:
    """Answers a resend from the call's record, waiting while it runs."""
    while state.state == "running" and entry.now() < call.deadline:
        await asyncio.sleep(RUNNING_POLL_INTERVAL_S)
        reply = await entry.control.read(
            "call",
            f"{call.workspace}\n{call.key}",
            timeout_s=COMMIT_TIMEOUT_S,
        )
        if not isinstance(reply, dict):
            return _unknown_outcome_problem("the control group did not answer")
        new_state = outcomes.decode(reply)
        if not isinstance(new_state, outcomes.CallState):
            return _not_run_problem("the call was withdrawn; send it again")
        state = new_state
    if state.state == "unknown":
        reply = await query_status_route(
            entry, call.upstream, call.route, call.key, None
        )
        if reply is not None:
            return reply
    return outcome_of_record(state)


def outcome_of_record(state: outcomes.CallState) -> CallOutcome:
    """Returns the answer or problem that a recorded call state represents."""
    if state.state == "done":
        return exchange.Reply(
            status=state.status,
            content_type=state.content_type,
            body=base64.b64decode(state.body),
        )
    if state.state == "running":
        return answer.Problem(
            504, "still running", "ask again with the same key", "yes", 1
        )
    return _unknown_outcome_problem(
        "the outcome of the first sending is not known"
    )


def reused_problem() -> answer.Problem:
    """Returns the refusal of a key that was used with another call."""
    detail = "the Idempotency-Key was used with another call"
    return answer.Problem(409, "key reused", detail, "no")


def _begin_command(
    entry: entry_state.Entry,
    call: service_routes.ServiceCall,
    digest: str,
    attempt: str,
    row: upstreams.Row,
) -> commands.BeginCall:
    return commands.BeginCall(
        workspace=call.workspace,
        key=call.key,
        digest=digest,
        attempt=attempt,
        entry=entry.name,
        incarnation=entry.incarnation,
        upstream=row.announcement["id"],
        route=f"{call.upstream['name']}/{call.route['name']}",
    )


def _finish_command(
    call: service_routes.ServiceCall, attempt: str, reply: exchange.Reply
) -> commands.FinishCall:
    body = reply.body
    status, content_type = reply.status, reply.content_type
    if len(body) > MAX_RECORDED_BODY_BYTES:
        notice = {"title": "answer too large to record", "ran": "yes"}
        body, status = json.dumps(notice).encode(), 200
        content_type = "application/problem+json"
    return commands.FinishCall(
        workspace=call.workspace,
        key=call.key,
        attempt=attempt,
        status=status,
        content_type=content_type,
        body=base64.b64encode(body).decode(),
    )


def _call_digest(call: service_routes.ServiceCall) -> str:
    request_line = (
        f"{call.method} {call.upstream['name']} {call.path}\n".encode()
    )
    return inventories.sha256_hex(request_line + call.body)


def _withdraw_in_background(
    entry: entry_state.Entry, call: service_routes.ServiceCall, attempt: str
) -> None:
    _record_in_background(
        entry, commands.WithdrawCall(call.workspace, call.key, attempt)
    )


def _record_in_background(
    entry: entry_state.Entry, command: commands.Command
) -> None:
    """Commits the outcome of a call in the background, with retries."""
    entry.track_task(
        asyncio.ensure_future(_submit_until_recorded(entry, command))
    )


async def _submit_until_recorded(
    entry: entry_state.Entry, command: commands.Command
) -> None:
    for _ in range(MAX_RECORD_ATTEMPTS):
        outcome = await entry.control.submit(
            command, timeout_s=COMMIT_TIMEOUT_S
        )
        if not isinstance(outcome, control_client.Unreachable):
            return
        await asyncio.sleep(RECORD_RETRY_INTERVAL_S)


def _not_run_problem(detail: str) -> answer.Problem:
    return answer.Problem(503, "not run", detail, "no", placement.RETRY_AFTER_S)


def _unknown_outcome_problem(detail: str) -> answer.Problem:
    return answer.Problem(
        504,
        "outcome unknown",
        f"{detail}; it is never sent again; ask with the same key",
        "unknown",
        placement.RETRY_AFTER_S,
    )
