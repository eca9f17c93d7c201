"""One attempt to execute a model request on one upstream."""

import dataclasses
import json
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import clock
from _arbutuswalk.base import digits
from _arbutuswalk.base import stalls
from _arbutuswalk.streams import answer
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import framing
from _arbutuswalk.streams import pool
from _arbutuswalk.streams import replies

STATUS_OK = 200
REQUEST_HEADER = "X-Request-Id"
ATTEMPT_HEADER = "X-Attempt-Id"
CACHED_HEADER = "X-Cached-Tokens"
PRIORITY_HEADER = "X-Priority"
MAX_ERROR_CHUNK_BYTES = 64 * 1024
MAX_ERROR_BODY_BYTES = 64 * 1024
"""Size of an error's body at which the rest is not read."""
MAX_ERROR_DETAIL_BYTES = 500
MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""Largest answer to any request: 1 KiB for each of 32,768 tokens."""
SILENCE_CHECK_INTERVAL_S = 0.1


class Deadlines(NamedTuple):
    """Timeouts of an attempt, in seconds.

    Attributes:
        connect_s: Until the connection is open.
        first_byte_s: Until status and headers are received.
        gap_s: Between two reads of the response.
    """

    connect_s: float = 1.0
    first_byte_s: float = 10.0
    gap_s: float = 2.0


class Order(NamedTuple):
    """The request that an attempt sends.

    Attributes:
        address: ``IP:port`` of the upstream.
        path: Request path.
        request_id: Id of the request.
        attempt_id: Id of this attempt.
        body: JSON body.
        priority: Priority forwarded to the engine.
        echo: Whether the upstream echoes the attempt id.
        max_bytes: Largest answer, as ``answer.size_of`` counts it.
    """

    address: str
    path: str
    request_id: str
    attempt_id: str
    body: dict[str, Any]
    priority: int
    echo: bool
    max_bytes: int = MAX_ANSWER_BYTES


@dataclasses.dataclass(frozen=True, kw_only=True)
class Completed:
    """The end marker was received; the response is complete."""

    cached_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotConnected:
    """No connection was opened; the upstream received nothing.

    Attributes:
        reason: Why not.
        refused: Whether the connection was refused, so that no process runs.
    """

    reason: str
    refused: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Declined:
    """The upstream answered with an error status instead of events."""

    status: int
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Broke:
    """The connection ended before the end marker."""

    reason: str
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TooLarge:
    """The response is larger than any answer to the request may be."""

    max_bytes: int
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Silent:
    """Nothing was received within a timeout; the connection was closed."""

    after_s: float
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crossed:
    """The response belongs to another attempt; none of it was used."""

    got: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stopped:
    """The attempt was cancelled by this entry, to continue elsewhere."""


Result = (
    Completed
    | NotConnected
    | Declined
    | Broke
    | TooLarge
    | Silent
    | Crossed
    | Stopped
)

EventsCallback = Callable[[list[bytes]], None]
LeaveCallback = Callable[[], bool]
"""Returns whether an attempt ends whose upstream is silent."""


class AttemptState:
    """State of an attempt while its events are received.

    Attributes:
        on_events: Called with complete events.
        echo: Whether the upstream echoes the attempt id.
        max_bytes: Largest answer, as ``answer.size_of`` counts it.
        size: Size of the events that were received.
        exchange: Exchange whose body is read.
        framer: Splits the body into events.
        result: Result, once it is known.
        error_body: Start of the body of a response with an error status.
        abort: Closes the connection once the result is known.
    """

    def __init__(
        self,
        *,
        on_events: EventsCallback,
        attempt_id: str,
        echo: bool,
        max_bytes: int,
    ):
        self.on_events = on_events
        self.echo = echo
        self.max_bytes = max_bytes
        self.size = 0
        self.exchange = connections.Exchange(
            expected_id=attempt_id, has_body=True, on_body=self.receive_body
        )
        self.framer = framing.Framer()
        self.result: Result | None = None
        self.error_body = b""
        self.abort = lambda: None

    def receive_body(self, data: bytes) -> None:
        """Processes a chunk of the body."""
        if self.exchange.status != STATUS_OK:
            self._receive_error_body(data)
            return
        if self.result is not None or is_mismatched(self.exchange, self.echo):
            return
        media_type = replies.media_type(self.exchange.headers)
        if media_type not in (replies.EVENT_STREAM, b""):
            reason = f"answer is {media_type.decode('latin-1')}, no stream"
            self._set_result(Broke(reason=reason))
            return
        events = self.framer.feed(data)
        self.size += answer.size_of(events)
        if self.size > self.max_bytes:
            self._set_result(TooLarge(max_bytes=self.max_bytes))
        elif len(self.framer.rest) > framing.MAX_EVENT_BYTES:
            self._set_result(Broke(reason="event too large"))
        elif events:
            self._deliver_events(events)

    def _receive_error_body(self, data: bytes) -> None:
        self.error_body += data[:MAX_ERROR_CHUNK_BYTES]
        if len(self.error_body) >= MAX_ERROR_BODY_BYTES:
            self._set_result(
                _make_declined(self.exchange.status, self.error_body)
            )

    def _deliver_events(self, events: list[bytes]) -> None:
        end = _find_end_marker(events)
        if end is None:
            self.on_events(events)
            return
        position, failed = end
        delivered = events[:position] if failed else events[: position + 1]
        if delivered:
            self.on_events(delivered)
        if failed:
            detail = events[position][:200].decode(errors="replace")
            self._set_result(Broke(reason=detail))
        else:
            self._set_result(Completed(cached_tokens=0))

    def _set_result(self, result: Result) -> None:
        self.result = result
        self.abort()


def read_reply(status: int, headers: replies.Headers) -> replies.Reply:
    """Interprets the status and headers of a response."""
    echoed = replies.first_value(headers, ATTEMPT_HEADER.lower().encode())
    connection = replies.first_value(headers, b"connection").lower()
    return replies.Reply(
        ran=True,
        answered_id=echoed.decode("latin-1"),
        is_success=status == STATUS_OK,
        keep_alive_s=None,
        closes_connection=b"close" in connection,
    )


async def run(
    order: Order,
    deadlines: Deadlines,
    on_events: EventsCallback,
    may_leave: LeaveCallback = lambda: True,
) -> Result:
    """Runs one attempt and passes the received events to ``on_events``.

    Every attempt opens a new connection: a reused one could have failed
    silently since its last use.

    Args:
        order: The request.
        deadlines: Its timeouts.
        on_events: Called with events.
        may_leave: Called while the upstream is silent for longer than a
            timeout, until it is not or the attempt ends.
    """
    state = AttemptState(
        on_events=on_events,
        attempt_id=order.attempt_id,
        echo=order.echo,
        max_bytes=order.max_bytes,
    )
    connection = await pool.connect(
        order.address, read_reply=read_reply, timeout_s=deadlines.connect_s
    )
    if isinstance(connection, pool.NotOpened):
        return NotConnected(
            reason=connection.reason, refused=connection.refused
        )
    state.abort = connection.abort
    connection.send_request(_encode_request(order), state.exchange)
    try:
        return await _wait_for_end(state, deadlines, may_leave)
    finally:
        connection.abort()


async def _wait_for_end(
    state: AttemptState, deadlines: Deadlines, may_leave: LeaveCallback
) -> Result:
    """Waits for the end of a response, or until the upstream is left."""
    exchange = state.exchange
    if not await _wait_for_headers(exchange, deadlines, may_leave):
        return Silent(after_s=deadlines.first_byte_s)
    if is_mismatched(exchange, state.echo):
        return Crossed(got=exchange.mismatched_id)
    while not exchange.ended:
        remaining_s = (
            exchange.last_received_at + deadlines.gap_s - clock.monotonic()
        )
        if remaining_s <= 0 and may_leave():
            return _with_cached_tokens(
                exchange, Silent(after_s=deadlines.gap_s)
            )
        if await _wait_while_silent(exchange, remaining_s):
            exchange.last_received_at = clock.monotonic()
    if state.result is not None:
        return _with_cached_tokens(exchange, state.result)
    if exchange.status and exchange.status != STATUS_OK:
        return _make_declined(exchange.status, state.error_body)
    reason = exchange.failure or "closed before the end marker"
    return _with_cached_tokens(exchange, Broke(reason=reason))


async def _wait_while_silent(
    exchange: connections.Exchange, remaining_s: float
) -> bool:
    """Waits for a change or until the silence is to be examined.

    Returns:
        Whether the process itself stood still, so that the silence begins anew.
    """
    is_overdue = remaining_s <= 0
    timeout_s = SILENCE_CHECK_INTERVAL_S if is_overdue else remaining_s
    examined_at = clock.monotonic() + timeout_s
    if await exchange.wait_for_change(timeout_s):
        return False
    return clock.monotonic() - examined_at > stalls.MIN_STALL_S


def _make_declined(status: int, body: bytes) -> Declined:
    detail = body[:MAX_ERROR_DETAIL_BYTES].decode(errors="replace")
    return Declined(status=status, detail=detail)


async def _wait_for_headers(
    exchange: connections.Exchange,
    deadlines: Deadlines,
    may_leave: LeaveCallback,
) -> bool:
    """Waits for the headers or the end; false if the upstream is left."""
    due_at = clock.monotonic() + deadlines.first_byte_s
    while not (exchange.reply or exchange.mismatched_id or exchange.ended):
        remaining_s = due_at - clock.monotonic()
        if remaining_s <= 0 and may_leave():
            return False
        if await _wait_while_silent(exchange, remaining_s):
            due_at = clock.monotonic() + deadlines.first_byte_s
    return True


def is_mismatched(exchange: connections.Exchange, echo: bool) -> bool:
    """Returns whether the response belongs to another attempt.

    Args:
        exchange: Exchange whose headers have been received.
        echo: Whether the upstream echoes the attempt id.
    """
    if exchange.mismatched_id:
        return True
    return bool(exchange.reply) and echo and not exchange.reply.answered_id


def _with_cached_tokens(
    exchange: connections.Exchange, result: Result
) -> Result:
    """Returns the result with the number of tokens cached by the upstream."""
    name = CACHED_HEADER.lower().encode()
    cached_tokens = digits.parse(replies.first_value(exchange.headers, name))
    if not hasattr(result, "cached_tokens") or cached_tokens is None:
        return result
    return dataclasses.replace(result, cached_tokens=cached_tokens)


def _encode_request(order: Order) -> bytes:
    """Returns the request as bytes, headers and body."""
    body = json.dumps(order.body).encode()
    head = (
        f"POST {order.path} HTTP/1.1\r\n"
        f"Host: {order.address}\r\n"
        "Content-Type: application/json\r\n"
        "Accept: text/event-stream\r\n"
        f"{REQUEST_HEADER}: {order.request_id}\r\n"
        f"{ATTEMPT_HEADER}: {order.attempt_id}\r\n"
        f"{PRIORITY_HEADER}: {order.priority}\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


def _find_end_marker(events: list[bytes]) -> tuple[int, bool] | None:
    """Returns the position of the first end marker or error event, if any.

    The second value is true for an error event.
    """
    for i, event in enumerate(events):
        if event == framing.DONE_EVENT:
            return i, False
        if event.startswith(framing.ERROR_PREFIX):
            return i, True
    return None
