"""Calls to HTTP servers of whose answers only the status is used.

Each call has a connection of its own: its answer carries no id, so bytes that
follow the answer to another call must not be taken for it.
"""

import dataclasses
import json
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import clock
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import pool
from _arbutuswalk.streams import replies
from _arbutuswalk.streams import requests

MAX_BODY_BYTES = 64 * 1024
"""Largest body of an answer that is accepted."""
STATUS_OK = 200


class Call(NamedTuple):
    """A POST request with a JSON body.

    Attributes:
        address: ``IP:port`` of the server.
        path: Path of the request.
        headers: Further headers.
        body: Body before its encoding.
    """

    address: str
    path: str
    headers: dict[str, str]
    body: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotPermitted:
    """The call may not be sent any more, and was not."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoAnswer:
    """No complete answer; the call may have reached the server.

    Attributes:
        reason: What happened instead.
    """

    reason: str


async def post(
    call: Call, *, timeout_s: float, may_send: Callable[[], bool]
) -> int | NotPermitted | NoAnswer:
    """Sends a call and returns the status of its answer.

    Args:
        call: The call.
        timeout_s: Time for the connection and the complete answer.
        may_send: Asked once the connection is open, right before the call is
            sent.
    """
    deadline = clock.monotonic() + timeout_s
    connection = await pool.connect(
        call.address, read_reply=_read_reply, timeout_s=timeout_s
    )
    if isinstance(connection, pool.NotOpened):
        return NoAnswer(reason=connection.reason)
    try:
        if clock.monotonic() >= deadline:
            return NoAnswer(reason="connected after the timeout")
        if not may_send():
            return NotPermitted()
        return await _exchange(connection, _encode(call), deadline)
    finally:
        connection.abort()


async def _exchange(
    connection: connections.Connection, request: bytes, deadline: float
) -> int | NoAnswer:
    received_bytes = 0

    def count_body(data: bytes) -> None:
        nonlocal received_bytes
        received_bytes += len(data)
        if received_bytes > MAX_BODY_BYTES:
            exchange.fail(f"answer over {MAX_BODY_BYTES} bytes")
            connection.abort()

    exchange = connections.Exchange(
        expected_id="", has_body=True, on_body=count_body
    )
    connection.send_request(request, exchange)
    while not exchange.ended:
        left_s = deadline - clock.monotonic()
        if not await exchange.wait_for_change(left_s):
            return NoAnswer(reason="no complete answer before the timeout")
    if not exchange.complete:
        return NoAnswer(reason=exchange.failure)
    return exchange.status


def _read_reply(status: int, headers: replies.Headers) -> replies.Reply:
    return replies.Reply(
        ran=True,
        answered_id="",
        is_success=status == STATUS_OK,
        keep_alive_s=None,
        closes_connection=True,
    )


def _encode(call: Call) -> bytes:
    body = json.dumps(call.body).encode()
    headers = {
        "Host": call.address,
        **call.headers,
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    return requests.encode("POST", call.path, headers, body)
