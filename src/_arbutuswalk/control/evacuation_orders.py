"""Commits operators' orders to evacuate a failure domain, or to open it."""

from _arbutuswalk.control import leader_client
from _arbutuswalk.control import service as services
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes

Order = type[commands.BeginEvacuation] | type[commands.FinishEvacuation]


async def submit(
    service: services.Service, order: Order, domain: str, *, timeout_s: float
) -> outcomes.Outcome | leader_client.Unavailable | leader_client.Invalid:
    """Commits an order, retrying until the timeout.

    The command names the step that it is based on, so that one which was
    delayed does not undo a later one. If two operators give orders at the same
    time, the one that is committed last holds.
    """
    now = service.member.now
    deadline = now() + timeout_s
    while (left_s := deadline - now()) > 0:
        row = await leader_client.read(
            service, "evacuation", domain, timeout_s=left_s
        )
        if isinstance(row, leader_client.Unavailable | leader_client.Invalid):
            return row
        outcome = await leader_client.submit(
            service,
            order(domain, row["step"]),
            timeout_s=max(0.0, deadline - now()),
        )
        if not isinstance(outcome, outcomes.Stale):
            return outcome
    return leader_client.Unavailable(reason="another order came first")
