"""A stand-in plain service that counts how often each call ran.

Each run of a non-repeatable call is appended to a file, so that the count
survives the process.
"""

import asyncio
import os
import random
import time
from typing import Any

from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from _arbutuswalk.base import settings
from _arbutuswalk.standin import announcer
from _arbutuswalk.standin import faults
from _arbutuswalk.standin import server as servers

FIELDS = (
    settings.Field("id", "a name", settings.is_text),
    settings.Field("address", "IP:port", settings.is_address),
    settings.Field("entries", "a list of IP:port", settings.is_address_list),
    settings.Field("upstream", "a name", settings.is_text),
    settings.Field("version", "a name", settings.is_text),
    settings.Field("instance", "a name", settings.is_text),
    settings.Field("domain", "a failure domain", settings.is_text),
    settings.Field("instance_class", "a class", settings.is_text),
    settings.Field("slots", "a whole number", settings.is_natural, 64),
    settings.Field("work_s", "seconds", settings.is_not_negative, 0.01),
    settings.Field("run_log", "path of a file", settings.is_text),
)
ECHOED = ("x-request-id", "x-attempt-id")


class Service:
    """One stand-in service.

    Attributes:
        values: Settings.
        answers: Answer of each call that ran, by idempotency key.
        faults: How it misbehaves.
        running: Calls in progress.
    """

    def __init__(self, *, values: dict[str, Any]):
        self.values = values
        self.answers: dict[str, dict[str, Any]] = {}
        self.faults = faults.none(time.monotonic())
        self.rng = random.Random(values["id"])
        self.running = 0
        self.leaving_at: float | None = None
        self.incarnation = time.time_ns() // 1_000_000
        self.server = servers.make(self._app(), values["address"])
        self.announcer = announcer.Announcer(
            entries=values["entries"],
            fixed=self._fixed(),
            describe=self._describe,
        )
        self.announcing: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens and begins to announce."""
        await self.server.begin()
        self.announcing = asyncio.ensure_future(self.announcer.run())

    async def cut(self) -> None:
        """Disappears as if the instance were gone."""
        if self.announcing is not None:
            self.announcing.cancel()
        await self.server.cut()

    def _fixed(self) -> dict[str, Any]:
        keys = (
            "id",
            "address",
            "upstream",
            "version",
            "instance",
            "domain",
            "instance_class",
            "slots",
        )
        fixed = {key: self.values[key] for key in keys}
        return {**fixed, "incarnation": self.incarnation}

    def _describe(self) -> dict[str, Any]:
        return {"running": self.running}

    def _app(self) -> applications.Starlette:
        methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        return applications.Starlette(
            routes=[
                routing.Route("/standin/faults", self._set, methods=["POST"]),
                routing.Route("/status/{key}", self._status),
                routing.Route("/{path:path}", self._call, methods=methods),
            ]
        )

    async def _call(self, request: http_requests.Request) -> responses.Response:
        body = (await request.body()).decode(errors="replace")
        echo = {name: request.headers.get(name, "") for name in ECHOED}
        values = self.faults.values
        path = request.url.path
        faulty = self.faults.active(path, self.running, time.monotonic())
        if faulty and self.faults.fails(self.rng):
            return responses.Response("fault", status_code=500, headers=echo)
        if faulty and values["cross"]:
            echo["x-attempt-id"] = "another"
        self.running += 1
        try:
            slow = values["slow_factor"] if faulty else 1.0
            await asyncio.sleep(self.values["work_s"] * slow)
            answer = self._run(request, path, body)
            if faulty and values["late_s"]:
                await asyncio.sleep(values["late_s"])
        finally:
            self.running -= 1
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
        echo = {name: request.headers.get(name, "") for name in ECHOED}
        answer = self.answers.get(request.path_params["key"])
        if answer is None:
            return responses.Response(status_code=404, headers=echo)
        return responses.JSONResponse(answer, headers=echo)

    async def _set(self, request: http_requests.Request) -> responses.Response:
        values = settings.check(
            await request.json(), faults.FIELDS, where="faults"
        )
        if isinstance(values, settings.BadSettings):
            return responses.JSONResponse(values.problems, status_code=400)
        self.faults = faults.Faults(values=values, since=time.monotonic())
        return responses.JSONResponse({})


def _append_line(path: str, line: str) -> None:
    """Appends a line in one write, so that processes can share the file."""
    handle = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    try:
        os.write(handle, f"{line}\n".encode())
    finally:
        os.close(handle)
