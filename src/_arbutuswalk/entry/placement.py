"""Places requests on upstreams: fair queues and early refusals."""

import asyncio
from typing import NamedTuple

from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import model_requests
from _arbutuswalk.limits import fair
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import upstreams
from _arbutuswalk.routing import version_outcomes
from _arbutuswalk.routing import versions
from _arbutuswalk.streams import answer

RETRY_AFTER_S = 1


class QueuedRequest(NamedTuple):
    """A request in a queue.

    Attributes:
        request: The request.
        avoid: Keys of upstreams to avoid.
        future: Resolves to the upstream, with a slot reserved.
    """

    request: model_requests.ModelRequest
    avoid: frozenset[str]
    future: asyncio.Future


def candidates(
    entry: entry_state.Entry, name: str, route: str, request_id: str
) -> list[upstreams.Row]:
    """Returns the usable upstreams of the version assigned to a request.

    A new version that this entry has cut off, or that has no usable upstream,
    is replaced by the old version.
    """
    rows = upstreams.usable(entry.upstreams, name, entry.now())
    if entry.evacuated_domains:
        rows = [row for row in rows if may_send_to(entry, row)]
    assigned, fallback = versions.pick_version(
        entry.moves, name, route, request_id
    )
    cut_off = (
        version_outcomes.OutcomeKey(name, assigned, route)
        in entry.version_outcomes.cut_off
    )
    if not cut_off:
        chosen = [
            row for row in rows if row.announcement["version"] == assigned
        ]
        if chosen or not fallback:
            return chosen
    return [row for row in rows if row.announcement["version"] == fallback]


def may_send_to(entry: entry_state.Entry, row: upstreams.Row) -> bool:
    """Returns whether an upstream's failure domain is not evacuated."""
    return row.announcement["domain"] not in entry.evacuated_domains


def early_refusal(
    entry: entry_state.Entry, request: model_requests.ModelRequest
) -> answer.Problem | None:
    """Refuses a new request whose deadline cannot be met.

    The estimate counts the waiting work of its workspace and the share that
    other workspaces receive in the meantime. A request is queued, not
    refused, while all upstreams are reserved for suspects.
    """
    rows = candidates(
        entry, request.upstream, request.route, request.request_id
    )
    if not rows:
        if upstreams.only_reserved(
            entry.upstreams, request.upstream, entry.now()
        ):
            return None
        return answer.Problem(
            503,
            "no upstream",
            f"no upstream of {request.upstream} is up; come back later",
            "no",
            RETRY_AFTER_S,
        )
    slots = sum(row.announcement["slots"] for row in rows)
    queue = entry.queue_for(request.upstream)
    ticket = _make_ticket(request, None)
    cost_ahead = queue.cost_ahead(ticket, _total_weight(entry))
    tokens_per_s = max(1, slots) * entry.slot_speed(request.upstream)
    wait_s = cost_ahead / tokens_per_s
    left_s = request.deadline - entry.now()
    if cost_ahead and wait_s + request.max_tokens / tokens_per_s > left_s:
        return answer.Problem(
            429,
            "deadline cannot be met",
            f"about {wait_s:.1f} s of work is waiting before this request",
            "no",
            max(RETRY_AFTER_S, int(wait_s - left_s) + 1),
        )
    return None


def enqueue(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    *,
    avoid: frozenset[str] = frozenset(),
) -> fair.Ticket:
    """Adds a request to its queue and places waiting requests.

    A new request is queued when it is accepted, so that the estimates of
    concurrent requests include it.
    """
    future = asyncio.get_running_loop().create_future()
    ticket = _make_ticket(request, QueuedRequest(request, avoid, future))
    entry.queue_for(request.upstream).push(ticket)
    place_queued(entry, request.upstream)
    return ticket


async def wait_for_placement(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    ticket: fair.Ticket,
) -> upstreams.Row | None:
    """Waits for an upstream; None if the deadline passes first."""
    future = ticket.payload.future
    try:
        left_s = request.deadline - entry.now()
        return await asyncio.wait_for(future, max(0.0, left_s))
    except TimeoutError:
        return None
    except asyncio.CancelledError:
        leave_queue(entry, ticket)
        raise
    finally:
        ticket.cancelled = True


def leave_queue(entry: entry_state.Entry, ticket: fair.Ticket) -> None:
    """Removes a request from its queue, or releases its reservation."""
    ticket.cancelled = True
    queued = ticket.payload
    if queued.future.done() and not queued.future.cancelled():
        release(entry, queued.future.result(), queued.request)


def place_queued(entry: entry_state.Entry, name: str) -> None:
    """Places waiting requests of an upstream name in fair order."""
    entry.queue_for(name).serve(lambda ticket: _try_to_place(entry, ticket))


def _try_to_place(entry: entry_state.Entry, ticket: fair.Ticket) -> bool:
    queued = ticket.payload
    request = queued.request
    if queued.future.done():
        return True
    rows = candidates(
        entry, request.upstream, request.route, request.request_id
    )
    row = choose.choose(rows, request.features, avoid=queued.avoid)
    if row is None:
        return False
    reserve(row, request)
    queued.future.set_result(row)
    return True


def reserve(row: upstreams.Row, request: model_requests.ModelRequest) -> None:
    """Reserves a slot of an upstream for a request."""
    row.sent_since_report += 1
    row.active_attempts[request.request_id] = None
    row.prefix_index.record(request.features.blocks)


def release(
    entry: entry_state.Entry,
    row: upstreams.Row,
    request: model_requests.ModelRequest,
) -> None:
    """Ends a reservation and places waiting requests."""
    row.ended_since_report += 1
    row.active_attempts.pop(request.request_id, None)
    place_queued(entry, row.name)


def _make_ticket(
    request: model_requests.ModelRequest, queued: QueuedRequest | None
) -> fair.Ticket:
    return fair.Ticket(
        workspace=request.workspace,
        weight=request.weight,
        cost=request.cost,
        deadline=request.deadline,
        payload=queued,
    )


def _total_weight(entry: entry_state.Entry) -> float:
    workspaces = entry.inventory["workspaces"] if entry.inventory else []
    return sum(workspace["weight"] for workspace in workspaces) or 1.0
