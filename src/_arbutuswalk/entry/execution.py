"""Runs one model request, in as many attempts as it needs."""

import asyncio
import uuid

from _arbutuswalk.base import events
from _arbutuswalk.entry import attempt_metrics
from _arbutuswalk.entry import crash_quarantine
from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import isolation
from _arbutuswalk.entry import migration
from _arbutuswalk.entry import model_requests
from _arbutuswalk.entry import placement
from _arbutuswalk.entry import retry_reservation
from _arbutuswalk.limits import fair
from _arbutuswalk.routing import upstreams
from _arbutuswalk.routing import version_outcomes
from _arbutuswalk.routing import versions
from _arbutuswalk.streams import answer
from _arbutuswalk.streams import attempts

MAX_DECLINED_ATTEMPTS = 4
RETRYABLE_STATUSES = (429, 500, 502, 503, 504)


class RunState:
    """State of a running request between its attempts.

    Attributes:
        entry: The entry it runs in.
        request: The request.
        retry: Upstreams that were tried, and the next attempt.
        declined_attempts: Attempts that were answered with an error.
        row_to_retry: Upstream to try once more on a new connection, or None.
        ticket: Its queue ticket, before the first attempt.
    """

    def __init__(
        self,
        *,
        entry: entry_state.Entry,
        request: model_requests.ModelRequest,
        ticket: fair.Ticket | None,
    ):
        self.entry = entry
        self.request = request
        self.retry = retry_reservation.RetryReservation(
            entry=entry, request=request
        )
        self.declined_attempts = 0
        self.row_to_retry: upstreams.Row | None = None
        self.ticket = ticket


async def run(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    ticket: fair.Ticket,
) -> None:
    """Runs ``request`` until its answer has ended.

    Args:
        entry: The entry.
        request: The request.
        ticket: Its queue ticket.
    """
    state = RunState(entry=entry, request=request, ticket=ticket)
    entry.retry_budget_for(request.upstream).deposit()
    while not request.answer.ended:
        if not await state.retry.wait_for_budget():
            _fail_at_deadline(state)
            return
        row = await _reserve_upstream(state)
        if isinstance(row, answer.Problem):
            request.answer.fail(row)
            return
        if row is None:
            _fail_at_deadline(state)
            return
        await _attempt(state, row)


async def _reserve_upstream(
    state: RunState,
) -> upstreams.Row | answer.Problem | None:
    """Reserves an upstream; None if the deadline passes first.

    A request that becomes a suspect while it is queued leaves the queue.
    """
    entry, request = state.entry, state.request
    while entry.now() < request.deadline:
        await crash_quarantine.wait_while_unconfirmed(entry, request)
        until_ms = entry.convicted_until_ms(request.fingerprint)
        if until_ms:
            _leave_queue(state)
            return crash_quarantine.convicted_problem(request, until_ms)
        if entry.is_suspect(request.fingerprint):
            _leave_queue(state)
            placed = await isolation.place_isolated(
                entry, request, avoid=frozenset(state.retry.avoid)
            )
            if placed is not None:
                return placed
            continue
        row = await _reserve_shared_upstream(state)
        if row is None or crash_quarantine.may_share(entry, request):
            return row
        placement.release(entry, row, request)
    return None


def _leave_queue(state: RunState) -> None:
    ticket, state.ticket = state.ticket, None
    state.row_to_retry = None
    if ticket is not None:
        placement.leave_queue(state.entry, ticket)


async def _reserve_shared_upstream(state: RunState) -> upstreams.Row | None:
    entry, request = state.entry, state.request
    row_to_retry, state.row_to_retry = state.row_to_retry, None
    ticket, state.ticket = state.ticket, None
    now = entry.now()
    if (
        row_to_retry
        and not row_to_retry.isolated
        and row_to_retry.health(now) is upstreams.Health.USABLE
        and placement.may_send_to(entry, row_to_retry)
    ):
        placement.reserve(row_to_retry, request)
        return row_to_retry
    if ticket is None:
        avoid = frozenset(state.retry.avoid)
        ticket = placement.enqueue(entry, request, avoid=avoid)
    return await placement.wait_for_placement(entry, request, ticket)


