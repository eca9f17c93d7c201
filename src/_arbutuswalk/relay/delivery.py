"""The answer to one caller, over all attempts that make it up.

A resumed stream keeps the head of its first run, and only whole events go out,
so that a run that broke off inside an event can be continued by another.
"""

from _arbutuswalk.relay import core
from _arbutuswalk.relay import events as sse
from _arbutuswalk.relay import request as requests
from _arbutuswalk.streams import framing
from _arbutuswalk.streams import replies


class Delivery:
    """What a caller has been sent.

    Attributes:
        request: The request.
        caller: How to answer.
        left: Whether the caller has gone.
        started: Whether status and headers have gone out.
        last_event: Id of the last event that the caller has.
        events: Events sent.
        first_at: When the first event went out, in seconds.
        wake: Called when the caller leaves.
    """

    def __init__(
        self,
        *,
        relay: core.Relay,
        request: requests.Request,
        caller: requests.Caller,
    ):
        self.relay = relay
        self.request = request
        self.caller = caller
        self.left = False
        self.started = False
        self.last_event = request.last_event
        self.events = 0
        self.first_at = 0.0
        self.framer = framing.Framer()
        self.wake = lambda: None

    def leave(self) -> None:
        """Notes that the caller has closed the connection."""
        self.left = True
        self.wake()

    async def start(self, status: int, headers: replies.Headers) -> None:
        """Sends the head of the first run; later ones only go on."""
        self.framer = framing.Framer()
        if self.started:
            return
        self.started = True
        await self.caller.head(
            status, self.relay.dialect.answer_headers(headers)
        )

    async def feed(self, data: bytes) -> None:
        """Passes on the events that ``data`` completes."""
        fresh = []
        for event in self.framer.feed(data):
            event_id = sse.id_of(event)
            if not sse.is_after(event_id, self.last_event):
                continue
            self.last_event = event_id or self.last_event
            fresh.append(event + framing.SEPARATOR)
        if not fresh:
            return
        if not self.events:
            self.first_at = self.relay.now()
        self.events += len(fresh)
        await self.caller.body(b"".join(fresh))

    async def finish(self) -> None:
        """Ends a complete stream; what is left is no whole event."""
        if self.framer.rest:
            await self.caller.body(self.framer.rest)
        await self.caller.end()

    async def whole(
        self, status: int, headers: replies.Headers, body: bytes
    ) -> None:
        """Sends an endpoint's whole answer."""
        await self.own(status, self.relay.dialect.answer_headers(headers), body)

    async def own(
        self, status: int, headers: replies.Headers, body: bytes
    ) -> None:
        """Sends a whole answer with the headers given."""
        self.started = True
        await self.caller.head(status, headers)
        if body:
            await self.caller.body(body)
        await self.caller.end()
