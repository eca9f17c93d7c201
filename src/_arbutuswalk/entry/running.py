"""Runs one model request over as many attempts as it takes."""

import asyncio
import uuid

from _arbutuswalk.base import events
from _arbutuswalk.entry import core
from _arbutuswalk.entry import placing
from _arbutuswalk.entry import requests
from _arbutuswalk.entry import suspicion
from _arbutuswalk.entry import transfers
from _arbutuswalk.limits import fair
from _arbutuswalk.routing import evidence
from _arbutuswalk.routing import upstreams
from _arbutuswalk.routing import versions
from _arbutuswalk.streams import answer
from _arbutuswalk.streams import attempts

MAX_DECLINED = 4
BUDGET_PAUSE_S = 0.05
RETRY_STATUSES = (429, 500, 502, 503, 504)


class Run:
    """State of a running request between its attempts.

    Attributes:
        entry: The entry it runs in.
        request: The request.
        avoid: Keys of upstreams that failed it.
        declined: Attempts that were answered with an error.
        again: Row to try once more on a new connection, or None.
        free_retry: Whether the next attempt is not charged to the budget.
        ticket: Its place in the queue, before the first attempt.
    """

    def __init__(
        self,
        *,
        entry: core.Entry,
        request: requests.ModelRequest,
        ticket: fair.Ticket | None,
    ):
        self.entry = entry
        self.request = request
        self.avoid: set[str] = set()
        self.declined = 0
        self.again: upstreams.Row | None = None
        self.free_retry = True
        self.ticket = ticket


async def run(
    entry: core.Entry,
    request: requests.ModelRequest,
    ticket: fair.Ticket,
) -> None:
    """Runs ``request`` until its answer has ended.

    Args:
        entry: The entry.
        request: The request.
        ticket: Its place in the queue.
    """
    state = Run(entry=entry, request=request, ticket=ticket)
    entry.budget_of(request.upstream).deposit()
    while not request.answer.ended:
        if not await _may_try(state):
            _give_up(state)
            return
        row = await _place(state)
        if isinstance(row, answer.Problem):
            request.answer.fail(row)
            return
        if row is None:
            _give_up(state)
            return
        await _attempt(state, row)


async def _may_try(state: Run) -> bool:
    """Waits for the retry budget; false when the deadline passes."""
    entry, request = state.entry, state.request
    budget = entry.budget_of(request.upstream)
    while entry.now() < request.deadline:
        if state.free_retry or budget.withdraw(entry.now()):
            state.free_retry = False
            return True
        await asyncio.sleep(BUDGET_PAUSE_S)
    return False


async def _place(state: Run) -> upstreams.Row | answer.Problem | None:
    entry, request = state.entry, state.request
    until_ms = entry.convicted_until_ms(request.fingerprint)
    if until_ms:
        return suspicion.convicted_problem(request, until_ms)
    avoid = frozenset(state.avoid)
    again, state.again = state.again, None
    ticket, state.ticket = state.ticket, None
    if entry.is_suspect(request.fingerprint):
        if ticket is not None:
            placing.forget(entry, ticket)
        return await suspicion.place_alone(entry, request, avoid=avoid)
    now = entry.now()
    if again and again.health(now) is upstreams.Health.USABLE:
        placing.reserve(again, request)
        return again
    if ticket is None:
        ticket = placing.enqueue(entry, request, avoid=avoid)
    return await placing.place(entry, request, ticket)


async def _attempt(state: Run, row: upstreams.Row) -> None:
    entry, request = state.entry, state.request
    started = entry.now()
    before = len(request.answer.events)
    request.attempts += 1
    request.sent = True
    request.move.clear()
    _explain(state, f"attempt {request.attempts} on {row.key} at {before}")
    first_token: list[float] = []

    def feed(new: list[bytes]) -> None:
        if not first_token:
            first_token.append(entry.now() - started)
            _record(entry, row, "first_token", first_token[0])
        request.answer.add(new)

    try:
        result = await _run_or_move(state, row, feed)
        if isinstance(result, attempts.Broke | attempts.Silent):
            row.broken.add(request.fingerprint)
    except asyncio.CancelledError:
        suspicion.release_later(entry, request)
        raise
    finally:
        placing.release(entry, row, request)
        entry.note_usage(
            row.said["instance"], request.workspace, entry.now() - started
        )
    entry.learn_speed(
        request.upstream,
        len(request.answer.events) - before,
        entry.now() - started,
    )
    _count_recomputed(state, result, before)
    _note_evidence(state, row, result, first_token)
    await _settle(state, row, result)


async def _run_or_move(
    state: Run, row: upstreams.Row, feed: attempts.Feed
) -> attempts.Result:
    """Runs the attempt, or stops it once its work was moved elsewhere."""
    entry, request = state.entry, state.request
    running = asyncio.ensure_future(
        attempts.run(_order(state, row), _deadlines(entry), feed)
    )
    moving = asyncio.ensure_future(request.move.wait())
    try:
        await asyncio.wait(
            (running, moving), return_when=asyncio.FIRST_COMPLETED
        )
        if running.done():
            return running.result()
        await transfers.export_cache(entry, row, request)
        if running.done():
            return running.result()
        return attempts.Stopped()
    finally:
        moving.cancel()
        if not running.done():
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


def _order(state: Run, row: upstreams.Row) -> attempts.Order:
    request = state.request
    body = {**request.body, "stream": True}
    if request.answer.events:
        body["continue_from"] = {
            "text": request.answer.text(),
            "events": len(request.answer.events),
        }
    return attempts.Order(
        address=row.said["address"],
        path=requests.PATHS[request.route],
        request_id=request.request_id,
        attempt_id=uuid.uuid4().hex,
        body=body,
        priority=request.priority,
        echo=row.said["echo"],
    )


