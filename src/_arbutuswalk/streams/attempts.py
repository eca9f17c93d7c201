"""One attempt to run a model request on one upstream."""

import dataclasses
import json
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import clock
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import framing
from _arbutuswalk.streams import pool
from _arbutuswalk.streams import replies

STATUS_OK = 200
REQUEST_HEADER = "X-Request-Id"
ATTEMPT_HEADER = "X-Attempt-Id"
CACHED_HEADER = "X-Cached-Tokens"
PRIORITY_HEADER = "X-Priority"
READ_BYTES = 64 * 1024


class Deadlines(NamedTuple):
    """How long an attempt may take to each step, in seconds."""

    connect_s: float = 1.0
    first_byte_s: float = 10.0
    gap_s: float = 2.0


class Order(NamedTuple):
    """What to send.

    Attributes:
        address: ``IP:port`` of the upstream.
        path: Path on it.
        request_id: Id of the request.
        attempt_id: Id of this attempt.
        body: JSON body.
        priority: Passed on to the engine.
        echo: Whether the upstream echoes ids.
    """

    address: str
    path: str
    request_id: str
    attempt_id: str
    body: dict[str, Any]
    priority: int
    echo: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Completed:
    """The end marker came; the answer is whole."""

    cached_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotConnected:
    """No connection opened; the upstream has seen nothing."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Declined:
    """The upstream answered with an error before any event."""

    status: int
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Broke:
    """The connection ended before the end marker."""

    reason: str
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Silent:
    """Nothing came in time; the connection was dropped."""

    after_s: float
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crossed:
    """The answer names another request; none of it was used."""

    got: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stopped:
    """The attempt was stopped from here, to go on elsewhere."""


Result = (
    Completed | NotConnected | Declined | Broke | Silent | Crossed | Stopped
)

Feed = Callable[[list[bytes]], None]


class Reading:
    """State of an attempt while its events come in.

    Attributes:
        feed: Takes complete events.
        echo: Whether the upstream echoes ids.
        exchange: Exchange whose body is read.
        framer: Cuts the body into events.
        result: Result, once it is known.
        refusal: Body of an answer that is no stream.
        stop: Ends the connection once the result is known.
    """

    def __init__(self, *, feed: Feed, attempt_id: str, echo: bool):
        self.feed = feed
        self.echo = echo
        self.exchange = connections.Exchange(
            sent_id=attempt_id, has_body=True, feed=self.take
        )
        self.framer = framing.Framer()
        self.result: Result | None = None
        self.refusal = b""
        self.stop = lambda: None

    def take(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if self.exchange.status != STATUS_OK:
            self.refusal += data[:READ_BYTES]
            return
        if self.result is not None or crossed(self.exchange, self.echo):
            return
        events = self.framer.feed(data)
        if len(self.framer.rest) > framing.MAX_EVENT_BYTES:
            self._finish(Broke(reason="event too large"))
        elif events:
            self._take_events(events)

    def _take_events(self, events: list[bytes]) -> None:
        ending = _find_end(events)
        if ending is None:
            self.feed(events)
            return
        position, failed = ending
        whole = events[:position] if failed else events[: position + 1]
        if whole:
            self.feed(whole)
        if failed:
            detail = events[position][:200].decode(errors="replace")
            self._finish(Broke(reason=detail))
        else:
            self._finish(Completed(cached_tokens=0))

    def _finish(self, result: Result) -> None:
        self.result = result
        self.stop()


def read_reply(status: int, headers: replies.Headers) -> replies.Reply:
    """Tells what an upstream's status and headers mean."""
    echoed = replies.first(headers, ATTEMPT_HEADER.lower().encode())
    connection = replies.first(headers, b"connection").lower()
    return replies.Reply(
        ran=True,
        answers=echoed.decode("latin-1"),
        good=status == STATUS_OK,
        idle_s=None,
        closing=b"close" in connection,
    )


async def run(order: Order, deadlines: Deadlines, feed: Feed) -> Result:
    """Runs one attempt and feeds each event that comes in.

    It has a connection of its own, so that none can be silent from an earlier
    use.
    """
    reading = Reading(feed=feed, attempt_id=order.attempt_id, echo=order.echo)
    opened = await pool.connect(
        order.address, read=read_reply, timeout_s=deadlines.connect_s
    )
    if isinstance(opened, pool.NotOpened):
        return NotConnected(reason=opened.reason)
    reading.stop = opened.abort
    opened.begin(_request(order), reading.exchange)
    try:
        return await _follow(reading, deadlines)
    finally:
        opened.abort()


async def _follow(reading: Reading, deadlines: Deadlines) -> Result:
    """Waits for the end of an answer, or for a silence too long."""
    exchange = reading.exchange
    if not await _await_head(exchange, deadlines.first_byte_s):
        return Silent(after_s=deadlines.first_byte_s)
    if crossed(exchange, reading.echo):
        return Crossed(got=exchange.crossed_id)
    while not exchange.over:
        left_s = exchange.heard_at + deadlines.gap_s - clock.monotonic()
        if left_s <= 0:
            return _with_cached(exchange, Silent(after_s=deadlines.gap_s))
        await exchange.news_within(left_s)
    if reading.result is not None:
        return _with_cached(exchange, reading.result)
    if exchange.status and exchange.status != STATUS_OK:
        detail = reading.refusal[:500].decode(errors="replace")
        return Declined(status=exchange.status, detail=detail)
    reason = exchange.failure or "closed before the end marker"
    return _with_cached(exchange, Broke(reason=reason))


async def _await_head(exchange: connections.Exchange, timeout_s: float) -> bool:
    """Waits for status and headers, or the end; false if time runs out."""
    until = clock.monotonic() + timeout_s
    while not (exchange.reply or exchange.crossed_id or exchange.over):
        if not await exchange.news_within(until - clock.monotonic()):
            return False
    return True


def crossed(exchange: connections.Exchange, echo: bool) -> bool:
    """Tells whether the answer belongs to another attempt.

    Args:
        exchange: Exchange whose head has come.
        echo: Whether the upstream echoes ids.
    """
    if exchange.crossed_id:
        return True
    return bool(exchange.reply) and echo and not exchange.reply.answers


def _with_cached(exchange: connections.Exchange, result: Result) -> Result:
    """Adds how many tokens the upstream found in its cache."""
    name = CACHED_HEADER.lower().encode()
    text = replies.first(exchange.headers, name)
    if not hasattr(result, "cached_tokens") or not text.isdigit():
        return result
    return dataclasses.replace(result, cached_tokens=int(text))


def _request(order: Order) -> bytes:
    """Returns the bytes of the whole request."""
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


def _find_end(events: list[bytes]) -> tuple[int, bool] | None:
    """Returns where an end marker or error stands, and whether an error."""
    for i, event in enumerate(events):
        if event == framing.DONE:
            return i, False
        if event.startswith(framing.ERROR_PREFIX):
            return i, True
    return None
