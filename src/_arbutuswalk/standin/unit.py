"""What stand-in runners and services share: life, announcing, faults."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from starlette import applications
from starlette import requests as http_requests
from starlette import responses

from _arbutuswalk.base import settings
from _arbutuswalk.standin import announcer
from _arbutuswalk.standin import faults
from _arbutuswalk.standin import server as servers

FIELDS = (
    settings.Field("id", "a name", settings.is_non_empty_string),
    settings.Field("address", "IP:port", settings.is_address),
    settings.Field("entries", "a list of IP:port", settings.is_address_list),
    settings.Field("upstream", "a name", settings.is_non_empty_string),
    settings.Field("version", "a name", settings.is_non_empty_string),
    settings.Field("instance", "a name", settings.is_non_empty_string),
    settings.Field("domain", "a failure domain", settings.is_non_empty_string),
    settings.Field("instance_class", "a class", settings.is_non_empty_string),
)
ANNOUNCED = (
    "id",
    "address",
    "upstream",
    "version",
    "instance",
    "domain",
    "instance_class",
    "slots",
    "cache_tokens",
)
ECHOED = ("x-request-id", "x-attempt-id")


class Unit:
    """One stand-in upstream.

    Attributes:
        values: Settings.
        faults: How it misbehaves.
        rng: Draws its faults.
        incarnation: Higher with each start.
        leaving_at: When it will be gone, or None.
        server: Its HTTP server.
        announcer: Tells the entries of it.
    """

    def __init__(
        self,
        *,
        values: dict[str, Any],
        app: applications.Starlette,
        running: Callable[[], int],
        cache_event: Callable[[], dict[str, Any] | None] = lambda: None,
    ):
        self.values = values
        self.faults = faults.none(time.monotonic())
        self.rng = random.Random(values["id"])
        self.incarnation = time.time_ns() // 1_000_000
        self.leaving_at: float | None = None
        self.running = running
        self.server = servers.make(app, values["address"])
        fixed = {key: values[key] for key in ANNOUNCED if key in values}
        self.announcer = announcer.Announcer(
            entries=values["entries"],
            fixed={**fixed, "incarnation": self.incarnation},
            describe=self._describe,
            cache_event=cache_event,
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

    def leave(self, notice_s: float) -> None:
        """Announces that it will be gone after ``notice_s``."""
        self.leaving_at = time.monotonic() + notice_s
        self.announcer.hurry()

    def is_faulty(self, route: str, running: int) -> bool:
        """Tells whether faults show on a route right now."""
        return self.faults.active(route, running, time.monotonic())

    async def set_faults(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Takes new fault switches."""
        values = settings.check(
            await request.json(), faults.FIELDS, where="faults"
        )
        if isinstance(values, settings.BadSettings):
            return responses.JSONResponse(values.problems, status_code=400)
        self.faults = faults.Faults(values=values, since=time.monotonic())
        return responses.JSONResponse({})

    def _describe(self) -> dict[str, Any]:
        leaving = self.leaving_at is not None
        left_s = max(0.0, self.leaving_at - time.monotonic()) if leaving else 0
        return {
            "running": self.running(),
            "leaving": leaving,
            "leave_in_s": left_s,
        }


def echo_of(request: http_requests.Request) -> dict[str, str]:
    """Returns the ids that an answer has to echo."""
    return {name: request.headers.get(name, "") for name in ECHOED}
