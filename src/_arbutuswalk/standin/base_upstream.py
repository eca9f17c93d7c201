"""Base of simulated upstreams: lifecycle, announcements, faults."""

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
ANNOUNCED_KEYS = (
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
ECHOED_HEADERS = ("x-request-id", "x-attempt-id")


class BaseUpstream:
    """One simulated runner or service.

    Attributes:
        values: Settings.
        faults: Faults to inject.
        rng: Random source of fault decisions.
        incarnation: Start time in milliseconds; increases with each start.
        reclaim_at: Monotonic time at which it will be reclaimed, or None.
        count_running: Returns the load to announce.
        server: The HTTP server.
        announcer: Announces it to the entries.
    """

    def __init__(
        self,
        *,
        values: dict[str, Any],
        app: applications.Starlette,
        count_running: Callable[[], int],
        take_cache_event: Callable[[], dict[str, Any] | None] = lambda: None,
    ):
        self.values = values
        self.faults = faults.no_faults(time.monotonic())
        self.rng = random.Random(values["id"])
        self.incarnation = time.time_ns() // 1_000_000
        self.reclaim_at: float | None = None
        self.count_running = count_running
        self.server = servers.make_server(app, values["address"])
        fixed_fields = {
            key: values[key] for key in ANNOUNCED_KEYS if key in values
        }
        self.announcer = announcer.Announcer(
            entries=values["entries"],
            fixed_fields={**fixed_fields, "incarnation": self.incarnation},
            get_changing_fields=self._changing_fields,
            take_cache_event=take_cache_event,
        )
        self.announce_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the HTTP server and the announcements."""
        await self.server.start_listening()
        self.announce_task = asyncio.ensure_future(self.announcer.run())

    async def abort(self) -> None:
        """Stops abruptly, as if the instance were lost."""
        if self.announce_task is not None:
            self.announce_task.cancel()
        await self.server.abort()

    def leave(self, notice_s: float) -> None:
        """Announces that it will be reclaimed in ``notice_s`` seconds."""
        self.reclaim_at = time.monotonic() + notice_s
        self.announcer.announce_now()

    def has_active_faults(self, route: str, running_count: int) -> bool:
        """Tells whether faults apply to ``route`` now."""
        return self.faults.are_active(route, running_count, time.monotonic())

    async def set_faults(
        self, request: http_requests.Request
    ) -> responses.Response:
        """Replaces the fault settings."""
        values = settings.check(
            await request.json(), faults.FIELDS, where="faults"
        )
        if isinstance(values, settings.BadSettings):
            return responses.JSONResponse(values.problems, status_code=400)
        self.faults = faults.Faults(values=values, set_at=time.monotonic())
        return responses.JSONResponse({})

    def turn_away(self, echo_headers: dict[str, str]) -> responses.Response:
        """Returns an answer that asks the sender for a pause."""
        pause_s = self.faults.values["pause_s"]
        return responses.Response(
            "paused",
            status_code=503,
            headers={**echo_headers, "Retry-After": f"{pause_s:g}"},
        )

    def _changing_fields(self) -> dict[str, Any]:
        leaving = self.reclaim_at is not None
        leave_in_s = (
            max(0.0, self.reclaim_at - time.monotonic()) if leaving else 0
        )
        return {
            "running": self.count_running(),
            "leaving": leaving,
            "leave_in_s": leave_in_s,
        }


def headers_to_echo(request: http_requests.Request) -> dict[str, str]:
    """Returns the request headers that a response has to echo."""
    return {name: request.headers.get(name, "") for name in ECHOED_HEADERS}