async def _attempt(state: RunState, row: upstreams.Row) -> None:
    entry, request = state.entry, state.request
    started = entry.now()
    events_before = len(request.answer.events)
    request.attempts += 1
    request.possibly_sent = True
    request.move_requested.clear()
    _add_to_history(
        state, f"attempt {request.attempts} on {row.key} at {events_before}"
    )
    first_token_s: list[float] = []

    def on_events(new_events: list[bytes]) -> None:
        if not first_token_s:
            first_token_s.append(entry.now() - started)
            attempt_metrics.record_latency(
                entry, row, "first_token", first_token_s[0]
            )
        request.answer.add(new_events)

    try:
        result = await _run_or_move(state, row, on_events)
        if isinstance(result, attempts.Broke | attempts.Silent):
            row.unconfirmed_crashes.add(request.fingerprint)
            crash_quarantine.announce_lost_attempt(
                entry, row, request.fingerprint
            )
    except asyncio.CancelledError:
        isolation.release_isolation_in_background(entry, request)
        raise
    finally:
        placement.release(entry, row, request)
        entry.record_usage(
            row.announcement["instance"],
            request.workspace,
            entry.now() - started,
        )
    entry.update_slot_speed(
        request.upstream,
        len(request.answer.events) - events_before,
        entry.now() - started,
    )
    attempt_metrics.count_recomputed_tokens(
        entry, request, result, events_before
    )
    _record_outcome(state, row, result, first_token_s)
    await _handle_result(state, row, result)


async def _run_or_move(
    state: RunState, row: upstreams.Row, on_events: attempts.EventsCallback
) -> attempts.Result:
    """Runs the attempt, or stops it once a move was requested."""
    entry, request = state.entry, state.request
    events_before = len(request.answer.events)

    def may_leave() -> bool:
        has_begun = len(request.answer.events) > events_before
        return state.retry.may_leave(row, has_begun=has_begun)

    attempt = asyncio.ensure_future(
        attempts.run(
            _make_order(state, row),
            _attempt_deadlines(entry),
            on_events,
            may_leave,
        )
    )
    move = asyncio.ensure_future(request.move_requested.wait())
    try:
        await asyncio.wait((attempt, move), return_when=asyncio.FIRST_COMPLETED)
        if attempt.done():
            return attempt.result()
        await migration.copy_cache(entry, row, request)
        if attempt.done():
            return attempt.result()
        return attempts.Stopped()
    finally:
        move.cancel()
        if not attempt.done():
            attempt.cancel()
            await asyncio.gather(attempt, return_exceptions=True)


def _make_order(state: RunState, row: upstreams.Row) -> attempts.Order:
    request = state.request
    body = {**request.body, "stream": True}
    if request.answer.events:
        body["continue_from"] = {
            "text": request.answer.text(),
            "events": len(request.answer.events),
        }
    return attempts.Order(
        address=row.announcement["address"],
        path=model_requests.ROUTE_PATHS[request.route],
        request_id=request.request_id,
        attempt_id=uuid.uuid4().hex,
        body=body,
        priority=request.priority,
        echo=row.announcement["echo"],
        max_bytes=request.remaining_bytes,
    )


def _attempt_deadlines(entry: entry_state.Entry) -> attempts.Deadlines:
    return attempts.Deadlines(
        connect_s=entry.settings["connect_s"],
        first_byte_s=entry.settings["first_byte_s"],
        gap_s=entry.settings["gap_s"],
    )


async def _handle_result(
    state: RunState, row: upstreams.Row, result: attempts.Result
) -> None:
    """Ends the request or prepares its next attempt."""
    entry, request = state.entry, state.request
    if isinstance(result, attempts.Completed):
        request.answer.finish()
        await isolation.release_isolation(entry, request, cleared=True)
        return
    reason = f"{type(result).__name__}: {result}"
    events.log(events.Event.ATTEMPT_FAILED, request.request_id, row.key, reason)
    entry.metrics.count("attempts_failed", f'kind="{type(result).__name__}"')
    _add_to_history(state, f"ended by {type(result).__name__}")
    if isinstance(result, attempts.NotConnected):
        row.failed_at = entry.now()
        if result.refused:
            await crash_quarantine.hold_requests_on(entry, row)
    died, blamed = await _report_if_dead(state, row, result)
    if not died and request.fingerprint in row.unconfirmed_crashes:
        row.unconfirmed_crashes.discard(request.fingerprint)
        row.survived_at[request.fingerprint] = entry.now()
        crash_quarantine.announce_survival(entry, request.fingerprint)
    # An attempt lost with its upstream is no sign of overload.
    state.retry.exempt = died or _is_leaving_or_moved(state, row, result)
    if blamed == request.fingerprint:
        isolation.end_conviction(entry, request)
        until_ms = entry.convicted_until_ms(request.fingerprint)
        request.answer.fail(
            crash_quarantine.convicted_problem(request, until_ms)
        )
        return
    if isinstance(result, attempts.TooLarge):
        request.answer.fail(_too_large_problem(result))
    await isolation.release_isolation(entry, request, cleared=False)
    _prepare_retry(state, row, result)


