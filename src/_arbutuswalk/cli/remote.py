"""Calls of the command line to control and entry processes."""

import asyncio
import dataclasses
import json
from typing import Any

import aiohttp

from _arbutuswalk.entry import control_client
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

CALL_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.2
HTTP_OK = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed:
    """A call that got no reply, or was refused."""

    reason: str
    unreachable: bool


def read(control: list[str], query: str, argument: str = "") -> Any | Failed:
    """Reads the result of a query from the control group."""
    return asyncio.run(_read(control, query, argument))


async def _read(control: list[str], query: str, argument: str) -> Any:
    client = control_client.ControlClient(addresses=control)
    try:
        result = await client.read(query, argument, timeout_s=CALL_TIMEOUT_S)
    finally:
        await client.stop()
    if isinstance(result, control_client.Unreachable):
        return Failed(reason=result.reason, unreachable=True)
    if isinstance(result, control_client.Rejected):
        return Failed(reason=result.reason, unreachable=False)
    return result


def submit(
    control: list[str], command: commands.Command
) -> outcomes.Outcome | Failed:
    """Submits a command to the control group and returns its outcome."""
    return asyncio.run(_submit(control, command))


async def _submit(control: list[str], command: commands.Command) -> Any:
    client = control_client.ControlClient(addresses=control)
    try:
        result = await client.submit(command, timeout_s=CALL_TIMEOUT_S)
    finally:
        await client.stop()
    if isinstance(result, control_client.Unreachable):
        return Failed(reason=result.reason, unreachable=True)
    if isinstance(result, control_client.Rejected):
        return Failed(reason=result.reason, unreachable=False)
    return result


def dump(address: str) -> dict[str, Any] | Failed:
    """Returns the state of one process."""
    reply = asyncio.run(_call(address, ttypes.Dump()))
    if isinstance(reply, ttypes.DumpReply):
        return json.loads(reply.state)
    return Failed(reason=f"{address}: {reply}", unreachable=True)


def explain(address: str, request_id: str) -> dict[str, Any] | Failed:
    """Returns the history of a request from the entry that owns it."""
    message = ttypes.Read(query="explain", argument=request_id)
    reply = asyncio.run(_call(address, message))
    if not isinstance(reply, ttypes.ReadReply):
        return Failed(reason=f"{address}: {reply}", unreachable=True)
    if reply.status != ttypes.Status.OK:
        return Failed(reason=reply.reason, unreachable=False)
    return json.loads(reply.result)


def explain_placement(
    address: str, query: list[tuple[str, str]]
) -> dict[str, Any] | Failed:
    """Returns what an entry would do with a request.

    Args:
        address: IP:port at which the entry serves its metrics.
        query: Names and values that describe the request.
    """
    return asyncio.run(_explain_placement(address, query))


async def _explain_placement(
    address: str, query: list[tuple[str, str]]
) -> dict[str, Any] | Failed:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    url = f"http://{address}/placement"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, params=query) as response,
        ):
            text = await response.text()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return Failed(reason=f"{address}: {error!r}", unreachable=True)
    if response.status != HTTP_OK:
        reason = f"{address}: status {response.status} {text[:200]}"
        return Failed(reason=reason, unreachable=False)
    try:
        return json.loads(text)
    except ValueError:
        return Failed(reason=f"{address}: no JSON answer", unreachable=False)


async def _call(address: str, message: object) -> object:
    connection = link.Link(address=address)
    try:
        return await connection.call(message, timeout_s=CALL_TIMEOUT_S)
    finally:
        await connection.stop()
