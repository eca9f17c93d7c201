"""Delivers an answer to its caller, as a stream or as one response.

While the connection is writable, events are written in the callback that
receives them. The connection's task is woken only for the end of the answer, a
slow or disconnected caller, and keep-alives.
"""

import asyncio
import json
from typing import Any

from starlette import responses

from _arbutuswalk.entry import entry_state
from _arbutuswalk.entry import http
from _arbutuswalk.entry import model_requests
from _arbutuswalk.streams import answer as answers
from _arbutuswalk.streams import framing

KEEP_ALIVE_INTERVAL_S = 5.0
RESET_EVENT = b"event: reset\ndata: {}\n\n"
STREAM_HEADERS = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)


class AnswerReader:
    """Delivery state of one caller of an answer.

    Attributes:
        answer: The answer.
        send: ASGI send of the caller's connection.
        flow_control: The server's flow control, None if it exposes none.
        next_event: Number of the next event to send.
        write_directly: Whether events may be written as they arrive.
        wakeup: Wakes the connection's task.
        wrote_recently: Whether anything was written since the last
            keep-alive check.
    """

    def __init__(
        self, *, answer: answers.Answer, send: http.Send, first_event: int
    ):
        self.answer = answer
        self.send = send
        self.flow_control = getattr(
            getattr(send, "__self__", None), "flow", None
        )
        self.next_event = first_event
        self.write_directly = False
        self.wakeup = asyncio.Event()
        self.wrote_recently = False

    def __call__(self) -> None:
        """Writes new events, or wakes the connection's task."""
        writable = self.write_directly and not self.flow_control.write_paused
        if not writable or self.answer.ended:
            self.wakeup.set()
            return
        data = self.take_unsent()
        if data:
            _send_without_waiting(self.send, _body_message(data))

    def take_unsent(self) -> bytes:
        """Returns the events that were not sent yet and marks them as sent."""
        data = self.answer.framed(self.next_event)
        self.next_event = max(self.next_event, len(self.answer.events))
        self.wrote_recently = self.wrote_recently or bool(data)
        return data


def _send_without_waiting(send: http.Send, message: dict[str, Any]) -> None:
    """Completes an ASGI send without yielding to the event loop.

    The server's send waits only while writing is paused, which the calling
    function has ruled out.
    """
    coroutine = send(message)
    try:
        coroutine.send(None)
    except StopIteration:
        return
    coroutine.close()
    raise RuntimeError("ASGI send blocked although writing was not paused")


async def deliver(
    entry: entry_state.Entry,
    request: model_requests.ModelRequest,
    receive: http.Receive,
    send: http.Send,
    *,
    first_event: int = 0,
    reset: bool = False,
) -> None:
    """Delivers an answer, starting at ``first_event``, until it ends.

    Returns early if the caller disconnects. A request without readers is
    cancelled unless a caller resumes it in time.
    """
    reader = AnswerReader(
        answer=request.answer, send=send, first_event=first_event
    )
    request.answer.readers.add(reader)
    request.unread_since = None
    disconnected = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        if request.streamed:
            await _deliver_stream(reader, disconnected, reset)
        else:
            await _deliver_single_response(request, reader, disconnected)
    finally:
        disconnected.cancel()
        request.answer.readers.discard(reader)
        if not request.answer.readers:
            request.unread_since = entry.now()


async def _wait_for_disconnect(receive: http.Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _deliver_stream(
    reader: AnswerReader, disconnected: asyncio.Future, reset: bool
) -> None:
    answer, send = reader.answer, reader.send
    while not answer.events and not answer.ended:
        if not await _wait_for_wakeup(reader, disconnected):
            return
    if answer.problem is not None and not answer.events:
        await _send_problem(answer.problem, send)
        return
    await send(_start_message(answer.request_id))
    if reset:
        await send(_body_message(RESET_EVENT))
    while not answer.ended:
        data = reader.take_unsent()
        if data:
            await send(_body_message(data))
            continue  # more events may have arrived during the send
        reader.write_directly = reader.flow_control is not None
        connected = await _wait_for_wakeup(reader, disconnected)
        reader.write_directly = False
        if not connected:
            return
        if not reader.wrote_recently:
            await send(_body_message(framing.KEEP_ALIVE))
        reader.wrote_recently = False
    await _send_stream_end(reader)


async def _send_stream_end(reader: AnswerReader) -> None:
    data = reader.take_unsent()
    if reader.answer.problem is not None:
        document = http.problem_json(reader.answer.problem)
        data += b"event: problem\ndata: " + document + b"\n\n"
    await reader.send({"type": "http.response.body", "body": data})


async def _wait_for_wakeup(
    reader: AnswerReader, disconnected: asyncio.Future
) -> bool:
    """Waits for a wakeup or a keep-alive; false if the caller is gone."""
    if disconnected.done():
        return False
    if not reader.wakeup.is_set():
        waiting = asyncio.ensure_future(reader.wakeup.wait())
        await asyncio.wait(
            (waiting, disconnected),
            timeout=KEEP_ALIVE_INTERVAL_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        waiting.cancel()
    if reader.wakeup.is_set():
        reader.wakeup.clear()
        reader.wrote_recently = True
    return not disconnected.done()


async def _deliver_single_response(
    request: model_requests.ModelRequest,
    reader: AnswerReader,
    disconnected: asyncio.Future,
) -> None:
    answer = request.answer
    while not answer.ended:
        if not await _wait_for_wakeup(reader, disconnected):
            return
    if answer.problem is not None:
        await _send_problem(answer.problem, reader.send)
        return
    response = responses.Response(
        json.dumps(completion_body(request)).encode(),
        media_type="application/json",
        headers={"X-Request-Id": request.request_id},
    )
    await response({"type": "http"}, None, reader.send)


def completion_body(request: model_requests.ModelRequest) -> dict[str, Any]:
    """Returns the completion object of an answer that was not streamed."""
    text = request.answer.text()
    usage = _reported_usage(request)
    if request.route == "chat":
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        object_type = "chat.completion"
    else:
        choice = {"index": 0, "text": text, "finish_reason": "stop"}
        object_type = "text_completion"
    return {
        "id": request.request_id,
        "object": object_type,
        "model": request.upstream,
        "choices": [choice],
        "usage": usage,
    }


def _reported_usage(request: model_requests.ModelRequest) -> dict[str, int]:
    for event in reversed(request.answer.events):
        payload = framing.event_payload(event)
        if payload and payload.get("usage"):
            return payload["usage"]
    return {}


async def _send_problem(problem: answers.Problem, send: http.Send) -> None:
    response = http.problem_response(problem)
    await response({"type": "http"}, None, send)


def _start_message(request_id: str) -> dict[str, Any]:
    headers = [*STREAM_HEADERS, (b"x-request-id", request_id.encode())]
    return {"type": "http.response.start", "status": 200, "headers": headers}


def _body_message(data: bytes) -> dict[str, Any]:
    return {"type": "http.response.body", "body": data, "more_body": True}
