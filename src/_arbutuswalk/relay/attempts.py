"""Sends a request to one endpoint and follows what comes back."""

from _arbutuswalk.base import events
from _arbutuswalk.relay import core
from _arbutuswalk.relay import delivery
from _arbutuswalk.relay import placing
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.routing import crashes
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import pool
from _arbutuswalk.streams import replies

ANSWER_GRACE_S = 0.1
"""How much longer than its time an endpoint's own time-out answer is awaited:
below the quarter of a second by which an answer may be late."""
STALL_S = 1.0
"""Pause after which a stream is resumed elsewhere: half of the shortest pause
after which callers abandon one."""
MAX_WHOLE_BYTES = 8 * 1024 * 1024
"""Largest answer that is held whole: a tenth of what a process may use of the
smallest instances' memory, beside its own 30 MB."""
MAX_RANK = 9


class Attempt:
    """One sending of a request.

    Attributes:
        delivery: Answer to the caller, shared by all attempts of a request.
        endpoint: Where it goes.
        version: Version of that endpoint's software.
        exchange: Exchange on the connection.
        started: When it began, in seconds.
        unread: Tokens of the prompt that the endpoint has not read yet.
        first_s: Seconds to the first byte of the answer, 0 before.
    """

    def __init__(
        self,
        *,
        relay: core.Relay,
        to_caller: delivery.Delivery,
        place: placing.Place,
    ):
        self.relay = relay
        self.delivery = to_caller
        self.request = to_caller.request
        self.endpoint = place.endpoint
        self.unread = place.tokens
        self.started = relay.now()
        self.first_s = 0.0
        self.exchange = connections.Exchange(
            expected_id=self.request.id,
            has_body=self.request.method != "HEAD",
        )

    async def run(self) -> results.Result:
        """Sends the request and returns what became of it."""
        relay, name = self.relay, self.endpoint.id
        relay.add_load(name, 1, self.unread)
        placing.sent(relay, self.request, name)
        try:
            result = await self._run()
        finally:
            relay.add_load(name, -1, -self.unread)
        self._note(result)
        return result

    def _read(self) -> None:
        """Notes that the endpoint has read the prompt."""
        self.relay.add_load(self.endpoint.id, 0, -self.unread)
        self.unread = 0

    async def _run(self) -> results.Result:
        careful = not self.request.route.repeatable
        opened = await self.relay.pool.acquire(
            self.endpoint.address, non_idempotent=careful
        )
        if isinstance(opened, pool.NotOpened):
            placing.suspect(self.relay, self.endpoint.id, opened.reason)
            self.relay.pool.close_idle(self.endpoint.address)
            return results.NotSent(reason=opened.reason)
        left_s = self.request.deadline - self.relay.now()
        if self.delivery.left or left_s < results.LEAST_LEFT_S:
            self.relay.pool.release(opened)
            if self.delivery.left:
                return results.CallerLeft()
            return results.NotSent(reason="no time left")
        send = requests.Send(
            endpoint=self.endpoint.id,
            left_s=left_s,
            last_event=self.delivery.last_event,
            rank=min(MAX_RANK, self.request.priority),
        )
        data = self.relay.dialect.encode(self.request, send)
        self.delivery.wake = self.exchange.changed.set
        opened.send_request(data, self.exchange)
        result = await self._follow(opened)
        self._let_go(opened, result)
        return result

    def _let_go(
        self, opened: connections.Connection, result: results.Result
    ) -> None:
        """Keeps a clean connection, closes any other at once."""
        whole = isinstance(
            result, results.Answered | results.Delivered | results.NotRun
        )
        if whole and self.exchange.complete:
            self.relay.pool.release(opened)
        else:
            opened.abort()

    async def _follow(self, opened: connections.Connection) -> results.Result:
        """Waits for the answer's head, then for the rest in its way."""
        deadline = self.request.deadline + ANSWER_GRACE_S
        while self.exchange.reply is None and not self.exchange.ended:
            ended = await self._news(deadline)
            if ended is not None:
                return ended
        self.first_s = self.relay.now() - self.started
        reply = self.exchange.reply
        if reply is None:
            return self._lost(self.exchange.failure)
        if reply.ran and reply.is_success and self._is_stream():
            return await self._stream(opened, deadline)
        return await self._whole(opened, reply, deadline)

    def _is_stream(self) -> bool:
        return self.request.route.kind == routeconfig.STREAM

    async def _whole(
        self,
        opened: connections.Connection,
        reply: replies.Reply,
        deadline: float,
    ) -> results.Result:
        """Collects a whole answer; nothing of it has gone out yet."""
        body = bytearray()
        while True:
            body += self.exchange.take_body()
            opened.resume_reading()
            if len(body) > MAX_WHOLE_BYTES:
                return self._lost(f"answer over {MAX_WHOLE_BYTES} bytes")
            if self.exchange.ended:
                break
            ended = await self._news(deadline)
            if ended is not None:
                return ended
        if not reply.ran:
            return results.NotRun(reason=f"status {self.exchange.status}")
        if not self.exchange.complete:
            return self._lost(self.exchange.failure)
        self._count_begun(self.started)
        return results.Answered(
            status=self.exchange.status,
            headers=self.exchange.headers,
            body=bytes(body),
        )

    async def _stream(
        self, opened: connections.Connection, deadline: float
    ) -> results.Result:
        """Passes events on as they come."""
        begun = False
        await self.delivery.start(self.exchange.status, self.exchange.headers)
        while True:
            data = self.exchange.take_body()
            opened.resume_reading()
            if data:
                if not begun:
                    self.first_s = self.relay.now() - self.started
                    self._read()
                    self._count_begun(self.relay.now())
                begun = True
                await self.delivery.feed(data)
            if self.exchange.ended and not self.exchange.chunks:
                break
            ended = await self._news(deadline, stalls=begun)
            if ended is not None:
                return ended
        if not self.exchange.complete:
            return self._lost(self.exchange.failure)
        await self.delivery.finish()
        return results.Delivered()

    async def _news(
        self, deadline: float, *, stalls: bool = False
    ) -> results.Result | None:
        """Waits for news of the exchange; returns a result that ends it."""
        now = self.relay.now()
        until = deadline
        may_resume = stalls and self.request.route.resumable
        if may_resume:
            until = min(until, self.exchange.last_received_at + STALL_S)
        if self.delivery.left:
            return results.CallerLeft()
        if not await self.exchange.wait_for_change(until - now):
            if until < deadline:
                return self._lost("stream stalled")
            return results.TimedOut(reason="no time left")
        return results.CallerLeft() if self.delivery.left else None

    def _lost(self, reason: str) -> results.Lost:
        crashes.note_lost(
            self.relay.crashes,
            self.request.fingerprint,
            self.endpoint,
            self.relay.now(),
        )
        placing.suspect(self.relay, self.endpoint.id, reason)
        self.relay.pool.close_idle(self.endpoint.address)
        return results.Lost(reason=reason)

    def _count_begun(self, at: float) -> None:
        workspace = self.request.workspace
        if workspace is not None:
            ago = self.relay.now() - at
            self.relay.usage.count(workspace.name, self.relay.wall() - ago)

    def _note(self, result: results.Result) -> None:
        """Writes the attempt down, for the log and for rollouts."""
        took = self.relay.now() - self.started
        reason = getattr(result, "reason", "")
        if isinstance(result, results.Answered):
            reason = f"status {result.status}"
        if not isinstance(result, results.Answered | results.Delivered):
            events.record(
                events.Event.ATTEMPT_ENDED,
                self.request.id,
                self.endpoint.id,
                type(result).__name__,
                reason,
                round(took * 1000),
            )
        self.relay.metrics.record(
            "attempt",
            f'upstream="{self.request.upstream}",'
            f'outcome="{type(result).__name__}"',
            took,
        )
        self._note_outcome(result, took)

    def _note_outcome(self, result: results.Result, took: float) -> None:
        key = (self.request.upstream, self.endpoint.version)
        outcomes = self.relay.outcomes.get(key)
        if outcomes is None:
            outcomes = self.relay.outcomes[key] = core.Outcomes()
        if isinstance(
            result, results.NotSent | results.NotRun | results.CallerLeft
        ):
            return
        outcomes.ran += 1
        good = isinstance(result, results.Delivered) or (
            isinstance(result, results.Answered)
            and result.status < results.FAILURE_STATUS
        )
        outcomes.failed += not good
        self.relay.health.note(
            self.endpoint.id, failed=not good, now=self.relay.now()
        )
        if good:
            rollout = self.relay.rollouts.get(self.request.upstream)
            is_new = rollout is not None and rollout[0] == self.endpoint.version
            outcomes.timed += 1
            outcomes.slow += self.relay.note_first_byte(
                self.request.route.name, self.first_s or took, usual=not is_new
            )
