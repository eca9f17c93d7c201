"""Callers' HTTP connections with limits on idle times and heads of requests."""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from _arbutuswalk.base import events
from _arbutuswalk.wire import client_connections
from _arbutuswalk.wire import client_memory
from _arbutuswalk.wire import client_refusals
from _arbutuswalk.wire import sockets

DEFAULT_IDLE_TIMEOUT_S = 75.0
"""Idle time-out of callers' connections if the configuration sets none."""
DEFAULT_MAX_HEADER_BYTES = 64 * 1024
"""Maximum size of a request's headers if the configuration sets none."""
DEFAULT_HEAD_TIMEOUT_S = 30.0
"""Time-out of a request's head if the configuration sets none."""
REQUEST_LINE_BYTES = 8 * 1024
"""Size of a head in addition to that of its headers."""
STATUS_HEADERS_TOO_LARGE = 431


class ConnectionLimits(NamedTuple):
    """Limits on callers' connections.

    Attributes:
        idle_timeout_s: Time for which an idle connection is kept.
        max_header_bytes: Maximum size of a request's headers.
        head_timeout_s: Maximum time from the first byte of a head to its end.
        max_body_bytes: Maximum size of a body, 0 for a share of the memory
            that clients may use.
    """

    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    head_timeout_s: float = DEFAULT_HEAD_TIMEOUT_S
    max_body_bytes: int = 0


PIPELINED_STATE = "pipelined"
"""Key in the state of a scope of the connection's ``Pipelined``."""


class Pipelined:
    """Pipelined requests of a connection.

    Attributes:
        is_waiting: Whether one waits for the answer of the request before.
    """

    def __init__(self):
        self.is_waiting = False


def has_pipelined(scope: dict[str, Any]) -> bool:
    """Returns whether another request was read that waits for this one."""
    pipelined = scope.get("state", {}).get(PIPELINED_STATE)
    return pipelined is not None and pipelined.is_waiting


