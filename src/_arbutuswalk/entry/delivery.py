"""Bringing an answer to its caller, as a stream or whole."""

import asyncio
import json
from typing import Any

from starlette import responses

from _arbutuswalk.entry import core
from _arbutuswalk.entry import http
from _arbutuswalk.entry import requests
from _arbutuswalk.streams import framing

KEEP_ALIVE_S = 5.0
RESET_EVENT = b"event: reset\ndata: {}\n\n"
STREAM_HEADERS = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)


class Reader:
    """Wakes one caller's connection when its answer grows."""

    def __init__(self):
        self.grown = asyncio.Event()

    def __call__(self) -> None:
        """Wakes the connection."""
        self.grown.set()


async def deliver(
    entry: core.Entry,
    request: requests.ModelRequest,
    scope: dict[str, Any],
    receive: http.Receive,
    send: http.Send,
    *,
    start: int = 0,
    streamed: bool | None = None,
    reset: bool = False,
) -> None:
    """Delivers an answer from event ``start`` on until it ends.

    Returns early when the caller goes away; the request then counts as
    orphaned and is cancelled if nobody resumes it.
    """
    reader = Reader()
    request.answer.readers.add(reader)
    request.orphaned_at = None
    gone = asyncio.ensure_future(_wait_for_disconnect(receive))
    as_stream = request.streamed if streamed is None else streamed
    try:
        if as_stream:
            await _stream(request, reader, gone, send, start, reset)
        else:
            await _whole(request, reader, gone, scope, receive, send)
    finally:
        gone.cancel()
        request.answer.readers.discard(reader)
        if not request.answer.readers:
            request.orphaned_at = entry.now()


async def _wait_for_disconnect(receive: http.Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _stream(
    request: requests.ModelRequest,
    reader: Reader,
    gone: asyncio.Future,
    send: http.Send,
    start: int,
    reset: bool,
) -> None:
    answer = request.answer
    while not answer.framed and not answer.ended:
        if not await _wait(reader, gone):
            return
    if answer.problem is not None and not answer.framed:
        await _send_problem(answer.problem, send)
        return
    await send(_start(request.request_id))
    if reset:
        await send(_part(RESET_EVENT))
    position = start
    while True:
        ended = answer.ended
        if len(answer.framed) > position:
            data = b"".join(answer.framed[position:])
            position = len(answer.framed)
            await send(_part(data))
        elif ended:
            break
        elif not await _wait(reader, gone, keep_alive=send):
            return
    if answer.problem is not None:
        data = http.problem_json(answer.problem)
        await send(_part(b"event: problem\ndata: " + data + b"\n\n"))
    await send({"type": "http.response.body", "body": b""})


async def _wait(
    reader: Reader, gone: asyncio.Future, keep_alive: http.Send | None = None
) -> bool:
    """Waits until the answer has grown; false when the caller is gone."""
    if gone.done():
        return False
    if not reader.grown.is_set():
        growing = asyncio.ensure_future(reader.grown.wait())
        await asyncio.wait(
            (growing, gone),
            timeout=KEEP_ALIVE_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        growing.cancel()
        if gone.done():
            return False
        if not reader.grown.is_set() and keep_alive is not None:
            await keep_alive(_part(framing.KEEP_ALIVE))
    reader.grown.clear()
    return True


async def _whole(
    request: requests.ModelRequest,
    reader: Reader,
    gone: asyncio.Future,
    scope: dict[str, Any],
    receive: http.Receive,
    send: http.Send,
) -> None:
    answer = request.answer
    while not answer.ended:
        if not await _wait(reader, gone):
            return
    if answer.problem is not None:
        await _send_problem(answer.problem, send)
        return
    response = responses.Response(
        json.dumps(whole_body(request)).encode(),
        media_type="application/json",
        headers={"X-Request-Id": request.request_id},
    )
    await response(scope, receive, send)


def whole_body(request: requests.ModelRequest) -> dict[str, Any]:
    """Returns the usual body of an answer that was not streamed."""
    text = request.answer.text()
    usage = _usage(request)
    if request.route == "chat":
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        kind = "chat.completion"
    else:
        choice = {"index": 0, "text": text, "finish_reason": "stop"}
        kind = "text_completion"
    return {
        "id": request.request_id,
        "object": kind,
        "model": request.upstream,
        "choices": [choice],
        "usage": usage,
    }


def _usage(request: requests.ModelRequest) -> dict[str, int]:
    for event in reversed(request.answer.events):
        payload = framing.payload_of(event)
        if payload and payload.get("usage"):
            return payload["usage"]
    return {}


async def _send_problem(problem: Any, send: http.Send) -> None:
    response = http.problem_response(problem)
    await response({"type": "http"}, None, send)


def _start(request_id: str) -> dict[str, Any]:
    headers = [*STREAM_HEADERS, (b"x-request-id", request_id.encode())]
    return {"type": "http.response.start", "status": 200, "headers": headers}


def _part(data: bytes) -> dict[str, Any]:
    return {"type": "http.response.body", "body": data, "more_body": True}
