"""Non-repeatable calls: at most once, whatever fails.

The intent is committed before a connection is opened. After a byte may have
left, nobody tries again. Only a connection that never opened withdraws the
intent.
"""

import asyncio
import base64
import json
import uuid

from _arbutuswalk.base import events
from _arbutuswalk.entry import control_client
from _arbutuswalk.entry import core
from _arbutuswalk.entry import exchange
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import services
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import commands
from _arbutuswalk.state import inventory as inventories
from _arbutuswalk.state import outcomes
from _arbutuswalk.streams import answer

COMMIT_TIMEOUT_S = 3.0
GRANT_VALID_S = 4.0
"""How old a grant may be when the call is sent: an entry that was paused
longer may have been declared gone meanwhile."""
POLL_S = 0.2
RECORD_RETRY_S = 1.0
RECORD_TRIES = 60
MAX_RECORDED_BYTES = 256 * 1024
STATUS_TIMEOUT_S = 2.0
MAX_OPEN_TRIES = 3

Outcome = exchange.Reply | answer.Problem


async def run_once(entry: core.Entry, call: services.ServiceCall) -> Outcome:
    """Runs a call at most once and returns its answer or what is known.

    A resend that comes while the call runs here waits for the same answer.
    """
    identity = (call.workspace, call.key)
    digest = _digest(call)
    running = entry.calls.get(identity)
    if running is not None:
        known_digest, future = running
        if known_digest != digest:
            return reused_problem()
        return await asyncio.shield(future)
    future = asyncio.get_running_loop().create_future()
    entry.calls[identity] = (digest, future)
    try:
        outcome = await _begin(entry, call, digest)
    except BaseException:
        outcome = _unknown("the entry stopped while running the call")
        raise
    finally:
        del entry.calls[identity]
        if not future.done():
            future.set_result(outcome)
    return outcome


async def _begin(
    entry: core.Entry, call: services.ServiceCall, digest: str
) -> Outcome:
    """Commits the intent, then sends; tries again only if never opened."""
    avoid: set[str] = set()
    for _ in range(MAX_OPEN_TRIES):
        row = await services.wait_for_upstream(entry, call, frozenset(avoid))
        if row is None:
            return _not_run("no upstream is up")
        attempt = uuid.uuid4().hex
        asked_at = entry.now()
        granted = await entry.control.submit(
            _intent(entry, call, digest, attempt, row),
            timeout_s=min(COMMIT_TIMEOUT_S, call.deadline - asked_at),
        )
        if not isinstance(granted, outcomes.Granted):
            return await _not_granted(entry, call, attempt, granted)
        if entry.now() - asked_at > GRANT_VALID_S:
            _withdraw_later(entry, call, attempt)
            return _not_run("the intent was committed too late")
        outcome = await _send(entry, call, attempt, row)
        if outcome is not None:
            return outcome
        avoid.add(row.key)
    return _not_run("no connection to an upstream opened")


async def _not_granted(
    entry: core.Entry,
    call: services.ServiceCall,
    attempt: str,
    outcome: object,
) -> Outcome:
    if isinstance(outcome, outcomes.CallState):
        return await _known(entry, call, outcome)
    if isinstance(outcome, outcomes.Reused):
        return reused_problem()
    if isinstance(outcome, control_client.Unreachable):
        # The intent may still be committed; it will never be sent.
        _withdraw_later(entry, call, attempt)
        return _not_run("the control group did not answer")
    return _not_run("the entry has to register again")


async def _send(
    entry: core.Entry,
    call: services.ServiceCall,
    attempt: str,
    row: upstreams.Row,
) -> Outcome | None:
    """Sends a granted call; None when it never left and was withdrawn."""
    row.sent_since_report += 1
    row.active_attempts[call.call_id] = None
    started = entry.now()
    try:
        result = await exchange.run(
            entry.pool,
            services.order_of(call, row),
            timeout_s=entry.values["service_timeout_s"],
            fresh=True,
        )
    finally:
        row.ended_since_report += 1
        row.active_attempts.pop(call.call_id, None)
        entry.note_usage(
            row.announcement["instance"], call.workspace, entry.now() - started
        )
    services.note_evidence(entry, call, row, result, entry.now() - started)
    if isinstance(result, exchange.NotOpened):
        row.failed_at = entry.now()
        return await _withdraw(entry, call, attempt)
    if isinstance(result, exchange.Lost):
        return await _resolve(entry, call, attempt, row)
    _record_later(entry, _finished(call, attempt, result))
    return result


async def _withdraw(
    entry: core.Entry, call: services.ServiceCall, attempt: str
) -> Outcome | None:
    command = commands.WithdrawCall(call.workspace, call.key, attempt)
    outcome = await entry.control.submit(command, timeout_s=COMMIT_TIMEOUT_S)
    if isinstance(outcome, control_client.Unreachable):
        _record_later(entry, command)
        return _not_run("no connection to the upstream opened")
    return None


