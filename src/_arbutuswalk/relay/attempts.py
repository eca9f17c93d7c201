"""Sends a request to one endpoint and processes the answer."""

import asyncio

from _arbutuswalk.base import clock
from _arbutuswalk.relay import answer_buffers
from _arbutuswalk.relay import answer_statements
from _arbutuswalk.relay import attempt_results
from _arbutuswalk.relay import attempt_timing
from _arbutuswalk.relay import brittle_endpoints
from _arbutuswalk.relay import connection_limits
from _arbutuswalk.relay import crash_probes
from _arbutuswalk.relay import delivery
from _arbutuswalk.relay import endpoint_limits
from _arbutuswalk.relay import placement
from _arbutuswalk.relay import relay_state
from _arbutuswalk.relay import request as requests
from _arbutuswalk.relay import results
from _arbutuswalk.relay import retry_reservation
from _arbutuswalk.relay import send_checks
from _arbutuswalk.relay import silence
from _arbutuswalk.routing import crashes
from _arbutuswalk.routing import directory
from _arbutuswalk.state import routeconfig
from _arbutuswalk.streams import connection as connections
from _arbutuswalk.streams import framing
from _arbutuswalk.streams import pool
from _arbutuswalk.streams import replies

REJECTION_BODY_WAIT_S = 0.1
"""Time for which the body of an answer is awaited whose head states that the
request was not run. It is read only to keep the connection usable."""
LOWEST_PRIORITY = 9


