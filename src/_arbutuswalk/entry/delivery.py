"""Bringing an answer to its caller, as a stream or whole.

While the caller keeps up, events are written in the callback that brings them.
The connection's task wakes only for the end, a slow or vanished caller, and
keep-alives.
"""

import asyncio
import json
from typing import Any

from starlette import responses

from _arbutuswalk.entry import core
from _arbutuswalk.entry import http
from _arbutuswalk.entry import requests
from _arbutuswalk.streams import answer as answers
from _arbutuswalk.streams import framing

KEEP_ALIVE_S = 5.0
RESET_EVENT = b"event: reset\ndata: {}\n\n"
STREAM_HEADERS = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)


class Reader:
    """One caller's place in an answer.

    Attributes:
        answer: The answer.
        send: ASGI send of the caller's connection.
        flow: The server's flow control, None where it has none to see.
        position: Number of the next event to send.
        direct: Whether events may be written as they come.
        grown: Wakes the connection's task.
        wrote: Whether anything was written since the last look.
    """

    def __init__(self, *, answer: answers.Answer, send: http.Send, start: int):
        self.answer = answer
        self.send = send
        self.flow = getattr(getattr(send, "__self__", None), "flow", None)
        self.position = start
        self.direct = False
        self.grown = asyncio.Event()
        self.wrote = False

    def __call__(self) -> None:
        """Writes what is new, or wakes the connection's task."""
        keeps_up = self.direct and not self.flow.write_paused
        if not keeps_up or self.answer.ended:
            self.grown.set()
            return
        data = self.take()
        if data:
            _send_now(self.send, _part(data))

    def take(self) -> bytes:
        """Returns the events that were not sent yet."""
        data = self.answer.framed(self.position)
        self.position = max(self.position, len(self.answer.events))
        self.wrote = self.wrote or bool(data)
        return data


def _send_now(send: http.Send, message: dict[str, Any]) -> None:
    """Runs an ASGI send to its end at once.

    The server's send only waits while writing is paused, which the caller has
    ruled out.
    """
    running = send(message)
    try:
        running.send(None)
    except StopIteration:
        return
    running.close()
    raise RuntimeError("send waited although writing was not paused")


async def deliver(
    entry: core.Entry,
    request: requests.ModelRequest,
    receive: http.Receive,
    send: http.Send,
    *,
    start: int = 0,
    reset: bool = False,
) -> None:
    """Delivers an answer from event ``start`` on until it ends.

    Returns early when the caller goes away; the request then counts as
    orphaned and is cancelled if nobody resumes it.
    """
    reader = Reader(answer=request.answer, send=send, start=start)
    request.answer.readers.add(reader)
    request.orphaned_at = None
    gone = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        if request.streamed:
            await _stream(reader, gone, reset)
        else:
            await _whole(request, reader, gone)
    finally:
        gone.cancel()
        request.answer.readers.discard(reader)
        if not request.answer.readers:
            request.orphaned_at = entry.now()


async def _wait_for_disconnect(receive: http.Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _stream(reader: Reader, gone: asyncio.Future, reset: bool) -> None:
    answer, send = reader.answer, reader.send
    while not answer.events and not answer.ended:
        if not await _wait(reader, gone):
            return
    if answer.problem is not None and not answer.events:
        await _send_problem(answer.problem, send)
        return
    await send(_start(answer.request_id))
    if reset:
        await send(_part(RESET_EVENT))
    while not answer.ended:
        data = reader.take()
        if data:
            await send(_part(data))
            continue  # more may have come while the caller was slow
        reader.direct = reader.flow is not None
        alive = await _wait(reader, gone)
        reader.direct = False
        if not alive:
            return
        if not reader.wrote:
            await send(_part(framing.KEEP_ALIVE))
        reader.wrote = False
    await _end_stream(reader)


async def _end_stream(reader: Reader) -> None:
    data = reader.take()
    if reader.answer.problem is not None:
        document = http.problem_json(reader.answer.problem)
        data += b"event: problem\ndata: " + document + b"\n\n"
    await reader.send({"type": "http.response.body", "body": data})


async def _wait(reader: Reader, gone: asyncio.Future) -> bool:
    """Waits until woken or for a keep-alive; false if the caller is gone."""
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
    if reader.grown.is_set():
        reader.grown.clear()
        reader.wrote = True
    return not gone.done()


async def _whole(
    request: requests.ModelRequest, reader: Reader, gone: asyncio.Future
) -> None:
    answer = request.answer
    while not answer.ended:
        if not await _wait(reader, gone):
            return
    if answer.problem is not None:
        await _send_problem(answer.problem, reader.send)
        return
    response = responses.Response(
        json.dumps(whole_body(request)).encode(),
        media_type="application/json",
        headers={"X-Request-Id": request.request_id},
    )
    await response({"type": "http"}, None, reader.send)


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
        payload = framing.event_payload(event)
        if payload and payload.get("usage"):
            return payload["usage"]
    return {}


async def _send_problem(problem: answers.Problem, send: http.Send) -> None:
    response = http.problem_response(problem)
    await response({"type": "http"}, None, send)


def _start(request_id: str) -> dict[str, Any]:
    headers = [*STREAM_HEADERS, (b"x-request-id", request_id.encode())]
    return {"type": "http.response.start", "status": 200, "headers": headers}


def _part(data: bytes) -> dict[str, Any]:
    return {"type": "http.response.body", "body": data, "more_body": True}
