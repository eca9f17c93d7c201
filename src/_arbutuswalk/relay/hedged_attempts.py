"""Runs an attempt and, if its answer is slow, a second one beside it.

Only answers of requests that may be repeated and that are buffered whole are
hedged, so that the caller gets one answer whole. Streams are not: an event of
the first endpoint that has reached the caller would have to be the end of the
second attempt, and resumption already answers a stream that stalls.
"""

import asyncio
import contextlib
from typing import NamedTuple

from _arbutuswalk.base import background
from _arbutuswalk.base import events
from _arbutuswalk.limits import hedging
from _arbutuswalk.relay import admission
from _arbutuswalk.relay import attempts
from _arbutuswalk.relay import brittle_endpoints
from _arbutuswalk.relay import delivery
from _arbutuswalk.relay import endpoint_limits
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.relay import retry_reservation
from _arbutuswalk.relay import silence
from _arbutuswalk.relay import stopping
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
    race = _Race(first=first, retry=retry)
    delay_s = hedging.delay(
        latencies,
        relay.options.extra_attempts,
        request.route.objective_s,
        relay.now(),
    )
    timer = asyncio.get_running_loop().call_later(delay_s, race.start_second)
    try:
        ended = await race.run()
    finally:
        timer.cancel()
        race.cancel()
    if _is_answer(ended.result):
        now = relay.now()
        latencies.record(now - first.started_at, now)
    return ended


class _Race:
    """Two attempts of a request, of which the first one may run alone.

    Attributes:
        first: The first attempt, which runs in the task of the request.
        second: The second one, None before it starts.
        retry: Attempts of the request. While the second one runs it is counted
            as one that may have run.
        former_tally: Counts without the second attempt.
        task: Runs the second attempt.
        scope: Cancels the first attempt when its deadline is set.
        end_timer: Ends the wait for the first one after the second has failed.
    """

    def __init__(
        self,
        *,
        first: attempts.Attempt,
        retry: retry_reservation.RetryReservation,
    ):
        self.first = first
        self.second: attempts.Attempt | None = None
        self.retry = retry
        self.former_tally = retry.tally
        self.task: asyncio.Task | None = None
        self.scope = asyncio.timeout(None)
        self.end_timer: asyncio.TimerHandle | None = None

    async def run(self) -> Ended:
        """Returns the attempt whose result counts."""
        try:
            async with self.scope:
                result = await self.first.run()
        except TimeoutError:
            if not self.scope.expired():
                raise
            result = OVERTAKEN
        ended = Ended(result, self.first.endpoint.id)
        if self.task is None:
            return ended
        if _is_final(result) and not self.task.done():
            _record_overtaken(self.second, ended, extra_won=False)
            return ended
        await asyncio.wait([self.task])
        other = Ended(_result_of(self.task), self.second.endpoint.id)
        if _rank(other.result) <= _rank(ended.result):
            return ended
        # The caller counts the result that is returned.
        self.retry.tally = results.tally_result(self.former_tally, result)
        if result is OVERTAKEN:
            _record_overtaken(
                self.first, other, extra_won=_is_answer(other.result)
            )
        return other

    def start_second(self) -> None:
        """Starts the second attempt if it is permitted now."""
        relay, request = self.first.relay, self.first.request
        chosen = _find_second(relay, request, self.retry, self.first)
        if chosen is None:
            return
        self.retry.tried.add(chosen.endpoint.id)
        self.retry.record_result(OVERTAKEN)
        relay.metrics.count("extra_attempts", f'route="{request.route.name}"')
        self.second = attempts.Attempt(
            relay=relay,
            caller_delivery=self.first.delivery,
            chosen=chosen,
            retry=retry_reservation.NoReservation(relay=relay, request=request),
        )
        self.task = asyncio.ensure_future(self.second.run())
        self.task.add_done_callback(self._record_second_end)

    def _record_second_end(self, task: asyncio.Task) -> None:
        if task.cancelled():
            return
        result = _result_of(task)
        self.retry.tally = results.tally_result(self.former_tally, result)
        loop = asyncio.get_running_loop()
        if _is_final(result):
            self._end_first()
        else:
            self.end_timer = loop.call_later(
                silence.LEAVE_AFTER_S, self._end_first
            )

    def _end_first(self) -> None:
        if self.first.exchange.reply is None:
            with contextlib.suppress(RuntimeError):  # it has ended
                self.scope.reschedule(asyncio.get_running_loop().time())

    def cancel(self) -> None:
        """Cancels the second attempt if it still runs."""
        if self.end_timer is not None:
            self.end_timer.cancel()
        if self.task is not None:
            self.task.cancel()


def _result_of(task: asyncio.Task) -> results.Result:
    """Returns the result of an attempt; an error counts as a lost answer."""
    error = task.exception()
    if error is None:
        return task.result()
    background.log_error("second attempt", error)
    return results.Lost(reason=repr(error))


def _rank(result: results.Result) -> int:
    """Returns how much a result says; that of the higher rank counts."""
    if _is_final(result):
        return 4
    if isinstance(result, results.Answered):
        return 3
    if isinstance(result, results.TimedOut):
        return 2
    return int(isinstance(result, results.Lost) and result is not OVERTAKEN)


def _record_overtaken(
    overtaken: attempts.Attempt, ended: Ended, *, extra_won: bool
) -> None:
    relay, request = overtaken.relay, overtaken.request
    if extra_won:
        label = f'route="{request.route.name}"'
        relay.metrics.count("extra_attempts_won", label)
    events.record(
        events.Event.ATTEMPT_OVERTAKEN,
        request.id,
        overtaken.endpoint.id,
        ended.endpoint_id,
        round((relay.now() - overtaken.started_at) * 1000),
        extra_won,
    )


def _is_final(result: results.Result) -> bool:
    return _is_answer(result) or isinstance(result, results.CallerLeft)


def _is_answer(result: results.Result) -> bool:
    return (
        isinstance(result, results.Answered)
        and result.status < results.MIN_FAILURE_STATUS
    )


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
    return (
        relay.options.extra_attempts > 0
        and route.kind == routeconfig.IDEMPOTENT
        and route.max_attempts > 1
        and not retry.tally.sends
        and not _has_rollout(relay, request)
    )


def _has_rollout(relay: relay_state.Relay, request: requests.Request) -> bool:
    rollout = relay.rollouts.get(request.upstream)
    return rollout is not None and rollout[1] == rollouts.GROWING


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
    if relay.late_refusals.refused_recently(request.upstream, relay.now()):
        return None
    if _has_rollout(relay, request):
        return None
    sound = placement.usable_endpoints(
        relay, request, retry.tried, needs_sound=True
    )
    second = placement.find_placement(
        relay,
        request,
        retry.tried,
        accepts=lambda endpoint: (
            endpoint.id in sound and _has_room(relay, endpoint)
        ),
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
        and endpoint_limits.find(relay, endpoint) is None
    )
