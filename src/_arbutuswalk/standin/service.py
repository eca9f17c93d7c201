"""A simulated plain service that records each execution of a call.

Executions of non-idempotent calls are appended to a file, so that their number
is known after the process has ended.
"""

import asyncio
import os
from typing import Any

from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from _arbutuswalk.base import settings
from _arbutuswalk.standin import base_upstream

FIELDS = (
    *base_upstream.FIELDS,
    settings.Field("slots", "a whole number", settings.is_non_negative_int, 64),
    settings.Field("work_s", "seconds", settings.is_non_negative, 0.01),
    settings.Field("run_log", "path of a file", settings.is_non_empty_string),
)


class Service(base_upstream.BaseUpstream):
    """One simulated service.

    Attributes:
        answers_by_key: Answers of executed calls, by idempotency key.
        calls_in_progress: Number of calls that are being executed.
    """

    def __init__(self, *, values: dict[str, Any]):
        self.answers_by_key: dict[str, dict[str, Any]] = {}
        self.calls_in_progress = 0
        super().__init__(
            values=values,
            app=self._make_app(),
            count_running=lambda: self.calls_in_progress,
        )

    def _make_app(self) -> applications.Starlette:
        methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/standin/faults", self.set_faults, methods=["POST"]
                ),
                routing.Route("/status/{key}", self._get_status),
                routing.Route(
                    "/{path:path}", self._handle_call, methods=methods
                ),
            ]
        )

    async def _handle_call(
        self, request: http_requests.Request
    ) -> responses.Response:
        body = (await request.body()).decode(errors="replace")
        echo_headers = base_upstream.headers_to_echo(request)
        switches = self.faults.values
        path = request.url.path
        faults_active = self.has_active_faults(path, self.calls_in_progress)
        if faults_active and switches["pause_s"]:
            return self.turn_away(echo_headers)
        if faults_active and self.faults.should_fail(self.rng):
            return responses.Response(
                "fault", status_code=500, headers=echo_headers
            )
        if faults_active and switches["cross"]:
            echo_headers["x-attempt-id"] = "another"
        self.calls_in_progress += 1
        try:
            slow_factor = switches["slow_factor"] if faults_active else 1.0
            await asyncio.sleep(self.values["work_s"] * slow_factor)
            answer = self._record_run(request, path, body)
            if faults_active and switches["late_s"]:
                await asyncio.sleep(switches["late_s"])
        finally:
            self.calls_in_progress -= 1
        return responses.JSONResponse(answer, headers=echo_headers)

    def _record_run(
        self, request: http_requests.Request, path: str, body: str
    ) -> dict[str, Any]:
        key = request.headers.get("idempotency-key", "")
        answer = {
            "path": path,
            "body": body,
            "key": key,
            "by": self.values["id"],
            "version": self.values["version"],
        }
        if key and request.method != "GET":
            _append_line(self.values["run_log"], key)
            self.answers_by_key[key] = answer
        return answer

    async def _get_status(
        self, request: http_requests.Request
    ) -> responses.Response:
        echo_headers = base_upstream.headers_to_echo(request)
        answer = self.answers_by_key.get(request.path_params["key"])
        if answer is None:
            return responses.Response(status_code=404, headers=echo_headers)
        return responses.JSONResponse(answer, headers=echo_headers)


def _append_line(path: str, line: str) -> None:
    """Appends a line by one write, so that processes can share the file."""
    descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    try:
        os.write(descriptor, f"{line}\n".encode())
    finally:
        os.close(descriptor)
