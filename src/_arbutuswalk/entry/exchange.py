"""One complete HTTP exchange with a service."""

import dataclasses
from typing import NamedTuple

import yarl

from _arbutuswalk.base import clock
from _arbutuswalk.streams import attempts
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import pool as pools
from _arbutuswalk.streams import replies
from _arbutuswalk.streams import requests

METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
MAX_REPLY_BYTES = 8 * 1024 * 1024


class Order(NamedTuple):
    """A call to send.

    Attributes:
        address: ``IP:port`` of the upstream.
        method: HTTP method.
        path: Path and query.
        headers: Headers to forward.
        body: Body.
        request_id: Id of the call.
        attempt_id: Id of this attempt.
        key: Idempotency key to forward, or empty.
        priority: Priority to forward.
        echo: Whether the upstream echoes the attempt id.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    attempt_id: str
    key: str
    priority: int
    echo: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """A complete response to this attempt."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotOpened:
    """No connection opened, so the upstream cannot have received the call."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost:
    """No complete response; the call may have reached the upstream."""

    reason: str


Result = Reply | NotOpened | Lost


async def run(
    pool: pools.Pool, order: Order, *, timeout_s: float, fresh: bool
) -> Result:
    """Sends one call and reads the complete response.

    Args:
        pool: Connections to upstreams.
        order: The call.
        timeout_s: Time for the whole exchange.
        fresh: Whether to open a new connection, since a pooled one may have
            gone dead after its last use.
    """
    deadline = clock.monotonic() + timeout_s
    if fresh:
        connection = await pool.open(order.address)
    else:
        connection = await pool.acquire(order.address, non_idempotent=False)
    if isinstance(connection, pools.NotOpened):
        return NotOpened(reason=connection.reason)
    exchange = connections.Exchange(
        expected_id=order.attempt_id, has_body=order.method != "HEAD"
    )
    connection.send_request(encode_request(order), exchange)
    try:
        result = await _read_reply(connection, exchange, order, deadline)
    except BaseException:
        connection.abort()
        raise
    if isinstance(result, Reply):
        pool.release(connection)
    else:
        connection.abort()
    return result


async def _read_reply(
    connection: connections.Connection,
    exchange: connections.Exchange,
    order: Order,
    deadline: float,
) -> Result:
    """Reads a response, unless only the end of the connection would end it."""
    body = bytearray()
    while True:
        body += exchange.take_body()
        connection.resume_reading()
        if attempts.is_mismatched(exchange, order.echo):
            answered_id = exchange.mismatched_id
            return Lost(reason=f"response to another attempt: {answered_id!r}")
        if connection.ends_at_close:
            return Lost(
                reason="response has neither a length nor chunked encoding"
            )
        if len(body) > MAX_REPLY_BYTES:
            return Lost(reason="response too large")
        if exchange.ended:
            break
        left_s = deadline - clock.monotonic()
        if not await exchange.wait_for_change(left_s):
            return Lost(reason="no complete response before the timeout")
    if not exchange.complete:
        return Lost(reason=exchange.failure)
    content_type = replies.first_value(exchange.headers, b"content-type")
    return Reply(
        status=exchange.status,
        content_type=content_type.decode("latin-1"),
        body=bytes(body),
    )


def encode_request(order: Order) -> bytes:
    """Returns the HTTP/1.1 request bytes of a call."""
    target = yarl.URL(f"http://{order.address}{order.path}").raw_path_qs
    headers = {
        "Host": order.address,
        **order.headers,
        attempts.REQUEST_HEADER: order.request_id,
        attempts.ATTEMPT_HEADER: order.attempt_id,
        attempts.PRIORITY_HEADER: str(order.priority),
    }
    if order.key:
        headers["Idempotency-Key"] = order.key
    if order.body or order.method in METHODS_WITH_BODY:
        headers["Content-Length"] = str(len(order.body))
    return requests.encode(order.method, target, headers, order.body)
