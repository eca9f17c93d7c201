"""Duties that one holder at a time fulfils towards the platform.

The leader holds them; its term is the fence. The platform may not check
fences, so a new leader first waits out the time for which the platform
remembers its predecessor, and nobody acts outside the leader's lease.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.control import process
from _arbutuswalk.control import scaling
from _arbutuswalk.control import usage_reports
from _arbutuswalk.state import scaling_policy

TICK_S = 0.25
MARGIN_S = 0.3
"""Waited beside the platform's lease, for calls that were on their way."""
DONE = "done"
"""Outcome of a call that the platform accepted."""
NONE_LEFT = "none left"
"""Outcome of an order that the platform cannot meet at the moment."""


class UsageReport(NamedTuple):
    """Counts of one window by workspace."""

    window: int
    counts: dict[str, int]
    fence: int


class Order(NamedTuple):
    """An order for a number of endpoints in one failure domain."""

    upstream: str
    domain: str
    reclaimable: bool
    count: int
    fence: int


class Calls(NamedTuple):
    """The platform's calls; each returns its outcome as a text."""

    report_usage: Callable[[UsageReport], Awaitable[str]]
    order_endpoints: Callable[[Order], Awaitable[str]]


class Options(NamedTuple):
    """Which duties there are, and their times in seconds.

    Attributes:
        usage: Whether usage is reported.
        scaling: Whether endpoints are ordered.
        lease_s: Time for which the platform remembers a holder.
        window_s: Length of a window of usage.
        delay_s: Time after a window's end at which its report is due.
    """

    usage: bool
    scaling: bool
    lease_s: float
    window_s: float
    delay_s: float


class Holder:
    """The holding of the duties by this process.

    Attributes:
        term: Term in which it leads, 0 if it does not.
        since: When it began to lead in that term.
    """

    def __init__(self, *, parts: process.Parts, options: Options):
        self.parts = parts
        self.options = options
        self.term = 0
        self.since = 0.0

    def may_act(self) -> bool:
        """Tells whether this process holds the duties right now."""
        member = self.parts.member
        if not member.is_current:
            return False
        waited = member.now() - self.since
        return waited > self.options.lease_s + MARGIN_S

    def follow_term(self) -> bool:
        """Notes a change of leader; returns whether this process leads."""
        member = self.parts.member
        term = member.replica.term if member.is_leader else 0
        if term != self.term:
            self.term = term
            self.since = member.now()
        return bool(term)


async def run(parts: process.Parts, calls: Calls, options: Options) -> None:
    """Fulfils the duties whenever this process holds them."""
    holder = Holder(parts=parts, options=options)
    reports = usage_reports.Reports(window_s=options.window_s)
    fleets = scaling.Fleets()
    while True:
        await asyncio.sleep(TICK_S)
        if not holder.follow_term():
            reports.forget_sent()
            fleets = scaling.Fleets()
            continue
        if not holder.may_act():
            continue
        try:
            if options.usage:
                await _report_usage(holder, calls, reports)
            if options.scaling:
                await _order(holder, calls, fleets)
        except Exception as error:  # noqa: BLE001
            # One faulty duty must not end the others for good.
            events.warn(events.Event.TASK_FAILED, "duties", repr(error))


async def _report_usage(
    holder: Holder, calls: Calls, reports: usage_reports.Reports
) -> None:
    parts, options = holder.parts, holder.options
    await usage_reports.settle_due(parts, reports, options.delay_s)
    for window, counts in usage_reports.unsent(parts, reports):
        if not holder.may_act():
            return
        report = UsageReport(window, counts, holder.term)
        outcome = await calls.report_usage(report)
        _note(holder, "usage", window, counts, outcome)
        if outcome == DONE:
            reports.sent.add(window)


async def _order(holder: Holder, calls: Calls, fleets: scaling.Fleets) -> None:
    member = holder.parts.member
    for upstream, wanted in scaling.decide(holder.parts, fleets):
        if not holder.may_act():
            return
        order = Order(upstream, *wanted, holder.term)
        outcome = await calls.order_endpoints(order)
        kind = "reclaimable" if wanted.reclaimable else "on-demand"
        subject = f"{upstream}/{wanted.domain}/{kind}"
        _note(holder, "scaling", subject, wanted.count, outcome)
        scaling_policy.record_order_outcome(
            fleets.fleet(upstream),
            wanted,
            accepted=outcome == DONE,
            now=member.now(),
        )


def _note(
    holder: Holder, duty: str, subject: Any, value: Any, outcome: str
) -> None:
    events.record(
        events.Event.DUTY_CALL, duty, subject, holder.term, value, outcome
    )
    holder.parts.hub.metrics.count(
        "duty_calls", f'duty="{duty}",outcome="{outcome}"'
    )
