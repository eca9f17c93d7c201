"""Client of the platform's HTTP API."""

import dataclasses
import importlib
import json
from typing import Any

from _arbutuswalk.wire import http_answers

CALL_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
SUCCESS_STATUSES = range(200, 300)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The platform answered with an error status."""

    status: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoAnswer:
    """The platform did not answer."""

    reason: str


class PlatformClient:
    """Reads reclaim notices and bills from the platform at one address."""

    def __init__(self, *, address: str):
        self.base_url = f"http://{address}/v1"
        self.session: Any = None

    async def notices(self, first: int) -> list | Refused | NoAnswer:
        """Returns the reclaim notices from number ``first`` on."""
        return await self._call("GET", f"/notices?since={first}")

    async def bill(self) -> dict | Refused | NoAnswer:
        """Returns the micro-units billed so far, by instance."""
        return await self._call("GET", "/bill")

    async def close(self) -> None:
        """Closes the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def _call(self, method: str, path: str, body: Any = None) -> Any:
        # Importing aiohttp takes 0.25 s. A top-level import would delay the
        # start of every control process, even if it never calls the platform.
        aiohttp = importlib.import_module("aiohttp")
        if self.session is None:
            timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
            connector = http_answers.limit_interim_responses(
                aiohttp.TCPConnector()
            )
            self.session = aiohttp.ClientSession(
                timeout=timeout, connector=connector
            )
        try:
            async with self.session.request(
                method, self.base_url + path, json=body
            ) as response:
                answer = await http_answers.read_body(
                    response, MAX_ANSWER_BYTES
                )
                if answer is None:
                    return NoAnswer(
                        reason=f"answer over {MAX_ANSWER_BYTES} bytes"
                    )
                if response.status >= 400:
                    reason = answer[:200].decode(errors="replace")
                    return Refused(status=response.status, reason=reason)
                if response.status not in SUCCESS_STATUSES:
                    return NoAnswer(reason=f"status {response.status:03}")
                return json.loads(answer)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            return NoAnswer(reason=http_answers.describe_error(error))