def _deadlines(entry: core.Entry) -> attempts.Deadlines:
    return attempts.Deadlines(
        connect_s=entry.values["connect_s"],
        first_byte_s=entry.values["first_byte_s"],
        gap_s=entry.values["gap_s"],
    )


async def _settle(
    state: Run, row: upstreams.Row, result: attempts.Result
) -> None:
    """Decides what an attempt's result means for the request."""
    entry, request = state.entry, state.request
    if isinstance(result, attempts.Completed):
        request.answer.finish()
        await suspicion.release(entry, request, cleared=True)
        return
    reason = f"{type(result).__name__}: {result}"
    events.log(events.Event.ATTEMPT_FAILED, request.request_id, row.key, reason)
    entry.metrics.count("attempts_failed", f'kind="{type(result).__name__}"')
    _explain(state, f"ended by {type(result).__name__}")
    died, blamed = await _look_for_death(state, row, result)
    if not died and request.fingerprint in row.broken:
        row.broken.discard(request.fingerprint)
        row.spared[request.fingerprint] = entry.now()
    # Work lost with its upstream is no sign of overload.
    state.free_retry = died or _was_announced(state, row, result)
    if blamed == request.fingerprint:
        until_ms = entry.convicted_until_ms(request.fingerprint)
        request.answer.fail(suspicion.convicted_problem(request, until_ms))
        return
    await suspicion.release(entry, request, cleared=False)
    _choose_next(state, row, result)


def _choose_next(
    state: Run, row: upstreams.Row, result: attempts.Result
) -> None:
    if isinstance(result, attempts.Stopped):
        state.avoid.add(row.key)
        return
    silent = isinstance(result, attempts.Silent)
    if silent and row.key not in state.avoid:
        # The connection may be at fault rather than the upstream, whose
        # cache is warm: try it once more before any other.
        state.again = row
    if isinstance(result, attempts.NotConnected):
        row.failed_at = state.entry.now()
    state.avoid.add(row.key)
    if isinstance(result, attempts.Declined):
        _count_declined(state, result)


def _count_declined(state: Run, result: attempts.Declined) -> None:
    state.declined += 1
    final = result.status not in RETRY_STATUSES
    if final or state.declined >= MAX_DECLINED:
        status = result.status if final else 502
        state.request.answer.fail(
            answer.Problem(status, "upstream error", result.detail, "yes")
        )


async def _look_for_death(
    state: Run, row: upstreams.Row, result: attempts.Result
) -> tuple[bool, str]:
    """Reports an unannounced death.

    Returns:
        Whether the upstream died unannounced, and the fingerprint blamed.
    """
    if not isinstance(result, attempts.Broke | attempts.Silent):
        return False, ""
    if row.health(state.entry.now()) is upstreams.Health.LEAVING:
        return False, ""
    if not await suspicion.is_dead(state.entry, row):
        return False, ""
    if row.health(state.entry.now()) is upstreams.Health.LEAVING:
        return False, ""
    return True, await suspicion.report_death(state.entry, row)


def _was_announced(
    state: Run, row: upstreams.Row, result: attempts.Result
) -> bool:
    leaving = row.health(state.entry.now()) is upstreams.Health.LEAVING
    return leaving or isinstance(result, attempts.Stopped)


def _note_evidence(
    state: Run,
    row: upstreams.Row,
    result: attempts.Result,
    first_token: list[float],
) -> None:
    entry, request = state.entry, state.request
    if _was_announced(state, row, result):
        return  # a reclaim is not the version's fault
    if isinstance(result, attempts.NotConnected):
        return
    wanted, old = versions.pick(
        entry.moves, request.upstream, request.route, request.request_id
    )
    version = row.said["version"]
    side = evidence.Side(request.upstream, version, request.route)
    baseline = evidence.Side(request.upstream, old, request.route)
    cut = entry.evidence.note(
        side,
        failed=not isinstance(result, attempts.Completed),
        latency_s=first_token[0] if first_token else 0.0,
        baseline=baseline if old else None,
        on_trial=bool(old) and version == wanted,
    )
    if cut:
        events.warn(events.Event.VERSION_CUT_OFF, *side)


def _count_recomputed(state: Run, result: attempts.Result, before: int) -> None:
    """Counts prompt and delivered tokens that a later attempt read anew."""
    request = state.request
    if request.attempts <= 1 or isinstance(result, attempts.NotConnected):
        return
    cached = getattr(result, "cached_tokens", 0)
    known = request.features.prompt_tokens + before
    state.entry.metrics.count(
        "recomputed_tokens", amount=max(0, known - cached)
    )
    if before:
        state.entry.metrics.count("resumed")
        events.log(
            events.Event.STREAM_CONTINUED, request.request_id, "", before
        )


def _record(
    entry: core.Entry, row: upstreams.Row, name: str, seconds: float
) -> None:
    labels = f'upstream="{row.name}",version="{row.said["version"]}"'
    entry.metrics.record(name, labels, seconds)


def _explain(state: Run, text: str) -> None:
    at = state.entry.now() - state.request.accepted_at
    state.request.history.append(f"{at:.3f} s: {text}")


def _give_up(state: Run) -> None:
    request = state.request
    ran = "unknown" if request.sent else "no"
    request.answer.fail(
        answer.Problem(
            504 if request.sent else 503,
            "deadline cannot be met",
            f"deadline passed; {request.attempts} attempts were made",
            ran,
            placing.RETRY_AFTER_S,
        )
    )
