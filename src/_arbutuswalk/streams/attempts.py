"""One attempt to run a model request on one upstream."""

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import aiohttp

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


async def run(
    session: aiohttp.ClientSession,
    order: Order,
    deadlines: Deadlines,
    feed: Feed,
) -> Result:
    """Runs one attempt and feeds each event that comes in.

    The connection is never pooled unless the answer was read to its end.
    """
    try:
        response = await asyncio.wait_for(
            session.post(
                f"http://{order.address}{order.path}",
                data=json.dumps(order.body).encode(),
                headers=_headers(order),
            ),
            deadlines.first_byte_s,
        )
    except aiohttp.ClientConnectorError as error:
        return NotConnected(reason=str(error))
    except aiohttp.ConnectionTimeoutError:
        return NotConnected(reason="connect timed out")
    except TimeoutError:
        return Silent(after_s=deadlines.first_byte_s)
    except (aiohttp.ClientError, OSError) as error:
        return Broke(reason=f"{type(error).__name__}: {error}")
    result = None
    try:
        result = await _read(response, order, deadlines, feed)
    finally:
        if isinstance(result, Completed):
            response.release()
        else:
            response.close()
    return result


def _headers(order: Order) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        REQUEST_HEADER: order.request_id,
        ATTEMPT_HEADER: order.attempt_id,
        PRIORITY_HEADER: str(order.priority),
    }


async def _read(
    response: aiohttp.ClientResponse,
    order: Order,
    deadlines: Deadlines,
    feed: Feed,
) -> Result:
    echoed = response.headers.get(ATTEMPT_HEADER, "")
    if echoed != order.attempt_id and (echoed or order.echo):
        return Crossed(got=echoed)
    if response.status != 200:
        return await _read_refusal(response, deadlines)
    cached = response.headers.get(CACHED_HEADER, "0")
    cached_tokens = int(cached) if cached.isdigit() else 0
    try:
        return await _read_events(response, deadlines, feed, cached_tokens)
    except TimeoutError:
        return Silent(after_s=deadlines.gap_s, cached_tokens=cached_tokens)
    except (aiohttp.ClientError, OSError) as error:
        reason = f"{type(error).__name__}: {error}"
        return Broke(reason=reason, cached_tokens=cached_tokens)


async def _read_refusal(
    response: aiohttp.ClientResponse, deadlines: Deadlines
) -> Result:
    try:
        data = await asyncio.wait_for(
            response.content.read(READ_BYTES), deadlines.gap_s
        )
    except (TimeoutError, aiohttp.ClientError, OSError):
        data = b""
    return Declined(
        status=response.status, detail=data[:500].decode(errors="replace")
    )


async def _read_events(
    response: aiohttp.ClientResponse,
    deadlines: Deadlines,
    feed: Feed,
    cached_tokens: int,
) -> Result:
    framer = framing.Framer()
    content = response.content
    while True:
        async with asyncio.timeout(deadlines.gap_s):
            chunk = await content.readany()
        if not chunk:
            return Broke(
                reason="closed before the end marker",
                cached_tokens=cached_tokens,
            )
        events = framer.feed(chunk)
        if len(framer.rest) > framing.MAX_EVENT_BYTES:
            return Broke(reason="event too large")
        ending = _find_end(events)
        if ending is None:
            if events:
                feed(events)
            continue
        position, failed = ending
        whole = events[:position] if failed else events[: position + 1]
        if whole:
            feed(whole)
        if failed:
            detail = events[position][:200].decode(errors="replace")
            return Broke(reason=detail, cached_tokens=cached_tokens)
        return Completed(cached_tokens=cached_tokens)


def _find_end(events: list[bytes]) -> tuple[int, bool] | None:
    """Returns where an end marker or error stands, and whether an error."""
    for i, event in enumerate(events):
        if event == framing.DONE:
            return i, False
        if event.startswith(framing.ERROR_PREFIX):
            return i, True
    return None
