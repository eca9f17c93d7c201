"""Requests of callers that have no answer yet, and their end at a stop."""

import asyncio

from _arbutuswalk.base import events
from _arbutuswalk.relay import delivery
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import relaying
from _arbutuswalk.relay import results
from _arbutuswalk.relay import stopping

STOPPING = results.NoRetry(decision="stopping")


class OpenRequest:
    """A caller's request, from its head to its answer.

    Attributes:
        task: Task that answers it.
        delivery: Its answer, None before it is admitted.
        is_answering: Whether the answer has begun.
        is_due: Whether the task was cancelled so that it answers now.
    """

    def __init__(self, *, task: asyncio.Task):
        self.task = task
        self.delivery: delivery.Delivery | None = None
        self.is_answering = False
        self.is_due = False


def end_all(relay: relay_state.Relay) -> None:
    """Ends the wait of all requests whose answer has not begun."""
    for open_request in relay.open_requests:
        if not open_request.is_answering and not open_request.is_due:
            open_request.is_due = True
            open_request.task.cancel()


async def send_last_answer(
    relay: relay_state.Relay, caller_delivery: delivery.Delivery
) -> None:
    """Answers a request whose wait was ended."""
    request = caller_delivery.request
    if not caller_delivery.may_have_run:
        await relaying.refuse(
            relay,
            caller_delivery,
            status=results.STATUS_UNAVAILABLE,
            reason=stopping.REASON,
            retry_after_s=stopping.RETRY_AFTER_S,
            ended_by=STOPPING,
        )
        return
    status = results.STATUS_TIMEOUT
    events.record(
        events.Event.FAILED,
        request.id,
        request.route.name,
        request.upstream,
        "",
        status,
        stopping.REASON,
        1,
        round((relay.now() - request.received_at) * 1000),
        STOPPING.decision,
        STOPPING.inputs,
    )
    relay.metrics.count("failed", f'status="{status}"')
    await caller_delivery.send_local_answer(
        *relaying.problem_answer(status, stopping.REASON)
    )
