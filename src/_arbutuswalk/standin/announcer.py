"""Announces a stand-in upstream at the entries, as real ones do."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import aiohttp

HEARTBEAT_S = 0.5
TIMEOUT_S = 1.0


class Announcer:
    """Sends announcements and heartbeats of one upstream.

    Attributes:
        entries: Addresses of entries, tried in turn.
        describe: Returns the fields that change.
        fixed: Fields that do not.
        cache_event: Returns a cache event to publish, if any.
        sequence: Number of the newest announcement.
    """

    def __init__(
        self,
        *,
        entries: list[str],
        fixed: dict[str, Any],
        describe: Callable[[], dict[str, Any]],
        cache_event: Callable[[], dict[str, Any] | None] = lambda: None,
    ):
        self.entries = list(entries)
        self.fixed = fixed
        self.describe = describe
        self.cache_event = cache_event
        self.sequence = 0
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Announces every heartbeat until cancelled."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S)
        ) as session:
            while True:
                await self._announce(session)
                event = self.cache_event()
                if event is not None:
                    await self._post(session, "events", self._own(event))
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.wake.wait(), HEARTBEAT_S)
                self.wake.clear()

    def hurry(self) -> None:
        """Announces at once."""
        self.wake.set()

    def _own(self, event: dict[str, Any]) -> dict[str, Any]:
        identity = {key: self.fixed[key] for key in ("id", "incarnation")}
        return {**event, **identity}

    async def _announce(self, session: aiohttp.ClientSession) -> None:
        self.sequence += 1
        said = {
            **self.fixed,
            **self.describe(),
            "sequence": self.sequence,
        }
        await self._post(session, "announce", said)

    async def _post(
        self, session: aiohttp.ClientSession, kind: str, body: Any
    ) -> None:
        for _ in range(len(self.entries)):
            url = f"http://{self.entries[0]}/v1/upstreams/{kind}"
            try:
                async with session.post(url, json=body) as response:
                    await response.read()
                    if response.status < 500:
                        return
            except (TimeoutError, aiohttp.ClientError, OSError):
                pass
            self.entries.append(self.entries.pop(0))