class HttpConnection(client_connections.ClientConnection):
    """An HTTP connection that limits idle times and the heads of requests.

    It also detects an unresponsive peer.

    Attributes:
        limits: Returns the limits in force.
        kept_header_limit: The largest limit on headers in force since the first
            of the unparsed bytes was received.
        is_head_only: Whether the data that is parsed contains only a head.
        head_bytes: Received bytes of a head that is not complete.
        head_timer: Limits the time of a head; None while there is none.
        pipelined: Requests that were read and wait for their turn.
        closes_when_idle: Whether to close after the last response.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], ConnectionLimits],
        account: client_memory.Account,
        **options: Any,
    ):
        default_body_bytes = account.limits.max_body_bytes
        super().__init__(
            account=account,
            max_header_bytes=limits().max_header_bytes,
            max_body_bytes=lambda: (
                limits().max_body_bytes or default_body_bytes
            ),
            body_timeout_s=lambda: limits().idle_timeout_s,
            **options,
        )
        self.limits = limits
        self.kept_header_limit = 0
        self.is_head_only = True
        self.head_bytes = 0
        self.head_timer: asyncio.TimerHandle | None = None
        self.pipelined = Pipelined()
        self.app_state = {PIPELINED_STATE: self.pipelined}
        self.closes_when_idle = False

    @property
    def has_begun_head(self) -> bool:
        """Whether a byte of the next head was received."""
        return self.has_parsed_start or self.head_bytes > 0

    @property
    def max_head_bytes(self) -> int:
        """Maximum size of the request line, and of an incomplete head."""
        return self.max_header_bytes + REQUEST_LINE_BYTES

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Enables the detection of an unresponsive peer and the idle limit."""
        sockets.set_options(transport.get_extra_info("socket"), sockets.CALLER)
        super().connection_made(transport)
        if not self.refused:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.limits().idle_timeout_s, self.timeout_keep_alive_handler
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the timers."""
        if isinstance(exc, TimeoutError):
            events.record(
                events.Event.CALLER_TIMED_OUT,
                self.client_name(),
                self.is_answering,
                self.flow.write_paused,
            )
        self._unset_keepalive_if_required()
        self._stop_head_timer()
        super().connection_lost(exc)

    def feed(self, data: bytes) -> None:
        """Parses received data and limits a head that is not complete."""
        self.is_head_only = self.reading_head
        super().feed(data)
        if self.refused or self.transport.is_closing():
            return
        if not self.reading_head:
            return
        # Where the head starts within the data is known only if nothing else
        # precedes it; the limit of parsed headers holds in any case.
        if self.is_head_only:
            self.head_bytes += len(data)
        if not self.has_begun_head:
            return
        if self.head_bytes > self.max_head_bytes:
            self._refuse_large_head()
        elif self.head_timer is None:
            self._start_head_timer()

    def _keep(self, data: bytes, position: int) -> None:
        super()._keep(data, position)
        limit = max(self.kept_header_limit, self.limits().max_header_bytes)
        self.kept_header_limit = limit if data else 0

    def on_message_begin(self) -> None:
        """Starts the head of a request."""
        super().on_message_begin()
        self.max_header_bytes = max(
            self.limits().max_header_bytes, self.kept_header_limit
        )

    def on_url(self, url: bytes) -> None:
        """Adds a part of the URL, up to the limit of a request line."""
        super().on_url(url)
        if len(self.url) > self.max_head_bytes:
            raise client_connections.HeaderLimitExceededError

    def on_headers_complete(self) -> None:
        """Ends the head of a request."""
        self.is_head_only = False
        self._stop_head_timer()
        super().on_headers_complete()
        self.pipelined.is_waiting = bool(self.pipeline)

    def on_message_complete(self) -> None:
        """Expects the head of the next request."""
        super().on_message_complete()
        self.head_bytes = 0

    def on_response_complete(self) -> None:
        """Waits for the next request, by the idle limit now in force."""
        self.timeout_keep_alive = self.limits().idle_timeout_s
        super().on_response_complete()
        self.pipelined.is_waiting = bool(self.pipeline)
        if self.closes_when_idle:
            self.shutdown()

    def shutdown(self) -> None:
        """Closes once no request that was read waits for its answer."""
        if self.cycle is None or self.cycle.response_complete:
            self.transport.close()
        else:
            self.closes_when_idle = True

    def send_400_response(self, msg: str) -> None:
        """Answers a request that could not be parsed."""
        if self._exceeds_limits():
            self._refuse_large_head()
        elif self.is_answering:
            self._close_after_response()
        else:
            super().send_400_response(msg)

    def _exceeds_limits(self) -> bool:
        return (
            self.header_bytes > self.max_header_bytes
            or len(getattr(self, "url", b"")) > self.max_head_bytes
        )

    def _start_head_timer(self) -> None:
        self.head_timer = self.loop.call_later(
            self.limits().head_timeout_s, self._handle_head_timeout
        )

    def _stop_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _handle_head_timeout(self) -> None:
        self.head_timer = None
        if self.refused:
            return
        if self.is_answering:
            # The head follows a request that is still being answered.
            self._start_head_timer()
            return
        timeout_s = self.limits().head_timeout_s
        self._refuse_head(
            client_refusals.STATUS_TIMEOUT, f"head took over {timeout_s:g} s"
        )

    def _refuse_large_head(self) -> None:
        self._refuse_head(
            STATUS_HEADERS_TOO_LARGE,
            f"headers over {self.max_header_bytes} bytes, or request line over"
            f" {self.max_head_bytes}",
        )

    def _refuse_head(self, status: int, reason: str) -> None:
        self._stop_head_timer()
        self.refuse(status, reason, event=events.Event.HEAD_REFUSED)


def make_factory(
    account: client_memory.Account,
    limits: Callable[[], ConnectionLimits] = ConnectionLimits,
) -> Callable[..., HttpConnection]:
    """Returns a function that makes connections for uvicorn's own server."""

    def make_connection(**options: Any) -> HttpConnection:
        return HttpConnection(limits=limits, account=account, **options)

    return make_connection
