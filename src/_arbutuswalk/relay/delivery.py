"""The answer to one caller, assembled from one or more attempts.

A resumed stream keeps the status and headers of its first attempt. Only
complete events are forwarded, so that an attempt that ended within an event can
be continued by another one. Events over the size limit are forwarded in parts
if the stream cannot be continued anyway.
"""

import asyncio
from collections.abc import Callable

from _arbutuswalk.base import events
from _arbutuswalk.relay import answer_buffers
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import sse
from _arbutuswalk.streams import framing
from _arbutuswalk.streams import replies

PART_BYTES = 256 * 1024
"""Size of the parts that a large answer is sent in, each once the one before
has almost been sent."""


class Delivery:
    """State of the answer to one caller.

    Attributes:
        relay: State of the entry.
        request: The request.
        sender: Callbacks that send the answer.
        caller_left: Whether the caller has closed the connection.
        headers_sent: Whether status and headers have been sent.
        stream_head: Status and media type that have been sent, None before.
        last_event: Id of the last event sent to the caller.
        event_count: Number of events sent.
        first_event_at: When the first event was sent, in seconds.
        framer: Splits the current attempt's data into events.
        inside_event: Whether a part of the current event has been sent.
        may_have_run: Whether an endpoint may have run the request.
        on_caller_left: Called when the caller closes the connection, by the
            attempts that are running or have run.
    """

    def __init__(
        self,
        *,
        relay: relay_state.Relay,
        request: requests.Request,
        sender: requests.AnswerSender,
    ):
        self.relay = relay
        self.request = request
        self.sender = sender
        self.caller_left = False
        self.headers_sent = False
        self.stream_head: tuple[int, bytes] | None = None
        self.last_event = request.last_event
        self.event_count = 0
        self.first_event_at = 0.0
        self.framer = framing.Framer()
        self.inside_event = False
        self.may_have_run = False
        self.on_caller_left: list[Callable[[], None]] = []

    def mark_caller_left(self) -> None:
        """Records that the caller has closed the connection."""
        self.caller_left = True
        for notify in self.on_caller_left:
            notify()

    def is_continuation(self, status: int, headers: replies.Headers) -> bool:
        """Returns whether an answer can continue the stream that was begun.

        One of another status or media type, such as an error page, cannot. An
        event stream also continues one that stated another media type or none.
        """
        if self.stream_head is None:
            return True
        first_status, first_media_type = self.stream_head
        media_types = first_media_type, replies.EVENT_STREAM
        is_known_type = replies.media_type(headers) in media_types
        return status == first_status and is_known_type

    async def start_stream(self, status: int, headers: replies.Headers) -> None:
        """Sends status and headers, unless an earlier attempt has."""
        self.framer = framing.Framer()
        if self.headers_sent:
            return
        self.headers_sent = True
        self.stream_head = status, replies.media_type(headers)
        # Without a length the caller can tell a broken-off stream from a whole
        # one, and a resumption may complete it with another length.
        headers = [
            header
            for header in self.relay.dialect.answer_headers(headers)
            if header[0] != b"content-length"
        ]
        await self.sender.send_head(status, headers)

    @property
    def is_inside_event(self) -> bool:
        """Whether the data received so far ends inside an event."""
        return self.inside_event or sse.is_inside_event(self.framer.rest)

    @property
    def has_large_event(self) -> bool:
        """Whether the incomplete event is over the size limit."""
        return len(self.framer.rest) > framing.MAX_EVENT_BYTES

    async def send_event_part(self) -> None:
        """Sends the incomplete event as far as it was received."""
        data, self.framer.rest = self.framer.rest, b""
        self.inside_event = True
        await self._continue_event(data)

    async def _continue_event(self, data: bytes) -> bytes:
        """Sends ``data`` up to the end of the event; returns what follows.

        A line end that may be half of the separator is kept for the next call.
        """
        data = self.framer.rest + data
        self.framer.rest = b""
        part, separator, following = data.partition(framing.SEPARATOR)
        if separator:
            self.inside_event = False
        elif part.endswith(b"\n"):
            part, self.framer.rest = part[:-1], b"\n"
        if part or separator:
            await self.sender.send_body(part + separator)
        return following

    async def send_events(self, data: bytes) -> bool:
        """Sends the events that ``data`` completes; returns whether it does."""
        if self.inside_event:
            data = await self._continue_event(data)
            if self.inside_event:
                return False
        new_events = []
        received_events = self.framer.feed(data)
        for event in received_events:
            event_id = sse.parse_id(event)
            if not sse.is_newer(event_id, self.last_event):
                continue
            self.last_event = event_id or self.last_event
            new_events.append(event + framing.SEPARATOR)
        if not new_events:
            return bool(received_events)
        if not self.event_count:
            self.first_event_at = self.relay.now()
        self.event_count += len(new_events)
        await self.sender.send_body(b"".join(new_events))
        return True

    async def finish_stream(self) -> None:
        """Ends a complete stream, sending the rest after the last event."""
        if self.framer.rest:
            await self.sender.send_body(self.framer.rest)
        await self.sender.end_answer()

    async def send_answer(
        self, status: int, headers: replies.Headers, body: bytes
    ) -> None:
        """Sends an endpoint's complete answer."""
        await self.send_local_answer(
            status, self.relay.dialect.answer_headers(headers), body
        )

    async def send_local_answer(
        self, status: int, headers: replies.Headers, body: bytes
    ) -> None:
        """Sends a complete answer with exactly these headers."""
        self.headers_sent = True
        await self.sender.send_head(status, headers)
        if len(body) > PART_BYTES:
            await self._send_large_body(body)
            return
        if body:
            await self.sender.send_body(body)
        await self.sender.end_answer()

    async def _send_large_body(self, body: bytes) -> None:
        """Sends a body as it is read; gives it up if the memory is needed."""
        scope = asyncio.timeout(None)
        unread = answer_buffers.UnreadAnswer(
            give_up=lambda: scope.reschedule(0.0)
        )
        buffers = self.relay.answer_buffers
        try:
            async with scope:
                buffers.add(unread, len(body))
                for start in range(0, len(body), PART_BYTES):
                    await self.sender.send_body(
                        body[start : start + PART_BYTES]
                    )
                await self.sender.end_answer()
        except TimeoutError:
            if not scope.expired():
                raise
            events.record(
                events.Event.ANSWER_GIVEN_UP, self.request.id, len(body)
            )
        finally:
            buffers.remove(unread)
