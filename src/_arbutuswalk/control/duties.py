"""Calls to the platform that only one control process may make at a time.

The leader makes them and sends its term as the fencing token. The platform
may not check fencing tokens, so a new leader waits until the platform's lease
for its predecessor has expired, and no process acts outside its leader lease.
What was decided in one term is not sent in another: the same process may have
been elected again meanwhile, after another one has acted.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import background
from _arbutuswalk.base import events
from _arbutuswalk.control import process
from _arbutuswalk.control import scaling
from _arbutuswalk.control import sizing
from _arbutuswalk.control import usage_reports
from _arbutuswalk.state import scaling_policy

TICK_INTERVAL_S = 0.25
IN_FLIGHT_MARGIN_S = 0.3
"""Added to the platform's lease, for the predecessor's calls in flight."""
ACCEPTED = "done"
"""Outcome of a call that the platform accepted."""
NOT_PERMITTED = "not sent, the right to it is lost"
"""Outcome of a call that may not be made any more."""
NO_CAPACITY = "none left"
"""Outcome of an order for which the platform has no capacity at present."""


class UsageReport(NamedTuple):
    """Usage counts of one window, by workspace."""

    window: int
    counts: dict[str, int]
    fence: int


class Order(NamedTuple):
    """The number of endpoints wanted in one failure domain."""

    upstream: str
    domain: str
    reclaimable: bool
    count: int
    fence: int


class PlatformCalls(NamedTuple):
    """Functions that call the platform; each returns its outcome as text.

    Their second argument returns whether the call may be made. They ask it when
    the connection is open: opening it may take long, and the process may have
    stood still meanwhile.
    """

    report_usage: Callable[[UsageReport, Callable[[], bool]], Awaitable[str]]
    order_endpoints: Callable[[Order, Callable[[], bool]], Awaitable[str]]


class Options(NamedTuple):
    """Which duties are enabled, and their times in seconds.

    Attributes:
        usage: Whether usage is reported.
        scaling: Whether endpoints are ordered.
        lease_s: Lease that the platform grants to the duty holder.
        window_s: Length of a usage window.
        delay_s: Time after a window's end by which its report is due.
        heartbeat_s: Heartbeat interval of endpoints.
        sizing: One of ``sizing.METHODS``.
    """

    usage: bool
    scaling: bool
    lease_s: float
    window_s: float
    delay_s: float
    heartbeat_s: float
    sizing: str = sizing.REQUESTS


class DutyHolder:
    """Tracks whether this process may perform the duties.

    Attributes:
        term: Term in which this process leads, 0 if it does not.
        leading_since: When it became leader in that term, in seconds.
    """

    def __init__(self, *, components: process.Components, options: Options):
        self.components = components
        self.options = options
        self.term = 0
        self.leading_since = 0.0

    def may_act(self) -> bool:
        """Returns whether this process may perform the duties of its term."""
        member = self.components.member
        if not member.is_current_in(self.term):
            return False
        elapsed_s = member.now() - self.leading_since
        return elapsed_s > self.options.lease_s + IN_FLIGHT_MARGIN_S

    def update_term(self) -> bool:
        """Records a change of term; returns whether this process leads."""
        member = self.components.member
        term = member.replica.term if member.is_leader else 0
        if term != self.term:
            self.term = term
            self.leading_since = member.now()
        return bool(term)


async def run(
    components: process.Components,
    platform_calls: PlatformCalls,
    options: Options,
) -> None:
    """Performs the duties while this process holds them."""
    holder = DutyHolder(components=components, options=options)
    sent_reports = usage_reports.SentReports(window_s=options.window_s)
    fleets = _make_fleets(options)

    async def tick() -> None:
        nonlocal fleets
        former_term = holder.term
        holder.update_term()
        if holder.term != former_term:
            sent_reports.clear()
            fleets = _make_fleets(options)
            sizing.remove_metrics(components)
        if holder.may_act():
            if options.usage:
                await _report_usage(holder, platform_calls, sent_reports)
            if options.scaling:
                await _order_endpoints(holder, platform_calls, fleets)

    await background.repeat("duties", TICK_INTERVAL_S, tick)


def _make_fleets(options: Options) -> scaling.Fleets:
    return scaling.Fleets(
        heartbeat_s=options.heartbeat_s, method=options.sizing
    )


async def _report_usage(
    holder: DutyHolder,
    platform_calls: PlatformCalls,
    sent_reports: usage_reports.SentReports,
) -> None:
    components, options = holder.components, holder.options
    await usage_reports.settle_due_windows(
        components, sent_reports, options.delay_s, holder.term
    )
    for window, counts in usage_reports.unsent_windows(
        components, sent_reports
    ):
        if not holder.may_act():
            return
        report = UsageReport(window, counts, holder.term)
        outcome = await platform_calls.report_usage(report, holder.may_act)
        _record_call(holder, "usage", window, counts, outcome)
        if outcome == ACCEPTED:
            sent_reports.accepted_windows.add(window)


async def _order_endpoints(
    holder: DutyHolder, platform_calls: PlatformCalls, fleets: scaling.Fleets
) -> None:
    member = holder.components.member
    for upstream, planned in scaling.decide_orders(holder.components, fleets):
        if not holder.may_act():
            return
        order = Order(upstream, *planned, holder.term)
        outcome = await platform_calls.order_endpoints(order, holder.may_act)
        kind = "reclaimable" if planned.reclaimable else "on-demand"
        subject = f"{upstream}/{planned.domain}/{kind}"
        _record_call(holder, "scaling", subject, planned.count, outcome)
        scaling_policy.record_order_outcome(
            fleets.fleet(upstream),
            planned,
            accepted=outcome == ACCEPTED,
            now=member.now(),
        )


def _record_call(
    holder: DutyHolder, duty: str, subject: Any, value: Any, outcome: str
) -> None:
    events.record(
        events.Event.DUTY_CALL,
        duty,
        subject,
        holder.term,
        value,
        outcome,
        holder.components.member.replica.term,
    )
    holder.components.discovery.metrics.count(
        "duty_calls", f'duty="{duty}",outcome="{outcome}"'
    )
