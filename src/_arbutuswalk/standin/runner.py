"""A stand-in model runner: HTTP over the stand-in engine."""

import asyncio
import json
import os
from typing import Any

from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from _arbutuswalk.base import settings
from _arbutuswalk.entry import model_requests as shapes
from _arbutuswalk.standin import engine as engines
from _arbutuswalk.standin import unit as units

FIELDS = (
    *units.FIELDS,
    settings.Field("slots", "a whole number", settings.is_non_negative_int, 8),
    settings.Field("token_s", "seconds", settings.is_positive, 0.02),
    settings.Field(
        "prefill_tokens_per_s", "a number", settings.is_positive, 20000.0
    ),
    settings.Field(
        "cache_tokens", "a whole number", settings.is_non_negative_int, 65536
    ),
)


class Runner(units.Unit):
    """One stand-in runner.

    Attributes:
        engine: Its engine.
        kill: Ends the process, or the runner in a shared process.
    """

    def __init__(self, *, values: dict[str, Any], kill=None):
        self.engine = engines.Engine(
            slots=values["slots"],
            token_s=values["token_s"],
            prefill_tokens_per_s=values["prefill_tokens_per_s"],
            cache_tokens=values["cache_tokens"],
        )
        self.kill = kill or (lambda: os._exit(1))
        super().__init__(
            values=values,
            app=self._app(),
            running=lambda: self.engine.running + self.engine.waiting,
            cache_event=self.engine.take_cache_event,
        )

    def _app(self) -> applications.Starlette:
        post = ["POST"]
        return applications.Starlette(
            routes=[
                routing.Route(
                    shapes.ROUTE_PATHS["completions"],
                    self._completion("completions"),
                    methods=post,
                ),
                routing.Route(
                    shapes.ROUTE_PATHS["chat"],
                    self._completion("chat"),
                    methods=post,
                ),
                routing.Route("/v1/cache/{request}", self._export),
                routing.Route("/v1/cache", self._import, methods=["PUT"]),
                routing.Route("/standin/faults", self.set_faults, methods=post),
                routing.Route("/standin/leave", self._leave, methods=post),
                routing.Route("/standin/stats", self._stats),
            ]
        )

    def _completion(self, route: str):
        async def completion(
            request: http_requests.Request,
        ) -> responses.Response:
            body = await request.json()
            return await self._complete(request, body, route)

        return completion

    async def _complete(
        self, request: http_requests.Request, body: dict, route: str
    ) -> responses.Response:
        prompt = shapes.prompt_of(body)
        values = self.faults.values
        running = self.engine.running
        faulty = self.is_faulty(route, running)
        if faulty and values["die_on"] and values["die_on"] in prompt:
            self.kill()
        echo = units.echo_of(request)
        if faulty and self.faults.fails(self.rng):
            text = '{"error": "stand-in fault"}'
            return responses.Response(text, status_code=500, headers=echo)
        if faulty and values["cross"]:
            echo["x-attempt-id"] = "another"
        if faulty and values["late_s"]:
            await asyncio.sleep(values["late_s"])
        text = prompt + (body.get("continue_from") or {}).get("text", "")
        echo["x-cached-tokens"] = str(self.engine.cached_tokens(text))
        self.engine.prompts[echo["x-request-id"]] = text
        events = self._generate(body, prompt, text, route, faulty)
        return responses.StreamingResponse(
            events, media_type="text/event-stream", headers=echo
        )

    async def _generate(
        self, body: dict, prompt: str, text: str, route: str, faulty: bool
    ):
        """Yields the events of one generation."""
        engine, values = self.engine, self.faults.values
        reference = engines.reference_of(prompt)
        nonce, place = engines.start_of(body.get("continue_from"))
        most = body.get("max_tokens", shapes.DEFAULT_MAX_TOKENS)
        slow = values["slow_factor"] if faulty else 1.0
        engine.waiting += 1
        async with engine.gate:
            engine.waiting -= 1
            engine.running += 1
            engine.served += 1
            try:
                cached = await engine.prefill(text)
                if slow > 1:
                    await asyncio.sleep(0.05 * slow)
                first = place
                while place < most:
                    made = place - first
                    if faulty and values["cut_after"] == made + 1:
                        return
                    if faulty and values["stall_after"] == made + 1:
                        await asyncio.sleep(3600)
                    await asyncio.sleep(engine.token_s * slow)
                    word = engines.token(reference, nonce, place)
                    yield _event(route, word)
                    place += 1
                yield _usage(prompt, place, cached)
                yield b"data: [DONE]\n\n"
            finally:
                engine.running -= 1

    async def _export(
        self, request: http_requests.Request
    ) -> responses.Response:
        text = self.engine.prompts.get(request.path_params["request"])
        if text is None:
            return responses.Response(status_code=404)
        return responses.JSONResponse({"text": text})

    async def _import(
        self, request: http_requests.Request
    ) -> responses.Response:
        self.engine.store((await request.json())["text"])
        return responses.JSONResponse({})

    async def _leave(
        self, request: http_requests.Request
    ) -> responses.Response:
        self.leave((await request.json())["notice_s"])
        return responses.JSONResponse({})

    async def _stats(self, _: http_requests.Request) -> responses.Response:
        engine = self.engine
        return responses.JSONResponse(
            {
                "served": engine.served,
                "running": engine.running,
                "computed_tokens": engine.computed_tokens,
            }
        )


def _event(route: str, word: str) -> bytes:
    if route == "chat":
        choice = {"index": 0, "delta": {"content": word}}
    else:
        choice = {"index": 0, "text": word}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def _usage(prompt: str, place: int, cached: int) -> bytes:
    usage = {
        "prompt_tokens": len(prompt) // 4,
        "completion_tokens": place,
        "cached_tokens": cached,
    }
    body = {"choices": [], "usage": usage}
    return b"data: " + json.dumps(body).encode() + b"\n\n"
