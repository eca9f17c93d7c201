"""Callers of the soak.

They reuse connections, use every kind of route and record all attempts.
"""

import asyncio
from typing import NamedTuple

import aiohttp
import platform_fixtures

from soak import endpoints

DEADLINE_S = 2.0
RESPONSE_TIMEOUT_S = 6.0
MAX_PAUSE_S = 0.03
REQUEST_BY_KIND = {
    "idempotent": ("GET", "/a/x", b""),
    "once": ("POST", "/o/x", b"claim"),
    "stream": ("POST", "/s/x", b"prompt"),
}


class Attempt(NamedTuple):
    """One attempt of a caller and its outcome.

    Attributes:
        request_id: Id of the attempt.
        kind: Key of ``REQUEST_BY_KIND``.
        signature: ``endpoints.request_signature`` of the request.
        entry_ip: IP address of the entry.
        status: Response status, 0 if no response head was received.
        body: Received part of the response body.
        complete: Whether the response ended normally.
        sent_at: Event loop time of sending, in seconds.
        limited_by: Id of the endpoint if its response stated a limit.
        answered_at: Event loop time of the response head, in seconds.
        leaving: Id of the endpoint if its response stated that it leaves.
    """

    request_id: str
    kind: str
    signature: str
    entry_ip: str
    status: int
    body: bytes
    complete: bool
    sent_at: float
    limited_by: str = ""
    answered_at: float = 0.0
    leaving: str = ""


async def run(cluster, name, rng, attempts):
    """Sends requests sequentially until cancelled."""
    number = 0
    timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            number += 1
            kind = rng.choice(list(REQUEST_BY_KIND))
            entry_ip = rng.choice(cluster.entry_ips)
            attempts.append(
                await _send_request(
                    cluster, session, f"{name}-{number}", kind, entry_ip
                )
            )
            await asyncio.sleep(MAX_PAUSE_S * rng.random())


async def _send_request(cluster, session, request_id, kind, entry_ip):
    method, path, body = REQUEST_BY_KIND[kind]
    target = f"{path}?n={request_id}"
    headers = {
        "Host": platform_fixtures.HOST,
        "X-Key": "key",
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    status, received, complete = 0, b"", False
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    limited_by, answered_at, leaving = "", 0.0, ""
    try:
        async with session.request(
            method,
            f"http://{entry_ip}:{cluster.callers_port}{target}",
            data=body or None,
            headers=headers,
        ) as response:
            status, answered_at = response.status, loop.time()
            if "Server-Limit" in response.headers:
                limited_by = response.headers["X-Server-Signature"]
            if "Server-Leaving" in response.headers:
                leaving = response.headers["X-Server-Signature"]
            async for chunk in response.content.iter_any():
                received += chunk
            complete = True
    except (aiohttp.ClientError, TimeoutError, OSError):
        pass
    return Attempt(
        request_id,
        kind,
        endpoints.request_signature(method, target, body),
        entry_ip,
        status,
        received,
        complete,
        sent_at,
        limited_by,
        answered_at,
        leaving,
    )
