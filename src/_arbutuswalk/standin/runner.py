"""A simulated model runner: HTTP interface of the simulated engine."""

import asyncio
import json
import os
from typing import Any

from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from _arbutuswalk.base import settings
from _arbutuswalk.entry import model_requests
from _arbutuswalk.standin import base_upstream
from _arbutuswalk.standin import engine as engines

FIELDS = (
    *base_upstream.FIELDS,
    settings.Field("slots", "a whole number", settings.is_non_negative_int, 8),
    settings.Field("token_s", "seconds", settings.is_positive, 0.02),
    settings.Field(
        "prefill_tokens_per_s", "a number", settings.is_positive, 20000.0
    ),
    settings.Field(
        "cache_tokens", "a whole number", settings.is_non_negative_int, 65536
    ),
)


class Runner(base_upstream.BaseUpstream):
    """One simulated runner.

    Attributes:
        engine: The simulated engine.
        kill: Simulates a crash: exits the process unless the platform that
            hosts the runner passed a function.
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
            app=self._make_app(),
            count_running=lambda: (
                self.engine.running_count + self.engine.waiting_count
            ),
            take_cache_event=self.engine.take_cache_event,
        )

    def _make_app(self) -> applications.Starlette:
        post_only = ["POST"]
        return applications.Starlette(
            routes=[
                routing.Route(
                    model_requests.ROUTE_PATHS["completions"],
                    self._make_completion_handler("completions"),
                    methods=post_only,
                ),
                routing.Route(
                    model_requests.ROUTE_PATHS["chat"],
                    self._make_completion_handler("chat"),
                    methods=post_only,
                ),
                routing.Route("/v1/cache/{request}", self._export_cache),
                routing.Route("/v1/cache", self._import_cache, methods=["PUT"]),
                routing.Route(
                    "/standin/faults", self.set_faults, methods=post_only
                ),
                routing.Route(
                    "/standin/leave", self._handle_leave, methods=post_only
                ),
                routing.Route("/standin/stats", self._get_stats),
            ]
        )

    def _make_completion_handler(self, route: str):
        async def handle_completion(
            request: http_requests.Request,
        ) -> responses.Response:
            body = await request.json()
            return await self._run_completion(request, body, route)

        return handle_completion

    async def _run_completion(
        self, request: http_requests.Request, body: dict, route: str
    ) -> responses.Response:
        prompt = model_requests.prompt_of(body)
        switches = self.faults.values
        running_count = self.engine.running_count
        faults_active = self.has_active_faults(route, running_count)
        if (
            faults_active
            and switches["die_on"]
            and switches["die_on"] in prompt
        ):
            self.kill()
        echo_headers = base_upstream.headers_to_echo(request)
        if faults_active and switches["pause_s"]:
            return self.turn_away(echo_headers)
        if faults_active and self.faults.should_fail(self.rng):
            text = '{"error": "stand-in fault"}'
            return responses.Response(
                text, status_code=500, headers=echo_headers
            )
        if faults_active and switches["cross"]:
            echo_headers["x-attempt-id"] = "another"
        if faults_active and switches["late_s"]:
            await asyncio.sleep(switches["late_s"])
        text = prompt + (body.get("continue_from") or {}).get("text", "")
        echo_headers["x-cached-tokens"] = str(
            self.engine.count_cached_tokens(text)
        )
        self.engine.prompts_by_request_id[echo_headers["x-request-id"]] = text
        events = self._generate(body, prompt, text, route, faults_active)
        return responses.StreamingResponse(
            events, media_type="text/event-stream", headers=echo_headers
        )

    async def _generate(
        self,
        body: dict,
        prompt: str,
        full_prompt: str,
        route: str,
        faults_active: bool,
    ):
        """Yields the server-sent events of one generation."""
        engine, switches = self.engine, self.faults.values
        reference = engines.parse_reference(prompt)
        generation_id, position = engines.continuation_start(
            body.get("continue_from")
        )
        max_tokens = body.get("max_tokens", model_requests.DEFAULT_MAX_TOKENS)
        slow_factor = switches["slow_factor"] if faults_active else 1.0
        engine.waiting_count += 1
        async with engine.slot_semaphore:
            engine.waiting_count -= 1
            engine.running_count += 1
            engine.started_requests += 1
            try:
                cached_tokens = await engine.prefill(full_prompt)
                if slow_factor > 1:
                    await asyncio.sleep(0.05 * slow_factor)
                start_position = position
                while position < max_tokens:
                    generated_count = position - start_position
                    if (
                        faults_active
                        and switches["cut_after"] == generated_count + 1
                    ):
                        return
                    if (
                        faults_active
                        and switches["stall_after"] == generated_count + 1
                    ):
                        await asyncio.sleep(3600)
                    await asyncio.sleep(engine.token_s * slow_factor)
                    token = engines.format_token(
                        reference, generation_id, position
                    )
                    yield _token_event(route, token)
                    position += 1
                yield _usage_event(prompt, position, cached_tokens)
                yield b"data: [DONE]\n\n"
            finally:
                engine.running_count -= 1

    async def _export_cache(
        self, request: http_requests.Request
    ) -> responses.Response:
        text = self.engine.prompts_by_request_id.get(
            request.path_params["request"]
        )
        if text is None:
            return responses.Response(status_code=404)
        return responses.JSONResponse({"text": text})

    async def _import_cache(
        self, request: http_requests.Request
    ) -> responses.Response:
        self.engine.cache_text((await request.json())["text"])
        return responses.JSONResponse({})

    async def _handle_leave(
        self, request: http_requests.Request
    ) -> responses.Response:
        self.leave((await request.json())["notice_s"])
        return responses.JSONResponse({})

    async def _get_stats(self, _: http_requests.Request) -> responses.Response:
        engine = self.engine
        return responses.JSONResponse(
            {
                "served": engine.started_requests,
                "running": engine.running_count,
                "computed_tokens": engine.computed_tokens,
            }
        )


def _token_event(route: str, token: str) -> bytes:
    if route == "chat":
        choice = {"index": 0, "delta": {"content": token}}
    else:
        choice = {"index": 0, "text": token}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def _usage_event(
    prompt: str, completion_tokens: int, cached_tokens: int
) -> bytes:
    usage = {
        "prompt_tokens": len(prompt) // 4,
        "completion_tokens": completion_tokens,
        "cached_tokens": cached_tokens,
    }
    body = {"choices": [], "usage": usage}
    return b"data: " + json.dumps(body).encode() + b"\n\n"
