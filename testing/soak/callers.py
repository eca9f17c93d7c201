"""Callers of the soak: kept connections, every kind of route, all noted."""

import asyncio
from typing import NamedTuple

import aiohttp
import platform_world

from soak import runners

DEADLINE_S = 2.0
PATIENCE_S = 6.0
PAUSE_S = 0.03
KINDS = {
    "idempotent": ("GET", "/a/x", b""),
    "once": ("POST", "/o/x", b"claim"),
    "stream": ("POST", "/s/x", b"prompt"),
}


class Tried(NamedTuple):
    """One attempt of a caller and what became of it.

    Attributes:
        request_id: Its id.
        kind: Key of ``KINDS``.
        asked: What it asked for, as ``runners.asked_for`` says it.
        entry: IP of the entry.
        status: Status, 0 if no head of an answer came.
        body: What came of the body.
        complete: Whether the answer ended as complete.
        sent_at: When it was sent, in seconds.
    """

    request_id: str
    kind: str
    asked: str
    entry: str
    status: int
    body: bytes
    complete: bool
    sent_at: float


async def run(world, name, rng, tried):
    """Sends requests one after the other until cancelled."""
    number = 0
    timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            number += 1
            kind = rng.choice(list(KINDS))
            entry = rng.choice(world.entries)
            tried.append(
                await _try(world, session, f"{name}-{number}", kind, entry)
            )
            await asyncio.sleep(PAUSE_S * rng.random())


async def _try(world, session, request_id, kind, entry):
    method, path, body = KINDS[kind]
    target = f"{path}?n={request_id}"
    headers = {
        "Host": platform_world.HOST,
        "X-Key": "key",
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    status, data, complete = 0, b"", False
    sent_at = asyncio.get_running_loop().time()
    try:
        async with session.request(
            method,
            f"http://{entry}:{world.callers}{target}",
            data=body or None,
            headers=headers,
        ) as response:
            status = response.status
            async for chunk in response.content.iter_any():
                data += chunk
            complete = True
    except (aiohttp.ClientError, TimeoutError, OSError):
        pass
    return Tried(
        request_id,
        kind,
        runners.asked_for(method, target, body),
        entry,
        status,
        data,
        complete,
        sent_at,
    )
