"""``arbutuswalk-load``: sends a workload and checks every answer."""

import asyncio
import collections
import json
import pathlib
import random
import sys
import time
from typing import Any

import aiohttp

from _arbutuswalk.base import process
from _arbutuswalk.base import settings
from _arbutuswalk.load import callers
from _arbutuswalk.load import workload

EXIT_BROKEN_ANSWERS = 1

FIELDS = (
    settings.Field("entries", "a list of IP:port", settings.is_address_list),
    settings.Field(
        "workload", "path of a workload", settings.is_non_empty_string
    ),
    settings.Field(
        "tokens",
        "a table of bearer tokens by workspace",
        lambda v: isinstance(v, dict),
    ),
    settings.Field("speed", "a number", settings.is_positive, 1.0),
    settings.Field("seed", "a whole number", settings.is_non_negative_int, 1),
    settings.Field(
        "report", "path of a JSON file", lambda v: isinstance(v, str), ""
    ),
)


async def run(
    values: dict[str, Any], items: list[workload.Item]
) -> list[callers.Result]:
    """Sends every item at its time and returns all results.

    An item with ``resend_after_ms`` is sent twice and has two results.
    """
    rng = random.Random(values["seed"])
    directory = callers.EntryDirectory(seeds=values["entries"], rng=rng)
    timeout = aiohttp.ClientTimeout(
        total=None,
        sock_connect=callers.CONNECT_TIMEOUT_S,
        sock_read=callers.READ_TIMEOUT_S,
    )
    async with aiohttp.ClientSession(
        timeout=timeout, connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        caller = callers.Caller(
            session=session, directory=directory, tokens=values["tokens"]
        )
        started = time.monotonic()
        tasks = []
        for item in items:
            send_at = started + item.at_ms / 1000 / values["speed"]
            await asyncio.sleep(max(0.0, send_at - time.monotonic()))
            tasks.append(asyncio.ensure_future(caller.run(item)))
            if item.resend_after_ms:
                delay_s = item.resend_after_ms / 1000
                tasks.append(
                    asyncio.ensure_future(_resend_after(caller, item, delay_s))
                )
        return list(await asyncio.gather(*tasks))


async def _resend_after(
    caller: callers.Caller, item: workload.Item, delay_s: float
) -> callers.Result:
    """Sends an item again, as a caller does that lost the answer."""
    await asyncio.sleep(delay_s)
    return await caller.run(item)


def summarize(results: list[callers.Result]) -> dict[str, Any]:
    """Returns outcome counts and latency quantiles of a run."""
    outcomes = collections.Counter(result.outcome for result in results)
    first_token_times_s = [
        item_result.first_token_s
        for item_result in results
        if item_result.first_token_s
    ]
    token_gaps_s = [
        gap_s for result in results for gap_s in result.token_gaps_s
    ]
    return {
        "sent": len(results),
        "whole": outcomes["whole"],
        "refused": outcomes["refused"],
        "unknown": outcomes["unknown"],
        "broken": outcomes["broken"],
        "resumed": sum(result.resumptions for result in results),
        "first_token_p95_s": quantile(first_token_times_s, 0.95),
        "between_tokens_p95_s": quantile(token_gaps_s, 0.95),
        "problems": sorted(
            {
                f"{item_result.item.ref}: {item_result.detail}"
                for item_result in results
                if item_result.detail
            }
        )[:50],
    }


def quantile(values: list[float], fraction: float) -> float:
    """Returns a quantile of ``values``, zero if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def main() -> None:
    """Runs the command ``arbutuswalk-load``."""
    values = process.load_settings("arbutuswalk-load", FIELDS, sys.argv[1:])
    items = workload.load(values["workload"])
    if isinstance(items, workload.BadWorkload):
        for problem in items.problems:
            print(problem, file=sys.stderr)
        sys.exit(settings.EXIT_BAD_SETTINGS)
    summary = summarize(asyncio.run(run(values, items)))
    text = json.dumps(summary, indent=2)
    print(text)
    if values["report"]:
        pathlib.Path(values["report"]).write_text(text, encoding="utf-8")
    sys.exit(EXIT_BROKEN_ANSWERS if summary["broken"] else process.EXIT_OK)
