"""What the command line asks of control and entry processes."""

import asyncio
import dataclasses
import json
from typing import Any

from _arbutuswalk.entry import control_client
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

TIMEOUT_S = 10.0
POLL_S = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed:
    """The question got no answer, or was refused."""

    reason: str
    unreachable: bool


def read(control: list[str], query: str, argument: str = "") -> Any | Failed:
    """Reads current state from the control group."""
    return asyncio.run(_read(control, query, argument))


async def _read(control: list[str], query: str, argument: str) -> Any:
    client = control_client.ControlClient(addresses=control)
    try:
        found = await client.read(query, argument, timeout_s=TIMEOUT_S)
    finally:
        await client.stop()
    if isinstance(found, control_client.Unreachable):
        return Failed(reason=found.reason, unreachable=True)
    if isinstance(found, control_client.Rejected):
        return Failed(reason=found.reason, unreachable=False)
    return found


def submit(
    control: list[str], command: commands.Command
) -> outcomes.Outcome | Failed:
    """Commits a command."""
    return asyncio.run(_submit(control, command))


async def _submit(control: list[str], command: commands.Command) -> Any:
    client = control_client.ControlClient(addresses=control)
    try:
        found = await client.submit(command, timeout_s=TIMEOUT_S)
    finally:
        await client.stop()
    if isinstance(found, control_client.Unreachable):
        return Failed(reason=found.reason, unreachable=True)
    if isinstance(found, control_client.Rejected):
        return Failed(reason=found.reason, unreachable=False)
    return found


def dump(address: str) -> dict[str, Any] | Failed:
    """Returns the state of one process."""
    reply = asyncio.run(_call(address, ttypes.Dump()))
    if isinstance(reply, ttypes.DumpReply):
        return json.loads(reply.state)
    return Failed(reason=f"{address}: {reply}", unreachable=True)


def explain(address: str, request_id: str) -> dict[str, Any] | Failed:
    """Asks an entry why a request went where it went."""
    message = ttypes.Read(query="explain", argument=request_id)
    reply = asyncio.run(_call(address, message))
    if not isinstance(reply, ttypes.ReadReply):
        return Failed(reason=f"{address}: {reply}", unreachable=True)
    if reply.status != ttypes.Status.OK:
        return Failed(reason=reply.reason, unreachable=False)
    return json.loads(reply.result)


async def _call(address: str, message: object) -> object:
    connection = link.Link(address=address)
    try:
        return await connection.call(message, timeout_s=TIMEOUT_S)
    finally:
        await connection.stop()
