"""Simulated callers that cache the entry list, resend and resume."""

import asyncio
import dataclasses
import json
import random
import time
from typing import Any

import aiohttp

from _arbutuswalk.load import checks
from _arbutuswalk.load import workload
from _arbutuswalk.streams import framing

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 12.0
RETRY_INTERVAL_S = 0.1
MAX_SENDS_PER_ITEM = 40


@dataclasses.dataclass(kw_only=True)
class Result:
    """The outcome of one item.

    Attributes:
        item: The request that was sent.
        outcome: ``whole``, ``refused``, ``unknown`` or ``broken``.
        detail: Reason, empty for ``whole``.
        first_token_s: Seconds until the first token, zero if none came.
        total_s: Seconds until the outcome was known.
        sends: Number of times the caller sent it.
        resumptions: Number of times the caller resumed the stream.
        token_gaps_s: Seconds between consecutive tokens.
    """

    item: workload.Item
    outcome: str = "broken"
    detail: str = ""
    first_token_s: float = 0.0
    total_s: float = 0.0
    sends: int = 0
    resumptions: int = 0
    token_gaps_s: list[float] = dataclasses.field(default_factory=list)


class EntryDirectory:
    """Addresses of the entries, cached for the time to live of the list.

    Attributes:
        seeds: Configured addresses, used while no list is known.
        addresses: Addresses of the newest list, without removed ones.
        valid_until: Monotonic time at which the list expires.
    """

    def __init__(self, *, seeds: list[str], rng: random.Random):
        self.seeds = seeds
        self.rng = rng
        self.addresses: list[str] = []
        self.valid_until = 0.0

    async def choose_address(self, session: aiohttp.ClientSession) -> str:
        """Returns a random address, after a refresh if the list expired."""
        if time.monotonic() > self.valid_until or not self.addresses:
            await self._refresh(session)
        return self.rng.choice(self.addresses or self.seeds)

    def remove(self, address: str) -> None:
        """Removes a failed address until the next refresh."""
        if address in self.addresses:
            self.addresses.remove(address)

    async def _refresh(self, session: aiohttp.ClientSession) -> None:
        known_addresses = self.addresses + self.seeds
        for address in self.rng.sample(known_addresses, len(known_addresses)):
            try:
                async with session.get(
                    f"http://{address}/v1/entries"
                ) as response:
                    listing = await response.json()
            except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
                continue
            entry_addresses = [row["address"] for row in listing["entries"]]
            if entry_addresses:
                self.addresses = entry_addresses
                self.valid_until = time.monotonic() + listing["ttl_s"]
                return


