"""Announces a simulated upstream to the entries, as a real one does."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import aiohttp

HEARTBEAT_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 1.0


class Announcer:
    """Sends announcements and heartbeats of one upstream.

    Attributes:
        entries: Addresses of the entries; the first one that answers is kept.
        get_changing_fields: Returns the announced fields that change.
        fixed_fields: Announced fields that do not change.
        take_cache_event: Returns the next cache event, or None.
        sequence: Sequence number of the last announcement.
        announce_requested: Set to announce before the next heartbeat.
    """

    def __init__(
        self,
        *,
        entries: list[str],
        fixed_fields: dict[str, Any],
        get_changing_fields: Callable[[], dict[str, Any]],
        take_cache_event: Callable[[], dict[str, Any] | None] = lambda: None,
    ):
        self.entries = list(entries)
        self.fixed_fields = fixed_fields
        self.get_changing_fields = get_changing_fields
        self.take_cache_event = take_cache_event
        self.sequence = 0
        self.announce_requested = asyncio.Event()

    async def run(self) -> None:
        """Announces at every heartbeat interval until cancelled."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        ) as session:
            while True:
                await self._announce(session)
                event = self.take_cache_event()
                if event is not None:
                    await self._post(
                        session, "events", self._with_identity(event)
                    )
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                        await self.announce_requested.wait()
                self.announce_requested.clear()

    def announce_now(self) -> None:
        """Announces without waiting for the next heartbeat."""
        self.announce_requested.set()

    def _with_identity(self, event: dict[str, Any]) -> dict[str, Any]:
        identity = {
            key: self.fixed_fields[key] for key in ("id", "incarnation")
        }
        return {**event, **identity}

    async def _announce(self, session: aiohttp.ClientSession) -> None:
        self.sequence += 1
        announcement = {
            **self.fixed_fields,
            **self.get_changing_fields(),
            "sequence": self.sequence,
        }
        await self._post(session, "announce", announcement)

    async def _post(
        self, session: aiohttp.ClientSession, resource: str, body: Any
    ) -> None:
        for _ in range(len(self.entries)):
            url = f"http://{self.entries[0]}/v1/upstreams/{resource}"
            try:
                async with session.post(url, json=body) as response:
                    await response.read()
                    if response.status < 500:
                        return
            except (TimeoutError, aiohttp.ClientError, OSError):
                pass
            self.entries.append(self.entries.pop(0))
