"""One whole exchange with a plain service."""

import asyncio
import dataclasses
from typing import NamedTuple

import aiohttp

from _arbutuswalk.streams import attempts

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


def open_tracer() -> aiohttp.TraceConfig:
    """Returns a trace that notes on the request when a connection is had."""
    tracer = aiohttp.TraceConfig()

    async def opened(_session, context, _params) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx.append(True)

    tracer.on_connection_create_end.append(opened)
    tracer.on_connection_reuseconn.append(opened)
    return tracer


async def run(
    session: aiohttp.ClientSession, order: Order, *, timeout_s: float
) -> Result:
    """Sends one call and reads its whole answer.

    ``session`` must have been made with ``open_tracer``. A failure before the
    connection was had is ``NotOpened``; any later one is ``Lost``.
    """
    opened: list[bool] = []
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(session, order, opened)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        reason = f"{type(error).__name__}: {error}"
    if opened:
        return Lost(reason=reason)
    return NotOpened(reason=reason)


async def _exchange(
    session: aiohttp.ClientSession, order: Order, opened: list[bool]
) -> Result:
    headers = {
        **order.headers,
        attempts.REQUEST_HEADER: order.request_id,
        attempts.ATTEMPT_HEADER: order.attempt_id,
        attempts.PRIORITY_HEADER: str(order.priority),
    }
    if order.key:
        headers["Idempotency-Key"] = order.key
    async with session.request(
        order.method,
        f"http://{order.address}{order.path}",
        data=order.body,
        headers=headers,
        allow_redirects=False,
        trace_request_ctx=opened,
    ) as response:
        echoed = response.headers.get(attempts.ATTEMPT_HEADER, "")
        if echoed != order.attempt_id and (echoed or order.echo):
            response.close()
            return Lost(reason=f"answer to another attempt: {echoed!r}")
        if not _has_end(response):
            response.close()
            return Lost(reason="answer without length or end marker")
        body = await response.content.read(MAX_REPLY_BYTES + 1)
        while len(body) <= MAX_REPLY_BYTES and not response.content.at_eof():
            body += await response.content.read(MAX_REPLY_BYTES + 1)
        if len(body) > MAX_REPLY_BYTES:
            response.close()
            return Lost(reason="answer too large")
        return Reply(
            status=response.status,
            content_type=response.headers.get("Content-Type", ""),
            body=body,
        )


def _has_end(response: aiohttp.ClientResponse) -> bool:
    """Tells whether the end of the answer can be told from a cut."""
    chunked = response.headers.get("Transfer-Encoding", "").lower()
    return (
        "chunked" in chunked
        or "Content-Length" in response.headers
        or response.status in (204, 304)
    )
