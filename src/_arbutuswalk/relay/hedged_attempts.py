"""Runs an attempt and, if its answer is slow, a second one beside it.

Only answers of requests that may be repeated and that are buffered whole are
hedged, so that the caller gets one answer whole. Streams are not: an event of
the first endpoint that has reached the caller would have to be the end of the
second attempt, and resumption already answers a stream that stalls.
"""

import asyncio
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.limits import hedging
from _arbutuswalk.relay import admission
from _arbutuswalk.relay import attempts
from _arbutuswalk.relay import brittle_endpoints
from _arbutuswalk.relay import delivery
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.relay import retry_reservation
from _arbutuswalk.relay import stopping
from _arbutuswalk.relay import warm_up_limits
from _arbutuswalk.routing import directory
from _arbutuswalk.state import rollouts
from _arbutuswalk.state import routeconfig

OVERTAKEN = results.Lost(reason="overtaken")
"""Result of an attempt that was cancelled: the endpoint may have run it."""


class Ended(NamedTuple):
    """An attempt that has ended."""

    result: results.Result
    endpoint_id: str


async def run(
    relay: relay_state.Relay,
    caller_delivery: delivery.Delivery,
    chosen: placement.Placement,
    retry: retry_reservation.RetryReservation,
) -> Ended:
    """Runs an attempt, hedged by a second one where that is permitted.

    The result that is returned is not yet counted in ``retry``; that of the
    other attempt, if there was one, is.
    """
    first = attempts.Attempt(
        relay=relay, caller_delivery=caller_delivery, chosen=chosen, retry=retry
    )
    if not _may_be_hedged(relay, caller_delivery.request, retry):
        return Ended(await first.run(), first.endpoint.id)
    request = caller_delivery.request
    latencies = relay.hedging.latencies(request.route.name, relay.now())
    relay.hedging.allowance(request.route.name).record_request()
    pair = _Pair(first)
    try:
        ended = await _run_pair(pair, caller_delivery, retry, latencies)
    finally:
        pair.cancel()
    if _is_answer(ended.result):
        now = relay.now()
        latencies.record(now - first.started_at, now)
    return ended