async def _resolve(
    entry: core.Entry,
    call: services.ServiceCall,
    attempt: str,
    row: upstreams.Row,
) -> Outcome:
    """Asks the status route what became of a call whose answer is lost."""
    events.warn(events.Event.CALL_UNKNOWN, call.key, row.key)
    entry.metrics.count("calls_unknown")
    found = await ask_status(entry, call.upstream, call.route, call.key, row)
    if found is not None:
        _record_later(entry, _finished(call, attempt, found))
        return found
    _record_later(entry, commands.LoseCall(call.workspace, call.key, attempt))
    return _unknown("the answer was lost on the way")


async def ask_status(
    entry: core.Entry,
    upstream: inventories.Upstream,
    route: inventories.Route,
    key: str,
    row: upstreams.Row | None,
) -> exchange.Reply | None:
    """Returns the recorded answer of a call, if the service has one.

    A status that says "not run" proves nothing while the call may still be
    on its way, so only a positive answer counts.
    """
    pattern = route.get("status", "")
    rows = [row] if row else []
    rows += upstreams.usable(entry.upstreams, upstream["name"], entry.now())
    if not pattern or not rows:
        return None
    order = exchange.Order(
        address=rows[0].announcement["address"],
        method="GET",
        path=pattern.replace("{key}", key),
        headers={},
        body=b"",
        request_id=key,
        attempt_id=uuid.uuid4().hex,
        key="",
        priority=0,
        echo=rows[0].announcement["echo"],
    )
    result = await exchange.run(
        entry.pool, order, timeout_s=STATUS_TIMEOUT_S, fresh=True
    )
    if isinstance(result, exchange.Reply) and result.status == 200:
        return result
    return None


async def _known(
    entry: core.Entry, call: services.ServiceCall, state: outcomes.CallState
) -> Outcome:
    """Answers a resend from the record, waiting while the call runs."""
    while state.state == "running" and entry.now() < call.deadline:
        await asyncio.sleep(POLL_S)
        found = await entry.control.read(
            "call",
            f"{call.workspace}\n{call.key}",
            timeout_s=COMMIT_TIMEOUT_S,
        )
        if not isinstance(found, dict):
            return _unknown("the control group did not answer")
        decoded = outcomes.decode(found)
        if not isinstance(decoded, outcomes.CallState):
            return _not_run("the call was withdrawn; send it again")
        state = decoded
    if state.state == "unknown":
        found = await ask_status(
            entry, call.upstream, call.route, call.key, None
        )
        if found is not None:
            return found
    return recorded(state)


def recorded(state: outcomes.CallState) -> Outcome:
    """Returns the answer or problem that a record stands for."""
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
    return _unknown("the outcome of the first sending is not known")


def reused_problem() -> answer.Problem:
    """Returns the refusal of a key that belongs to another body."""
    detail = "the Idempotency-Key was used with another call"
    return answer.Problem(409, "key reused", detail, "no")


def _intent(
    entry: core.Entry,
    call: services.ServiceCall,
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


def _finished(
    call: services.ServiceCall, attempt: str, reply: exchange.Reply
) -> commands.FinishCall:
    body = reply.body
    status, content_type = reply.status, reply.content_type
    if len(body) > MAX_RECORDED_BYTES:
        note = {"title": "answer too large to record", "ran": "yes"}
        body, status = json.dumps(note).encode(), 200
        content_type = "application/problem+json"
    return commands.FinishCall(
        workspace=call.workspace,
        key=call.key,
        attempt=attempt,
        status=status,
        content_type=content_type,
        body=base64.b64encode(body).decode(),
    )


def _digest(call: services.ServiceCall) -> str:
    head = f"{call.method} {call.upstream['name']} {call.path}\n".encode()
    return inventories.digest(head + call.body)


def _withdraw_later(
    entry: core.Entry, call: services.ServiceCall, attempt: str
) -> None:
    _record_later(
        entry, commands.WithdrawCall(call.workspace, call.key, attempt)
    )


def _record_later(entry: core.Entry, command: commands.Command) -> None:
    """Commits what is known of a call, however long it takes."""
    entry.hold(asyncio.ensure_future(_record(entry, command)))


async def _record(entry: core.Entry, command: commands.Command) -> None:
    for _ in range(RECORD_TRIES):
        outcome = await entry.control.submit(
            command, timeout_s=COMMIT_TIMEOUT_S
        )
        if not isinstance(outcome, control_client.Unreachable):
            return
        await asyncio.sleep(RECORD_RETRY_S)


def _not_run(detail: str) -> answer.Problem:
    return answer.Problem(503, "not run", detail, "no", placing.RETRY_AFTER_S)


def _unknown(detail: str) -> answer.Problem:
    return answer.Problem(
        504,
        "outcome unknown",
        f"{detail}; it is never sent again; ask with the same key",
        "unknown",
        placing.RETRY_AFTER_S,
    )