def _too_large_problem(result: attempts.TooLarge) -> answer.Problem:
    detail = f"the upstream sent over {result.max_bytes} bytes"
    return answer.Problem(502, "answer too large", detail, "yes")


def _prepare_retry(
    state: RunState, row: upstreams.Row, result: attempts.Result
) -> None:
    if isinstance(result, attempts.Silent):
        if state.retry.record_left(row):
            state.row_to_retry = row
        return
    state.retry.avoid.add(row.key)
    if isinstance(result, attempts.Declined):
        _count_declined(state, result)


def _count_declined(state: RunState, result: attempts.Declined) -> None:
    state.declined_attempts += 1
    final = result.status not in RETRYABLE_STATUSES
    if final or state.declined_attempts >= MAX_DECLINED_ATTEMPTS:
        status = result.status if final else 502
        state.request.answer.fail(
            answer.Problem(status, "upstream error", result.detail, "yes")
        )


async def _report_if_dead(
    state: RunState, row: upstreams.Row, result: attempts.Result
) -> tuple[bool, str]:
    """Reports an unannounced death.

    Returns:
        Whether the upstream died unannounced, and the fingerprint blamed.
    """
    if not isinstance(result, attempts.Broke | attempts.Silent):
        return False, ""
    if row.health(state.entry.now()) is upstreams.Health.LEAVING:
        return False, ""
    if not await crash_quarantine.is_dead(state.entry, row):
        return False, ""
    if row.health(state.entry.now()) is upstreams.Health.LEAVING:
        return False, ""
    return True, await _report_death(state, row)


async def _report_death(state: RunState, row: upstreams.Row) -> str:
    """Reports a death; stops to wait for the outcome at the deadline."""
    entry, request = state.entry, state.request
    try:
        async with asyncio.timeout(max(0.0, request.deadline - entry.now())):
            return await crash_quarantine.report_death(entry, row)
    except TimeoutError:
        isolation.keep_until_reported(entry, request, row)
        return ""


def _is_leaving_or_moved(
    state: RunState, row: upstreams.Row, result: attempts.Result
) -> bool:
    leaving = row.health(state.entry.now()) is upstreams.Health.LEAVING
    return leaving or isinstance(result, attempts.Stopped)


def _record_outcome(
    state: RunState,
    row: upstreams.Row,
    result: attempts.Result,
    first_token_s: list[float],
) -> None:
    entry, request = state.entry, state.request
    if _is_leaving_or_moved(state, row, result):
        return  # a leaving upstream or a move says nothing about the version
    if isinstance(result, attempts.NotConnected):
        return
    assigned, previous = versions.pick_version(
        entry.moves, request.upstream, request.route, request.request_id
    )
    version = row.announcement["version"]
    outcome_key = version_outcomes.OutcomeKey(
        request.upstream, version, request.route
    )
    baseline = version_outcomes.OutcomeKey(
        request.upstream, previous, request.route
    )
    cut_off = entry.version_outcomes.record(
        outcome_key,
        failed=not isinstance(result, attempts.Completed),
        latency_s=first_token_s[0] if first_token_s else 0.0,
        baseline=baseline if previous else None,
        is_new_version=bool(previous) and version == assigned,
    )
    if cut_off:
        events.warn(events.Event.VERSION_CUT_OFF, *outcome_key)


def _add_to_history(state: RunState, text: str) -> None:
    elapsed_s = state.entry.now() - state.request.accepted_at
    state.request.history.append(f"{elapsed_s:.3f} s: {text}")


def _fail_at_deadline(state: RunState) -> None:
    request = state.request
    ran = "unknown" if request.possibly_sent else "no"
    request.answer.fail(
        answer.Problem(
            504 if request.possibly_sent else 503,
            "deadline cannot be met",
            f"deadline passed; {request.attempts} attempts were made",
            ran,
            placement.RETRY_AFTER_S,
        )
    )