class Caller:
    """Sends items and retries each until its outcome is final.

    Attributes:
        session: HTTP session for all requests.
        directory: Addresses of the entries.
        tokens: Bearer token by workspace.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        directory: EntryDirectory,
        tokens: dict[str, str],
    ):
        self.session = session
        self.directory = directory
        self.tokens = tokens

    async def run(self, item: workload.Item) -> Result:
        """Sends one item until its outcome is final or its time is over."""
        result = Result(item=item)
        started = time.monotonic()
        progress = StreamProgress()
        deadline = started + item.deadline_ms / 1000
        for _ in range(MAX_SENDS_PER_ITEM):
            if time.monotonic() >= deadline + READ_TIMEOUT_S:
                break
            address = await self.directory.choose_address(self.session)
            result.sends += 1
            try:
                is_final = await self._send(
                    item, address, result, progress, started
                )
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                result.detail = f"{type(error).__name__}: {error}"
                self.directory.remove(address)
                is_final = False
            if is_final:
                break
            await asyncio.sleep(RETRY_INTERVAL_S)
        result.total_s = time.monotonic() - started
        return result

    async def _send(
        self,
        item: workload.Item,
        address: str,
        result: Result,
        progress: "StreamProgress",
        started: float,
    ) -> bool:
        """Sends once; returns whether the outcome is final."""
        if item.kind == "service":
            return await self._send_service(item, address, result)
        headers = self._headers(item)
        if progress.last_id:
            headers["Last-Event-ID"] = progress.last_id
            result.resumptions += 1
        path = "chat/completions" if item.kind == "chat" else "completions"
        async with self.session.post(
            f"http://{address}/v1/{path}",
            data=json.dumps(_model_body(item)).encode(),
            headers=headers,
        ) as response:
            if response.status != 200:
                return await self._read_problem(response, result)
            if not item.stream:
                return await self._read_complete_answer(item, response, result)
            return await self._read_stream(
                item, response, result, progress, started
            )

    def _headers(self, item: workload.Item) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self.tokens[item.workspace]}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(item.deadline_ms),
            "X-Priority": str(item.priority),
        }
        if item.key:
            headers["Idempotency-Key"] = item.key
        return headers

    async def _send_service(
        self, item: workload.Item, address: str, result: Result
    ) -> bool:
        body = {**item.body, "ref": item.ref}
        async with self.session.request(
            item.method,
            f"http://{address}/v1/services/{item.upstream}{item.path}",
            data=b"" if item.method == "GET" else json.dumps(body).encode(),
            headers=self._headers(item),
        ) as response:
            response_body = await response.read()
            if "problem+json" in response.headers.get("Content-Type", ""):
                return _record_problem(result, response, response_body)
            error = checks.check_service(item, response.status, response_body)
        result.outcome = "broken" if error else "whole"
        result.detail = error
        return True

    async def _read_problem(
        self, response: aiohttp.ClientResponse, result: Result
    ) -> bool:
        return _record_problem(result, response, await response.read())

    async def _read_complete_answer(
        self,
        item: workload.Item,
        response: aiohttp.ClientResponse,
        result: Result,
    ) -> bool:
        body = json.loads(await response.read())
        choice = body["choices"][0]
        text = choice.get("text") or choice["message"]["content"]
        result.detail = checks.check_text(item, text)
        result.outcome = "broken" if result.detail else "whole"
        return True

    async def _read_stream(
        self,
        item: workload.Item,
        response: aiohttp.ClientResponse,
        result: Result,
        progress: "StreamProgress",
        started: float,
    ) -> bool:
        framer = framing.Framer()
        async for chunk in response.content.iter_any():
            for event in framer.feed(chunk):
                progress.record_event(event, result, started)
                if progress.problem is not None:
                    result.outcome = "unknown"
                    result.detail = progress.problem
                    return True
                if progress.ended:
                    text = checks.text_of_events(progress.events)
                    result.detail = checks.check_text(item, text)
                    result.outcome = "broken" if result.detail else "whole"
                    return True
        return False  # no end marker: the caller resumes the stream


class StreamProgress:
    """The part of a stream that was received, over all connections.

    Attributes:
        events: Events of the engine in order, without their ids.
        last_id: Id of the last event.
        last_event_at: Monotonic time of the last event, in seconds.
        ended: Whether the end marker was received.
        problem: Text of the event that reports a failure, or None.
    """

    def __init__(self):
        self.events: list[bytes] = []
        self.last_id = ""
        self.last_event_at = 0.0
        self.ended = False
        self.problem: str | None = None

    def record_event(
        self, event: bytes, result: Result, started: float
    ) -> None:
        """Records one event as it was received."""
        if event.startswith(b":"):
            return
        if event.startswith(b"event: reset"):
            self.events = []
            return
        if event.startswith(b"event: problem"):
            self.problem = event.decode(errors="replace")
            return
        id_line, _, event_data = event.partition(b"\n")
        self.last_id = id_line.removeprefix(b"id: ").decode()
        now = time.monotonic()
        if not result.first_token_s:
            result.first_token_s = now - started
        else:
            result.token_gaps_s.append(now - self.last_event_at)
        self.last_event_at = now
        self.events.append(event_data)
        self.ended = event_data == framing.DONE_EVENT


def _model_body(item: workload.Item) -> dict[str, Any]:
    prompt = workload.build_prompt(item)
    body: dict[str, Any] = {
        "model": item.upstream,
        "max_tokens": item.max_tokens,
        "stream": item.stream,
    }
    if item.kind == "chat":
        body["messages"] = [{"role": "user", "content": prompt}]
    else:
        body["prompt"] = prompt
    return body


def _record_problem(
    result: Result, response: aiohttp.ClientResponse, response_body: bytes
) -> bool:
    """Records a refusal; returns whether it is final for this caller.

    Statuses 503 and 504 with a Retry-After header are retried, as the
    documentation for callers advises.
    """
    try:
        problem = json.loads(response_body)
    except ValueError:
        result.outcome, result.detail = "broken", "truncated refusal body"
        return True
    ran = problem.get("ran", "")
    result.detail = f"{problem.get('title')}: {problem.get('detail')}"
    result.outcome = "refused" if ran == "no" else "unknown"
    retryable = (
        response.status in (503, 504) and "Retry-After" in response.headers
    )
    return not retryable
