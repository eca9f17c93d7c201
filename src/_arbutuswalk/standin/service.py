"""A stand-in plain service that counts how often each call ran.

Each run of a non-repeatable call is appended to a file, so that the count
survives the process.
"""

import asyncio
import os
from typing import Any

from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from _arbutuswalk.base import settings
from _arbutuswalk.standin import unit as units

FIELDS = (
    *units.FIELDS,
    settings.Field("slots", "a whole number", settings.is_non_negative_int, 64),
    settings.Field("work_s", "seconds", settings.is_non_negative, 0.01),
    settings.Field("run_log", "path of a file", settings.is_non_empty_string),
)


class Service(units.Unit):
    """One stand-in service.

    Attributes:
        answers: Answer of each call that ran, by idempotency key.
        busy: Calls in progress.
    """

    def __init__(self, *, values: dict[str, Any]):
        self.answers: dict[str, dict[str, Any]] = {}
        self.busy = 0
        super().__init__(
            values=values, app=self._app(), running=lambda: self.busy
        )

    def _app(self) -> applications.Starlette:
        methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/standin/faults", self.set_faults, methods=["POST"]
                ),
                routing.Route("/status/{key}", self._status),
                routing.Route("/{path:path}", self._call, methods=methods),
            ]
        )

    async def _call(self, request: http_requests.Request) -> responses.Response:
        body = (await request.body()).decode(errors="replace")
        echo = units.echo_of(request)
        values = self.faults.values
        path = request.url.path
        faulty = self.is_faulty(path, self.busy)
        if faulty and self.faults.fails(self.rng):
            return responses.Response("fault", status_code=500, headers=echo)
        if faulty and values["cross"]:
            echo["x-attempt-id"] = "another"
        self.busy += 1
        try:
            slow = values["slow_factor"] if faulty else 1.0
            await asyncio.sleep(self.values["work_s"] * slow)
            answer = self._run(request, path, body)
            if faulty and values["late_s"]:
                await asyncio.sleep(values["late_s"])
        finally:
            self.busy -= 1
        return responses.JSONResponse(answer, headers=echo)

    def _run(
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
            self.answers[key] = answer
        return answer

    async def _status(
        self, request: http_requests.Request
    ) -> responses.Response:
        echo = units.echo_of(request)
        answer = self.answers.get(request.path_params["key"])
        if answer is None:
            return responses.Response(status_code=404, headers=echo)
        return responses.JSONResponse(answer, headers=echo)


def _append_line(path: str, line: str) -> None:
    """Appends a line in one write, so that processes can share the file."""
    handle = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    try:
        os.write(handle, f"{line}\n".encode())
    finally:
        os.close(handle)
