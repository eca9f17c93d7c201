"""Client of the platform's API."""

import dataclasses
import importlib
from typing import Any

TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The platform refused."""

    status: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoAnswer:
    """The platform did not answer."""

    reason: str


class Platform:
    """Notices and bills at one address."""

    def __init__(self, *, address: str):
        self.base = f"http://{address}/v1"
        self.session: Any = None

    async def notices(self, since: int) -> list | Refused | NoAnswer:
        """Returns reclaim notices from number ``since`` on."""
        return await self._call("GET", f"/notices?since={since}")

    async def bill(self) -> dict | Refused | NoAnswer:
        """Returns micro-units billed so far by instance."""
        return await self._call("GET", "/bill")

    async def close(self) -> None:
        """Closes connections."""
        if self.session is not None:
            await self.session.close()

    async def _call(self, method: str, path: str, body: Any = None) -> Any:
        # Importing it takes a quarter of a second, which would delay the start
        # of every control process, also of those that never call.
        aiohttp = importlib.import_module("aiohttp")
        if self.session is None:
            timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
            self.session = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self.session.request(
                method, self.base + path, json=body
            ) as response:
                if response.status >= 400:
                    reason = (await response.read())[:200].decode(
                        errors="replace"
                    )
                    return Refused(status=response.status, reason=reason)
                return await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError) as e:
            return NoAnswer(reason=f"{type(e).__name__}: {e}")
