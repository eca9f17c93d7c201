"""Refuses requests that would be answered late, before they are sent."""

import math

from _arbutuswalk.base import events
from _arbutuswalk.limits import late_admission
from _arbutuswalk.relay import first_data_estimates
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.relay import workspace_demand


def admit(
    relay: relay_state.Relay, request: requests.Request
) -> results.NotSent | None:
    """Counts a request; returns why it is refused, None if it is not.

    It is not refused while no endpoint is usable at once, which other rules
    decide on, while too little is known, or if it continues a stream.
    """
    now = relay.now()
    relay.late_refusals.record_asked(request.upstream, request.priority, now)
    demand = relay.workspace_demand
    workspace = _workspace_name(request)
    counted = (
        request.upstream,
        workspace,
        request.priority,
        request.tokens or 1,
        now,
    )
    workspace_demand.record_asked(demand, *counted)
    chosen = decision = None
    excess = 1.0
    if not request.last_event:
        chosen = placement.find_placement(relay, request, set())
    if chosen is not None:
        excess = workspace_demand.excess(
            demand, request.upstream, workspace, now
        )
        decision = _decide(relay, request, chosen, excess)
    if decision is None or not decision.is_late:
        workspace_demand.record_admitted(demand, *counted)
        return None
    retry_after_s = late_admission.retry_after(decision, relay.rng.random())
    relay.late_refusals.refused_at[request.upstream] = now
    _record_refused(relay, request, chosen, decision, excess, retry_after_s)
    return results.NotSent(
        reason=f"upstream {request.upstream} is overloaded:"
        f" {decision.estimate_s:.2f} s expected,"
        f" {decision.limit_s:.2f} s permitted",
        retry_after_s=retry_after_s,
    )


def _decide(
    relay: relay_state.Relay,
    request: requests.Request,
    chosen: placement.Placement,
    excess: float,
) -> late_admission.Decision | None:
    now = relay.now()
    work = placement.expected_work(relay, request, chosen)
    if work is None:
        return None
    estimate = relay.first_data.estimate(_key(request), work, now)
    if estimate is None:
        return None
    # A body that was read slowly is its caller's time.
    left_s = min(request.deadline - now, request.route.objective_s or math.inf)
    known, upstream = relay.late_refusals, request.upstream
    if left_s > 0:
        known.record_expected(upstream, sum(estimate) / left_s, now)
    is_overloaded = known.is_overloaded(upstream, now)
    return late_admission.decide(
        estimate,
        left_s=left_s,
        priority=request.priority,
        priorities_in_use=(
            known.priorities_in_use(upstream, now) if is_overloaded else ()
        ),
        excess=excess,
    )


def _record_refused(
    relay: relay_state.Relay,
    request: requests.Request,
    chosen: placement.Placement,
    decision: late_admission.Decision,
    excess: float,
    retry_after_s: float,
) -> None:
    workspace = _workspace_name(request)
    reason = "share" if excess > 1 else "late"
    relay.metrics.count(
        "late_refused",
        f'{_labels(request)},workspace="{workspace}",reason="{reason}"',
    )
    events.record(
        events.Event.LATE_REFUSED,
        request.id,
        request.upstream,
        workspace,
        request.priority,
        chosen.endpoint.id,
        round(decision.estimate_s * 1000),
        round(decision.limit_s * 1000),
        round(decision.wait_s * 1000),
        round(excess, 2),
        relay.late_refusals.priorities_in_use(request.upstream, relay.now()),
        round(retry_after_s, 2),
    )


def _workspace_name(request: requests.Request) -> str:
    return request.workspace.name if request.workspace else ""


def _key(request: requests.Request) -> first_data_estimates.Key:
    return first_data_estimates.Key(
        request.upstream, request.route.kind, request.prompt is not None
    )


def _labels(request: requests.Request) -> str:
    return f'upstream="{request.upstream}",priority="{request.priority}"'


class FirstDataCheck:
    """Compares the time to the first data of an attempt with the expected one.

    Attributes:
        relay: State of the entry.
        request: The request.
        work: Expected work when it was sent, None if unknown.
        estimate: Expected time by it, None if unknown.
        started_at: When the attempt started, in seconds.
    """

    def __init__(
        self,
        *,
        relay: relay_state.Relay,
        request: requests.Request,
        chosen: placement.Placement,
    ):
        self.relay = relay
        self.request = request
        self.started_at = relay.now()
        self.work = placement.expected_work(relay, request, chosen)
        self.estimate: late_admission.Estimate | None = None
        if self.work is not None:
            self.estimate = relay.first_data.estimate(
                _key(request), self.work, self.started_at
            )

    def record_first_data(self) -> None:
        """Records the first data of a success, or the whole answer."""
        if self.work is None:
            return
        relay = self.relay
        now = relay.now()
        took_s = now - self.started_at
        relay.first_data.record(_key(self.request), self.work, took_s, now)
        if self.estimate is None:
            return
        labels = _labels(self.request)
        relay.metrics.record("first_data", labels, took_s)
        relay.metrics.record("first_data_expected", labels, sum(self.estimate))
