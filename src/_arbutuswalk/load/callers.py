"""Callers as the entries' users write them: keep the list, resend, resume."""

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

CONNECT_S = 1.0
SILENCE_S = 12.0
PAUSE_S = 0.1
MAX_TRIES = 40


@dataclasses.dataclass(kw_only=True)
class Result:
    """What became of one item.

    Attributes:
        item: The item.
        outcome: ``whole``, ``refused``, ``unknown`` or ``broken``.
        detail: Why, unless whole.
        first_token_s: Seconds to the first token, zero if none.
        total_s: Seconds to the end.
        sends: How often the caller sent it.
        resumed: How often the caller resumed it.
        gaps_s: Seconds between tokens.
    """

    item: workload.Item
    outcome: str = "broken"
    detail: str = ""
    first_token_s: float = 0.0
    total_s: float = 0.0
    sends: int = 0
    resumed: int = 0
    gaps_s: list[float] = dataclasses.field(default_factory=list)


class Directory:
    """The entries' addresses, asked for and kept for their time to live.

    Attributes:
        seeds: Addresses to ask first.
        addresses: Addresses of the newest list.
        fresh_until: Until when the list is kept.
    """

    def __init__(self, *, seeds: list[str], rng: random.Random):
        self.seeds = seeds
        self.rng = rng
        self.addresses: list[str] = []
        self.fresh_until = 0.0

    async def pick(self, session: aiohttp.ClientSession) -> str:
        """Returns an address to use."""
        if time.monotonic() > self.fresh_until or not self.addresses:
            await self._refresh(session)
        return self.rng.choice(self.addresses or self.seeds)

    def drop(self, address: str) -> None:
        """Stops using an address until the next list."""
        if address in self.addresses:
            self.addresses.remove(address)

    async def _refresh(self, session: aiohttp.ClientSession) -> None:
        known = self.addresses + self.seeds
        for address in self.rng.sample(known, len(known)):
            try:
                async with session.get(
                    f"http://{address}/v1/entries"
                ) as response:
                    listed = await response.json()
            except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
                continue
            found = [row["address"] for row in listed["entries"]]
            if found:
                self.addresses = found
                self.fresh_until = time.monotonic() + listed["ttl_s"]
                return


class Caller:
    """Sends items and follows each until its outcome is known.

    Attributes:
        session: HTTP session.
        directory: Where to send.
        tokens: Bearer token by workspace.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        directory: Directory,
        tokens: dict[str, str],
    ):
        self.session = session
        self.directory = directory
        self.tokens = tokens

    async def run(self, item: workload.Item) -> Result:
        """Sends one item until it is answered, refused or given up."""
        result = Result(item=item)
        started = time.monotonic()
        state = Progress()
        deadline = started + item.deadline_ms / 1000
        for _ in range(MAX_TRIES):
            if time.monotonic() >= deadline + SILENCE_S:
                break
            address = await self.directory.pick(self.session)
            result.sends += 1
            try:
                ended = await self._send(item, address, result, state, started)
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                result.detail = f"{type(error).__name__}: {error}"
                self.directory.drop(address)
                ended = False
            if ended:
                break
            await asyncio.sleep(PAUSE_S)
        result.total_s = time.monotonic() - started
        return result

    async def _send(
        self,
        item: workload.Item,
        address: str,
        result: Result,
        state: "Progress",
        started: float,
    ) -> bool:
        """Sends once; returns whether the outcome is final."""
        if item.kind == "service":
            return await self._send_service(item, address, result)
        headers = self._headers(item)
        if state.last_id:
            headers["Last-Event-ID"] = state.last_id
            result.resumed += 1
        path = "chat/completions" if item.kind == "chat" else "completions"
        async with self.session.post(
            f"http://{address}/v1/{path}",
            data=json.dumps(_model_body(item)).encode(),
            headers=headers,
        ) as response:
            if response.status != 200:
                return await self._problem(response, result)
            if not item.stream:
                return await self._read_whole(item, response, result)
            return await self._read_stream(
                item, response, result, state, started
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
            data = await response.read()
            if "problem+json" in response.headers.get("Content-Type", ""):
                return _note_problem(result, response, data)
            wrong = checks.check_service(item, response.status, data)
        result.outcome = "broken" if wrong else "whole"
        result.detail = wrong
        return True

    async def _problem(
        self, response: aiohttp.ClientResponse, result: Result
    ) -> bool:
        return _note_problem(result, response, await response.read())

    async def _read_whole(
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
        state: "Progress",
        started: float,
    ) -> bool:
        framer = framing.Framer()
        async for chunk in response.content.iter_any():
            for event in framer.feed(chunk):
                state.take(event, result, started)
                if state.problem is not None:
                    result.outcome = "unknown"
                    result.detail = state.problem
                    return True
                if state.done:
                    text = checks.text_of_events(state.events)
                    result.detail = checks.check_text(item, text)
                    result.outcome = "broken" if result.detail else "whole"
                    return True
        return False  # ended without the end marker: resume


class Progress:
    """What a caller has of a stream, over all its connections.

    Attributes:
        events: Engine events in order.
        last_id: Id of the newest event.
        last_at: When it came, in seconds.
        done: Whether the end marker came.
        problem: Why the stream failed, or None.
    """

    def __init__(self):
        self.events: list[bytes] = []
        self.last_id = ""
        self.last_at = 0.0
        self.done = False
        self.problem: str | None = None

    def take(self, event: bytes, result: Result, started: float) -> None:
        """Takes one event as it came."""
        if event.startswith(b":"):
            return
        if event.startswith(b"event: reset"):
            self.events = []
            return
        if event.startswith(b"event: problem"):
            self.problem = event.decode(errors="replace")
            return
        head, _, rest = event.partition(b"\n")
        self.last_id = head.removeprefix(b"id: ").decode()
        now = time.monotonic()
        if not result.first_token_s:
            result.first_token_s = now - started
        else:
            result.gaps_s.append(now - self.last_at)
        self.last_at = now
        self.events.append(rest)
        self.done = rest == framing.DONE


def _model_body(item: workload.Item) -> dict[str, Any]:
    prompt = workload.prompt_of(item)
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


def _note_problem(
    result: Result, response: aiohttp.ClientResponse, data: bytes
) -> bool:
    """Notes a refusal; returns whether it is final for this caller.

    A refusal that is truly not run and names a time to come back is sent
    again, as the documents for callers advise.
    """
    try:
        problem = json.loads(data)
    except ValueError:
        result.outcome, result.detail = "broken", "a refusal cut short"
        return True
    ran = problem.get("ran", "")
    result.detail = f"{problem.get('title')}: {problem.get('detail')}"
    result.outcome = "refused" if ran == "no" else "unknown"
    again = response.status in (503, 504) and "Retry-After" in response.headers
    return not again
