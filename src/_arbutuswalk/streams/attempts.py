"""One attempt to run a model request on one upstream."""

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.streams import connection
from _arbutuswalk.streams import framing

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
        framer: Cuts the body into events.
        result: Result, once it is known.
        usable: Whether the headers allow the body to be used.
        refusal: Body of an answer that is no stream.
    """

    def __init__(self, *, feed: Feed):
        self.feed = feed
        self.framer = framing.Framer()
        self.result: Result | None = None
        self.usable = False
        self.refusal = b""
        self.stop = lambda: None

    def take(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if not self.usable:
            self.refusal += data[:READ_BYTES]
            return
        if self.result is not None:
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


async def run(order: Order, deadlines: Deadlines, feed: Feed) -> Result:
    """Runs one attempt and feeds each event that comes in."""
    reading = Reading(feed=feed)
    try:
        stream = await connection.open_connection(
            order.address,
            _request(order),
            lambda stream: _check_headers(stream, reading, order),
            reading.take,
            timeout_s=deadlines.connect_s,
        )
    except TimeoutError:
        return NotConnected(reason="connect timed out")
    except OSError as error:
        return NotConnected(reason=str(error))
    try:
        return await _follow(stream, reading, order, deadlines)
    finally:
        stream.end("left")


def _check_headers(
    stream: connection.StreamConnection, reading: Reading, order: Order
) -> None:
    """Decides, before the body, whether this is the answer asked for."""
    echoed = stream.headers.get(ATTEMPT_HEADER.lower(), "")
    if echoed != order.attempt_id and (echoed or order.echo):
        reading.result = Crossed(got=echoed)
        stream.end("answer to another attempt")
        return
    reading.usable = stream.status == 200
    reading.stop = lambda: stream.end("")


async def _follow(
    stream: connection.StreamConnection,
    reading: Reading,
    order: Order,
    deadlines: Deadlines,
) -> Result:
    """Waits for the end of an answer, or for a silence too long."""
    await asyncio.wait((stream.started,), timeout=deadlines.first_byte_s)
    if not stream.started.done():
        return Silent(after_s=deadlines.first_byte_s)
    loop = stream.loop
    while not stream.ended.done():
        left_s = stream.heard_at + deadlines.gap_s - loop.time()
        if left_s <= 0:
            return _with_cached(stream, Silent(after_s=deadlines.gap_s))
        await asyncio.wait((stream.ended,), timeout=left_s)
    if reading.result is not None:
        return _with_cached(stream, reading.result)
    if stream.status and stream.status != 200:
        detail = reading.refusal[:500].decode(errors="replace")
        return Declined(status=stream.status, detail=detail)
    reason = stream.reason or "closed before the end marker"
    return _with_cached(stream, Broke(reason=reason))


def _with_cached(stream: connection.StreamConnection, result: Result) -> Result:
    """Adds how many tokens the upstream found in its cache."""
    text = stream.headers.get(CACHED_HEADER.lower(), "0")
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