class _Pair:
    """The attempts of a request that run side by side.

    Attributes:
        attempts: The attempt of each running task.
    """

    def __init__(self, first: attempts.Attempt):
        self.attempts: dict[asyncio.Task, attempts.Attempt] = {}
        self.start(first)

    def start(self, attempt: attempts.Attempt) -> None:
        """Starts an attempt."""
        self.attempts[asyncio.ensure_future(attempt.run())] = attempt

    async def next_ended(self, timeout_s: float | None) -> Ended | None:
        """Returns the next attempt that ends, None after ``timeout_s``."""
        done, _ = await asyncio.wait(
            self.attempts,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            return Ended(task.result(), self.attempts.pop(task).endpoint.id)
        return None

    def cancel(self) -> None:
        """Cancels what still runs; its connections are closed."""
        for task in self.attempts:
            task.cancel()


async def _run_pair(
    pair: _Pair,
    caller_delivery: delivery.Delivery,
    retry: retry_reservation.RetryReservation,
    latencies: hedging.Latencies,
) -> Ended:
    request, relay = caller_delivery.request, caller_delivery.relay
    delay_s = hedging.delay(
        latencies,
        relay.options.extra_attempts,
        request.route.objective_s,
        relay.now(),
    )
    ended = await pair.next_ended(delay_s)
    if ended is not None:
        return ended
    (first,) = pair.attempts.values()
    second = _find_second(relay, request, retry, first)
    if second is None:
        return await pair.next_ended(None)
    retry.tried.add(second.endpoint.id)
    relay.metrics.count("extra_attempts", f'route="{request.route.name}"')
    pair.start(
        attempts.Attempt(
            relay=relay,
            caller_delivery=caller_delivery,
            chosen=second,
            retry=retry,
        )
    )
    ended = await pair.next_ended(None)
    if not (_is_answer(ended.result) or _is_caller_left(ended.result)):
        other = await pair.next_ended(None)
        ended, failed = _better(ended, other)
        retry.record_result(failed.result)
        return ended
    for attempt in pair.attempts.values():
        retry.record_result(OVERTAKEN)
        _record_overtaken(relay, request, attempt, ended, first)
    return ended


def _better(one: Ended, other: Ended) -> tuple[Ended, Ended]:
    """Returns the attempt whose result counts, and the other one."""
    if _rank(other.result) > _rank(one.result):
        return other, one
    return one, other


def _rank(result: results.Result) -> int:
    if _is_answer(result) or _is_caller_left(result):
        return 3
    if isinstance(result, results.Answered):
        return 2
    # One that may have run says more than one that has not.
    return int(not isinstance(result, results.NotSent | results.NotRun))


def _record_overtaken(
    relay: relay_state.Relay,
    request: requests.Request,
    overtaken: attempts.Attempt,
    ended: Ended,
    first: attempts.Attempt,
) -> None:
    has_won = overtaken is first and _is_answer(ended.result)
    if has_won:
        label = f'route="{request.route.name}"'
        relay.metrics.count("extra_attempts_won", label)
        if overtaken.exchange.reply is None:
            placement.mark_suspect(
                relay, overtaken.endpoint.id, OVERTAKEN.reason
            )
    events.record(
        events.Event.ATTEMPT_OVERTAKEN,
        request.id,
        overtaken.endpoint.id,
        ended.endpoint_id,
        round((relay.now() - overtaken.started_at) * 1000),
        has_won,
    )


def _is_answer(result: results.Result) -> bool:
    return (
        isinstance(result, results.Answered)
        and result.status < results.MIN_FAILURE_STATUS
    )


def _is_caller_left(result: results.Result) -> bool:
    return isinstance(result, results.CallerLeft)


def _may_be_hedged(
    relay: relay_state.Relay,
    request: requests.Request,
    retry: retry_reservation.RetryReservation,
) -> bool:
    """Returns whether the first attempt of a request may be hedged.

    During a rollout it is not: the latencies of cancelled attempts would be
    missing in the comparison of the versions.
    """
    route = request.route
    rollout = relay.rollouts.get(request.upstream)
    return (
        relay.options.extra_attempts > 0
        and route.kind == routeconfig.IDEMPOTENT
        and route.max_attempts > 1
        and not retry.tally.sends
        and (rollout is None or rollout[1] != rollouts.GROWING)
    )


def _find_second(
    relay: relay_state.Relay,
    request: requests.Request,
    retry: retry_reservation.RetryReservation,
    first: attempts.Attempt,
) -> placement.Placement | None:
    """Returns where to send a request once more, None if it may not be.

    The endpoint has a free place and needs no wait, permit or slot lease.
    """
    if first.exchange.reply is not None or first.delivery.caller_left:
        return None
    left_s = request.deadline - relay.now()
    if left_s < results.MIN_TIME_LEFT_S or relay.stop is not None:
        return None
    if stopping.find_refusal(relay, request) is not None:
        return None
    if admission.find_refused_key(relay, request):
        return None
    if relay.connection_waiters.get(request.upstream):
        return None
    second = placement.find_placement(
        relay,
        request,
        retry.tried,
        accepts=lambda endpoint: _has_room(relay, endpoint),
    )
    if second is None or not _acquire(relay, request):
        return None
    return second


def _acquire(relay: relay_state.Relay, request: requests.Request) -> bool:
    window = relay.retry_window(request.upstream)
    now = relay.now()
    use = window.use(now, relay.entry_count)
    return (
        hedging.leaves_budget(use.retries, use.limit)
        and relay.hedging.allowance(request.route.name).try_acquire()
        and window.try_acquire(now, relay.entry_count)
    )


def _has_room(relay: relay_state.Relay, endpoint: directory.Endpoint) -> bool:
    own = relay.own_loads.get(endpoint.id, relay_state.Load()).running
    others = relay.other_loads.get(endpoint.id, relay_state.Load())[0]
    return (
        own + others < endpoint.slots
        and brittle_endpoints.rejections_per_s(relay, endpoint) is None
        and relay.stated_limits.rate(endpoint.id, endpoint.born_ms) is None
        and warm_up_limits.rate(relay, endpoint) is None
    )
