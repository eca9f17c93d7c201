"""Sends commands and reads to the leader, whichever member that is."""

import asyncio
import dataclasses
import json
from typing import Any

from _arbutuswalk.control import service as services
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.wire.gen.arbutus import ttypes

RETRY_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 0.6
"""Timeout of one call to the leader: about as long as an election takes."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """No leader answered in time; whether a command committed is unknown."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Invalid:
    """The leader rejected the message as invalid."""

    reason: str


async def submit(
    service: services.Service, command: commands.Command, *, timeout_s: float
) -> outcomes.Outcome | Unavailable | Invalid:
    """Commits an idempotent command, retrying until the timeout."""
    message = ttypes.Submit(command=commands.encode(command))
    reply = await _call_leader(service, message, timeout_s)
    if isinstance(reply, Unavailable | Invalid):
        return reply
    return outcomes.decode(reply.result)


async def read(
    service: services.Service,
    query: str,
    argument: str = "",
    *,
    timeout_s: float,
) -> Any | Unavailable | Invalid:
    """Reads state that includes everything committed before the call."""
    message = ttypes.Read(query=query, argument=argument)
    reply = await _call_leader(service, message, timeout_s)
    if isinstance(reply, Unavailable | Invalid):
        return reply
    return json.loads(reply.result)


async def _call_leader(
    service: services.Service, message: object, timeout_s: float
) -> object | Unavailable | Invalid:
    member = service.member
    deadline = member.now() + timeout_s
    reason = "no leader"
    while True:
        reply = await service.handle(message)
        leader = getattr(reply, "leader", None)
        if leader and leader != member.address:
            remaining_s = max(0.0, deadline - member.now())
            reply = await member.link_to(leader).call(
                message, timeout_s=min(CALL_TIMEOUT_S, remaining_s)
            )
        status = getattr(reply, "status", None)
        if status == ttypes.Status.OK:
            return reply
        if status == ttypes.Status.INVALID:
            return Invalid(reason=reply.reason)
        reason = getattr(reply, "reason", None) or reason
        if member.now() + RETRY_INTERVAL_S >= deadline:
            return Unavailable(reason=reason)
        await asyncio.sleep(RETRY_INTERVAL_S)