class Attempt:
    """One attempt to send a request to an endpoint.

    Attributes:
        relay: State of the entry.
        delivery: Answer to the caller, shared by all attempts of a request.
        request: The request.
        chosen: Where the request is sent to.
        endpoint: Its endpoint.
        lease_id: Lease of its slot if it is brittle, empty without one.
        exchange: HTTP exchange on the connection.
        started_at: When the attempt started, in seconds.
        unread_tokens: Prompt tokens that the endpoint has not read yet.
        silence: Decides when a silent endpoint is left.
        timing: Its latencies.
    """

    def __init__(
        self,
        *,
        relay: relay_state.Relay,
        caller_delivery: delivery.Delivery,
        chosen: placement.Placement,
        retry: retry_reservation.RetryReservation,
    ):
        self.relay = relay
        self.delivery = caller_delivery
        self.request = caller_delivery.request
        self.chosen = chosen
        self.endpoint = chosen.endpoint
        self.lease_id = chosen.lease_id
        self.unread_tokens = chosen.uncached_tokens
        self.started_at = relay.now()
        self.silence = silence.SilenceWatch(
            relay=relay,
            request=self.request,
            endpoint=self.endpoint,
            retry=retry,
        )
        self.timing = attempt_timing.AttemptTiming(
            relay=relay,
            request=self.request,
            chosen=chosen,
        )
        self.exchange = connections.Exchange(
            expected_id=self.request.id,
            has_body=self.request.method != "HEAD",
            echoes_id=True,
            on_reply=self._record_reply,
        )

    async def run(self) -> results.Result:
        """Sends the request and returns the result."""
        relay, endpoint_id = self.relay, self.endpoint.id
        relay.add_load(endpoint_id, 1, self.unread_tokens)
        placement.record_sent(relay, self.request, endpoint_id)
        result = None
        try:
            result = await self._send()
        finally:
            self.timing.stop()
            relay.add_load(endpoint_id, -1, -self.unread_tokens)
            connection_limits.wake_next(relay, self.request.upstream)
            reply = self.exchange.reply
            brittle_endpoints.release(
                relay,
                self.endpoint,
                self.lease_id,
                result,
                has_no_room=reply is not None and reply.has_no_room,
            )
        attempt_results.record(self, result)
        return result

    def _record_prompt_read(self) -> None:
        """Records that the endpoint has read the prompt."""
        self.relay.add_load(self.endpoint.id, 0, -self.unread_tokens)
        self.unread_tokens = 0

    async def _send(self) -> results.Result:
        connection = await self.relay.pool.acquire(
            self.endpoint.address,
            non_idempotent=not self.request.route.repeatable,
        )
        if isinstance(connection, pool.NotOpened):
            if connection.is_path_failure:
                return results.NotSent(reason=connection.reason)
            crash_probes.record_not_opened(
                self.relay, self.endpoint, connection
            )
            placement.mark_suspect(
                self.relay, self.endpoint.id, connection.reason
            )
            self.relay.pool.close_idle(self.endpoint.address)
            return results.NotSent(reason=connection.reason)
        if self._is_leaving():
            connection.abort()
            return results.NotSent(reason="the endpoint is leaving")
        obstacle = send_checks.find_obstacle(
            self.relay, self.delivery, self.chosen, self.started_at
        )
        if obstacle is not None:
            connection_limits.release(self.relay, self.endpoint, connection)
            return obstacle
        options = requests.AttemptOptions(
            endpoint=self.endpoint.id,
            left_s=self.request.deadline - self.relay.now(),
            last_event=self.delivery.last_event,
            priority=min(LOWEST_PRIORITY, self.request.priority),
        )
        data = self.relay.dialect.encode(self.request, options)
        self.delivery.on_caller_left.append(self.exchange.changed.set)
        self.delivery.may_have_run = True
        endpoint_limits.record_sent(self.relay, self.endpoint)
        connection.send_request(data, self.exchange)
        self.silence.peer = connection.peer
        self.silence.record_sent()
        self.timing.start()
        try:
            result = await self._receive_answer(connection)
        except asyncio.CancelledError:
            connection.abort()
            raise
        self._release_connection(connection, result)
        return result

    def _is_leaving(self) -> bool:
        start = directory.start_of(self.endpoint)
        return directory.is_leaving(self.relay.directory, start)

    def _record_reply(self, reply: replies.Reply) -> None:
        self.silence.record_received()
        answer_statements.record_any(
            self.relay, self.endpoint, reply, self.request.id
        )

    def _release_connection(
        self, connection: connections.Connection, result: results.Result
    ) -> None:
        """Returns a reusable connection to the pool, aborts any other."""
        reusable = isinstance(
            result, results.Answered | results.Delivered | results.NotRun
        )
        if self._is_leaving():
            connection.reusable = False
        if reusable and self.exchange.complete:
            connection_limits.release(self.relay, self.endpoint, connection)
        else:
            connection.abort()

    async def _receive_answer(
        self, connection: connections.Connection
    ) -> results.Result:
        """Waits for the status and headers, then reads the answer's body."""
        deadline = self.request.deadline + results.TIMEOUT_ANSWER_GRACE_S
        while self.exchange.reply is None and not self.exchange.ended:
            early_result = await self._wait_for_progress(deadline)
            if early_result is not None:
                self._record_pause()
                return early_result
            if self._has_only_unidentified() and self.request.route.repeatable:
                return self._record_lost("response without an id")
        self._record_pause()
        reply = self.exchange.reply
        if reply is None:
            return self._record_lost(self.exchange.failure)
        answer_statements.record_limit(
            self.relay, self.endpoint, reply, self.request.id
        )
        if reply.ran and reply.is_success and self._is_stream():
            if not self.delivery.is_continuation(
                self.exchange.status, self.exchange.headers
            ):
                return self._record_lost("answer does not continue the stream")
            return await self._forward_stream(connection, deadline)
        return await self._buffer_answer(connection, reply, deadline)

    def _record_pause(self) -> None:
        answer_statements.record_pause(
            self.relay, self.endpoint, self.exchange.reply, self.request.id
        )

    def _has_only_unidentified(self) -> bool:
        """Whether a response was skipped that may have been the only one."""
        exchange = self.exchange
        return exchange.skipped_unidentified and exchange.reply is None

    def _is_stream(self) -> bool:
        return self.request.route.kind == routeconfig.STREAM

    async def _buffer_answer(
        self,
        connection: connections.Connection,
        reply: replies.Reply,
        deadline: float,
    ) -> results.Result:
        """Buffers a complete answer before any of it is sent to the caller."""
        body = answer_buffers.Body()
        if not reply.ran:
            deadline = min(deadline, self.relay.now() + REJECTION_BODY_WAIT_S)
        try:
            early_result = await self._read_body(connection, body, deadline)
        finally:
            self.relay.answer_buffers.remove(self.exchange)
        if isinstance(early_result, results.CallerLeft):
            return early_result
        if not reply.ran:
            return results.NotRun(reason=f"status {self.exchange.status}")
        if early_result is not None:
            return early_result
        if not self.exchange.complete:
            return self._record_lost(self.exchange.failure)
        self._count_usage(self.started_at)
        if self.exchange.status < results.MIN_FAILURE_STATUS:
            self.timing.record_first_data(is_success=reply.is_success)
        return results.Answered(
            status=self.exchange.status,
            headers=self.exchange.headers,
            body=body.join(),
            body_end=self.exchange.body_end,
        )

    async def _read_body(
        self,
        connection: connections.Connection,
        body: answer_buffers.Body,
        deadline: float,
    ) -> results.Result | None:
        """Appends the answer's body to ``body``.

        Returns:
            The result if the attempt is over before the answer has ended.
        """
        while True:
            data = self.exchange.take_body()
            if data:
                self.silence.record_received()
            body.add(data)
            failure = self.relay.answer_buffers.add(self.exchange, len(data))
            if failure:
                return self._record_lost(failure)
            if self.exchange.ended:
                return None
            connection.resume_reading()
            early_result = await self._wait_for_progress(deadline)
            if early_result is not None:
                return early_result

    async def _forward_stream(
        self, connection: connections.Connection, deadline: float
    ) -> results.Result:
        """Forwards events to the caller as they arrive."""
        has_data = False
        await self.delivery.start_stream(
            self.exchange.status, self.exchange.headers
        )
        while True:
            data = self.exchange.take_body()
            connection.resume_reading()
            if data:
                self.silence.record_received()
                if has_data:
                    self.timing.record_further_data(data)
                else:
                    self.timing.record_first_data()
                    self._record_prompt_read()
                    self._count_usage(self.relay.now())
                    self.silence.record_sent_events()
                has_data = True
                early_result = await self._send_events(data, deadline)
                if early_result is not None:
                    return early_result
            if self.exchange.ended and not self.exchange.chunks:
                break
            early_result = await self._wait_for_progress(deadline)
            if early_result is not None:
                return early_result
        failure = attempt_results.explain_broken_off(
            self.exchange, self.delivery, has_data=has_data
        )
        if failure:
            return self._record_lost(failure)
        rest_bytes = len(self.delivery.framer.rest)
        try:
            async with asyncio.timeout(max(0.0, deadline - self.relay.now())):
                await self.delivery.finish_stream()
        except TimeoutError:
            return results.TimedOut(reason="caller reads too slowly")
        return results.Delivered(
            body_end=self.exchange.body_end, rest_bytes=rest_bytes
        )

    async def _send_events(
        self, data: bytes, deadline: float
    ) -> results.Result | None:
        """Sends events to the caller, until the deadline if it is slow.

        Returns:
            The result if the attempt is over, None if it goes on.
        """
        try:
            async with asyncio.timeout(max(0.0, deadline - self.relay.now())):
                if await self.delivery.send_events(data):
                    self.silence.record_sent_events()
                if self.delivery.has_large_event:
                    if self.request.route.resumable:
                        return self._record_lost(
                            f"event over {framing.MAX_EVENT_BYTES} bytes"
                        )
                    await self.delivery.send_event_part()
        except TimeoutError:
            return results.TimedOut(reason="caller reads too slowly")
        return None

    async def _wait_for_progress(
        self, deadline: float
    ) -> results.Result | None:
        """Waits for progress of the exchange.

        Returns:
            The result if the attempt is over, None if it goes on.
        """
        if self.delivery.caller_left:
            return results.CallerLeft()
        wait_until = min(deadline, self.silence.next_check_at)
        if await self.exchange.wait_for_change(wait_until - self.relay.now()):
            return results.CallerLeft() if self.delivery.caller_left else None
        if wait_until == deadline:
            return results.TimedOut(reason=self._explain_timeout())
        reason = self.silence.check()
        return self._record_lost(reason) if reason else None

    def _explain_timeout(self) -> str:
        if self.exchange.ended:
            return "no time left to send the rest of the answer"
        silent_s = clock.monotonic() - self.exchange.last_received_at
        return f"no time left, nothing received for {silent_s:.1f} s"

    def _record_lost(self, reason: str) -> results.Lost:
        crashes.record_lost_connection(
            self.relay.crashes,
            self.request.id,
            self.request.crash_keys,
            self.endpoint,
            self.relay.now(),
        )
        placement.mark_suspect(self.relay, self.endpoint.id, reason)
        self.relay.pool.close_idle(self.endpoint.address)
        if self.exchange.closed_by_peer or self.exchange.complete:
            crash_probes.start(self.relay, self.endpoint)
        return results.Lost(reason=reason)

    def _count_usage(self, started_at: float) -> None:
        workspace = self.request.workspace
        if workspace is not None:
            elapsed_s = self.relay.now() - started_at
            self.relay.usage.count(
                workspace.name, self.relay.wall() - elapsed_s
            )
