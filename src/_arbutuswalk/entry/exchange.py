"""One whole exchange with a plain service."""

import dataclasses
from typing import NamedTuple

import yarl

from _arbutuswalk.base import clock
from _arbutuswalk.streams import attempts
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import pool as pools
from _arbutuswalk.streams import replies

BODY_METHODS = ("POST", "PUT", "PATCH")
MAX_REPLY_BYTES = 8 * 1024 * 1024


class Order(NamedTuple):
    """What to send.

    Attributes:
        address: ``IP:port`` of the upstream.
        method: HTTP method.
        path: Path and query.
        headers: Headers to forward.
        body: Body.
        request_id: Id of the call.
        attempt_id: Id of this attempt.
        key: Idempotency key to pass on, or empty.
        priority: Passed on.
        echo: Whether the upstream echoes ids.
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
    """A whole answer to this very attempt."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotOpened:
    """No connection opened: the upstream cannot have seen the call."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost:
    """The call may have reached the upstream; there is no whole answer."""

    reason: str


Result = Reply | NotOpened | Lost


async def run(
    pool: pools.Pool, order: Order, *, timeout_s: float, fresh: bool
) -> Result:
    """Sends one call and reads its whole answer.

    Args:
        pool: Connections to upstreams.
        order: What to send.
        timeout_s: Time for all of it.
        fresh: Whether the call needs a connection that was never used, which
            cannot be silent from an earlier use.
    """
    until = clock.monotonic() + timeout_s
    if fresh:
        opened = await pool.open(order.address)
    else:
        opened = await pool.acquire(order.address, non_idempotent=False)
    if isinstance(opened, pools.NotOpened):
        return NotOpened(reason=opened.reason)
    exchange = connections.Exchange(
        expected_id=order.attempt_id, has_body=order.method != "HEAD"
    )
    opened.send_request(encode(order), exchange)
    try:
        result = await _follow(opened, exchange, order, until)
    except BaseException:
        opened.abort()
        raise
    if isinstance(result, Reply):
        pool.release(opened)
    else:
        opened.abort()
    return result


async def _follow(
    opened: connections.Connection,
    exchange: connections.Exchange,
    order: Order,
    until: float,
) -> Result:
    """Collects a whole answer whose end can be told from a cut."""
    body = bytearray()
    while True:
        body += exchange.take_body()
        opened.resume_reading()
        if attempts.is_mismatched(exchange, order.echo):
            got = exchange.mismatched_id
            return Lost(reason=f"answer to another attempt: {got!r}")
        if opened.ends_at_close:
            return Lost(reason="answer without length or end marker")
        if len(body) > MAX_REPLY_BYTES:
            return Lost(reason="answer too large")
        if exchange.ended:
            break
        left_s = until - clock.monotonic()
        if not await exchange.wait_for_change(left_s):
            return Lost(reason="no whole answer in time")
    if not exchange.complete:
        return Lost(reason=exchange.failure)
    content_type = replies.first_value(exchange.headers, b"content-type")
    return Reply(
        status=exchange.status,
        content_type=content_type.decode("latin-1"),
        body=bytes(body),
    )


def encode(order: Order) -> bytes:
    """Returns the bytes of a call."""
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
    if order.body or order.method in BODY_METHODS:
        headers["Content-Length"] = str(len(order.body))
    lines = [f"{order.method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + order.body
