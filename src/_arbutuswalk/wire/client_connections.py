"""HTTP connections of clients that do not have to keep to any limit.

The connection parses one request ahead of the one that it answers, and leaves
the rest unparsed; once that is over a bound, it reads no more. What it holds is
charged to an account that all listeners of the process share.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http import httptools_impl

from _arbutuswalk.base import events
from _arbutuswalk.wire import client_memory
from _arbutuswalk.wire import client_refusals
from _arbutuswalk.wire import offered_upgrades
from _arbutuswalk.wire import read_flow
from _arbutuswalk.wire import request_pieces

MAX_UNPARSED_BYTES = 16 * 1024
"""Bytes of requests sent ahead over which a connection reads no more."""
WRITE_BUFFER_BYTES = 16 * 1024
"""Bytes of unread answers over which a connection writes no more."""
LINGER_S = 0.5
"""Time after a refusal in which a client's remaining bytes are dropped."""
BODY_LINGER_S = 5.0
"""The same for a client that may still send a body."""
LENGTH_HEADER = b"content-length"
LENGTH_HEADER_BYTES = len(LENGTH_HEADER)


class HeaderLimitExceededError(Exception):
    """The headers of a request are too large."""


class ClientConnection(offered_upgrades.HttpProtocol):
    """An HTTP connection that is bounded in all that it holds.

    Attributes:
        account: What all connections of the process hold.
        held_bytes: Charge of this connection.
        max_header_bytes: Maximum size of the headers of the current head.
        max_body_bytes: Returns the maximum size of a request's body.
        body_timeout_s: Returns the time in which a part of a body must arrive.
        unparsed: Received bytes, of which those from ``unparsed_from`` on
            are not parsed yet.
        body_limit: Maximum size of the body of the last request that began.
        kept_body_limit: The largest such limit in force since the first of the
            unparsed bytes was received.
        charges: Charge of each request that was read and is not answered.
        write_charge: Charge of an answer that the client does not read.
        answering: The request that is answered now or was answered last.
        reading_head: Whether the next byte belongs to a head.
        has_parsed_start: Whether the parser has seen the start of the head.
        header_bytes: Size of the headers that were parsed.
        head_charge: Charge of a head that is not complete.
        body_left: Bytes of a body with a length that are still to come.
        body_bytes: Size of the body that is being read, as far as it came.
        checked_bytes: The same at the last check of its progress.
        body_timer: Checks the progress of a body; None while none is read.
        linger_timer: Closes a refused connection; None if it is not refused.
        refused: Whether no more is read.
    """

    def __init__(
        self,
        *,
        account: client_memory.Account,
        max_header_bytes: int,
        max_body_bytes: Callable[[], int],
        body_timeout_s: Callable[[], float],
        **options: Any,
    ):
        super().__init__(**options)
        self.account = account
        self.held_bytes = 0
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.body_timeout_s = body_timeout_s
        self.unparsed = b""
        self.unparsed_from = 0
        self.body_limit = self.kept_body_limit = 0
        self.charges: list[int] = []
        self.write_charge = 0
        self.answering: httptools_impl.RequestResponseCycle | None = None
        self.reading_head = True
        self.has_parsed_start = False
        self.header_bytes = 0
        self.head_charge = 0
        self.body_left = 0
        self.body_bytes = 0
        self.checked_bytes = 0
        self.body_timer: asyncio.TimerHandle | None = None
        self.linger_timer: asyncio.TimerHandle | None = None
        self.refused = False

    @property
    def is_answering(self) -> bool:
        """Whether a request that was read in full waits for its answer."""
        answering = self.answering
        if answering is None or answering.response_complete:
            return False
        return not (answering is self.cycle and answering.more_body)

    @property
    def is_idle(self) -> bool:
        """Whether it answers nothing, and its client has read all."""
        return not (self.is_answering or self.transport.get_write_buffer_size())

    @property
    def is_at_work(self) -> bool:
        """Whether it answers a request, and its client reads what is sent."""
        return self.is_answering and not (
            self.flow.write_paused or self.flow.holds_reading
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Opens the connection if there is room for it."""
        super().connection_made(transport)
        self.flow = read_flow.ReadFlow(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if not self.account.open(self):
            self.refuse(
                client_refusals.STATUS_UNAVAILABLE, "too many connections"
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops what was received and the charges."""
        self._drop()
        if self.linger_timer is not None:
            self.linger_timer.cancel()
            self.account.end_lingering()
        if self.body_timer is not None:
            self.body_timer.cancel()
        if self.answering is not None and not self.answering.response_complete:
            # uvicorn tells only the last request that was read.
            self.answering.disconnected = True
            self.answering.message_event.set()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Charges an answer that the client does not read."""
        super().pause_writing()
        size = self.transport.get_write_buffer_size()
        self.write_charge = client_memory.UNREAD_ANSWER_COPIES * size
        self.account.charge(self, self.write_charge)

    def resume_writing(self) -> None:
        """Takes the charge of a read answer back."""
        super().resume_writing()
        self.account.charge(self, -self.write_charge)
        self.write_charge = 0

    def data_received(self, data: bytes) -> None:
        """Parses received data up to the request after the current one."""
        if self.refused:
            return
        if self.unparsed:
            self._keep(self.unparsed[self.unparsed_from :] + data, 0)
        else:
            self._parse(data, 0)

    def feed(self, data: bytes) -> None:
        """Parses data that contains the end of one head at most."""
        super().data_received(data)

    def on_message_begin(self) -> None:
        """Starts the head of a request."""
        super().on_message_begin()
        self.has_parsed_start = True
        self.body_limit = max(self.max_body_bytes(), self.kept_body_limit)
        self.header_bytes = 0
        self.body_left = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header, up to the limit for all headers together."""
        name_bytes = len(name)
        self.header_bytes += (
            name_bytes + len(value) + client_memory.HEADER_SEPARATOR_BYTES
        )
        if self.header_bytes > self.max_header_bytes:
            raise HeaderLimitExceededError
        super().on_header(name, value)
        if name_bytes == LENGTH_HEADER_BYTES and name.lower() == LENGTH_HEADER:
            self.body_left = int(value) if value.strip().isdigit() else 0

    def on_headers_complete(self) -> None:
        """Charges the head of a request, and refuses too large a body."""
        if self.refused:
            return
        self.reading_head = self.has_parsed_start = False
        self.body_bytes = self.checked_bytes = 0
        super().on_headers_complete()
        charge = client_memory.head_charge(len(self.headers), self.header_bytes)
        self.charges.append(charge)
        self.account.charge(self, charge - self.head_charge)
        self.head_charge = 0
        if not self.refused and self.body_left > self.body_limit:
            self._refuse_large_body()

    def on_body(self, body: bytes) -> None:
        """Stores a part of a body, and refuses too large a one."""
        if self.refused:
            return
        super().on_body(body)
        self.body_bytes += len(body)
        self.body_left -= len(body)
        if self.cycle.response_complete:
            return
        charge = client_memory.BODY_COPIES * len(body)
        self.charges[-1] += charge
        self.account.charge(self, charge)
        if not self.refused and self.body_bytes > self.body_limit:
            self._refuse_large_body()

    def on_message_complete(self) -> None:
        """Expects the head of the next request."""
        if self.refused or self.body_parser is not None:
            return
        super().on_message_complete()
        self.reading_head = True
        if self.body_timer is not None:
            self.body_timer.cancel()
            self.body_timer = None

    def _start_asgi_task(self, cycle: Any, app: Any) -> None:
        self.answering = cycle
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        """Goes on with the requests that were sent ahead."""
        if self.charges:
            self.account.charge(self, -self.charges.pop(0))
        self.account.mark_used(self)
        super().on_response_complete()
        if self.unparsed and not self.transport.is_closing():
            self._parse(self.unparsed, self.unparsed_from)

    def refuse(
        self,
        status: int,
        reason: str,
        *,
        linger_s: float = LINGER_S,
        event: events.Event = events.Event.CLIENT_REFUSED,
    ) -> None:
        """Answers a request that was not read to its end, and closes.

        What the client still sends is dropped for a while: closing at once
        would reset the connection, and the client might lose the answer.
        """
        events.record(event, self.client_name(), status, reason)
        self.account.count("clients_refused", f'status="{status}"')
        self._end_reading()
        if self.is_answering:
            self._close_after_response()
            return
        if self.cycle is not None and not self.cycle.response_complete:
            if self.cycle.response_started:
                self.transport.abort()
                return
            # The application waits for the rest of the body.
            self.cycle.disconnected = True
            self.cycle.body.clear()
            self.cycle.message_event.set()
        self._drop()
        self._unset_keepalive_if_required()
        if self.flow.write_paused or not self.account.start_lingering():
            self.transport.abort()
            return
        self.transport.write(client_refusals.encode(status, reason))
        self.transport.write_eof()
        self.linger_timer = self.loop.call_later(linger_s, self.transport.close)

    def give_way(self, reason: str) -> None:
        """Gives up all that the connection holds."""
        is_reading = self.cycle is not None and not (
            self.is_answering or self.cycle.response_complete
        )
        self._drop()
        if is_reading:
            self.refuse(client_refusals.STATUS_UNAVAILABLE, reason)
            return
        events.record(
            events.Event.CLIENT_REFUSED, self.client_name(), 0, reason
        )
        self.account.count("clients_refused", 'status="closed"')
        self._end_reading()
        self.transport.abort()

    def client_name(self) -> str:
        """Returns the address of the client."""
        return ":".join(map(str, self.client or ()))

    def _parse(self, data: bytes, position: int) -> None:
        """Parses until a request waits; keeps the rest unparsed."""
        size = len(data)
        while position < size and not (self.pipeline and self.reading_head):
            if self.refused or self.transport.is_closing():
                self._keep(b"", 0)
                return
            end = request_pieces.find_end(
                data,
                position,
                reading_head=self.reading_head,
                body_left=self.body_left,
            )
            is_whole = position == 0 and end == size
            self.feed(data if is_whole else data[position:end])
            position = end
        if position < size:
            self._keep(data, position)
            return
        if self.unparsed:
            self._keep(b"", 0)
        if self.refused:
            return
        if self.has_parsed_start:
            self._charge_head()
        elif not self.reading_head and self.body_timer is None:
            self._start_body_timer()

    def _keep(self, data: bytes, position: int) -> None:
        """Keeps unparsed data, and stops reading if it is too much."""
        self.account.charge(self, len(data) - len(self.unparsed))
        self.unparsed, self.unparsed_from = data, position
        limit = max(self.kept_body_limit, self.max_body_bytes())
        self.kept_body_limit = limit if data else 0
        is_too_much = len(data) - position > MAX_UNPARSED_BYTES
        if is_too_much != self.flow.holds_reading:
            charge = client_memory.UNREAD_BYTES
            self.account.charge(self, charge if is_too_much else -charge)
        self.flow.holds_reading = is_too_much
        if is_too_much:
            self.flow.pause_reading()
        else:
            self.flow.resume_reading()

    def _charge_head(self) -> None:
        """Charges the headers of a head that is not complete."""
        charge = client_memory.head_charge(len(self.headers), self.header_bytes)
        self.account.charge(self, charge - self.head_charge)
        self.head_charge = charge

    def _refuse_large_body(self) -> None:
        reason = f"body over {self.body_limit} bytes"
        self.refuse(
            client_refusals.STATUS_CONTENT_TOO_LARGE,
            reason,
            linger_s=BODY_LINGER_S,
        )

    def _start_body_timer(self) -> None:
        self.body_timer = self.loop.call_later(
            self.body_timeout_s(), self._check_body
        )

    def _check_body(self) -> None:
        """Refuses a body that does not arrive, or that nobody waits for."""
        self.body_timer = None
        if self.refused or self.transport.is_closing():
            return
        if self.cycle.response_complete:
            self.transport.close()
            return
        if self.body_bytes == self.checked_bytes and not self.flow.read_paused:
            self.refuse(
                client_refusals.STATUS_TIMEOUT,
                f"no part of a body in {self.body_timeout_s():g} s",
            )
            return
        self.checked_bytes = self.body_bytes
        self._start_body_timer()

    def _close_after_response(self) -> None:
        """Closes after the response to the last request that was read."""
        self._end_reading()
        if self.pipeline and self.cycle.more_body:
            self.pipeline.popleft()
            self.cycle = self.pipeline[0][0] if self.pipeline else None
            self.cycle = self.cycle or self.answering
        self.cycle.keep_alive = False

    def _end_reading(self) -> None:
        self.refused = True
        self._keep(b"", 0)
        if self.body_timer is not None:
            self.body_timer.cancel()
            self.body_timer = None

    def _drop(self) -> None:
        """Drops what was received and takes the charges back."""
        self.account.close(self)
        self.unparsed = b""
        self.charges.clear()
        if self.has_parsed_start:
            # The connection may be part of a reference cycle.
            self.headers.clear()
        self.write_charge = self.head_charge = 0
