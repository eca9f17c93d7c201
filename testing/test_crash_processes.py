"""A request that crashes runners, resent to real processes by its callers."""

import asyncio
import json

import aiohttp
import process_fixtures

from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

RUNNERS = 4
MOST_DEATHS = 2
"""Runners that one such request may cost, as the design promises."""
INNOCENTS, INNOCENT_PAUSE_S = 200, 0.025
RESENDS, RESEND_PAUSE_S = 50, 0.05
QUARANTINED = 422


async def complete(session, address, prompt):
    """Sends one request; returns status and body."""
    body = {"model": "model", "prompt": prompt, "max_tokens": 8}
    headers = {**process_fixtures.HEADERS, "X-Deadline-Ms": "10000"}
    async with session.post(
        f"http://{address}/v1/completions", json=body, headers=headers
    ) as response:
        return response.status, (await response.read()).decode()


async def send_series(session, entries, prompts, pause_s):
    """Sends prompts to the entries in turn; returns (prompt, answer)."""
    tasks = []
    for i, prompt in enumerate(prompts):
        address = entries[i % len(entries)]
        tasks.append(asyncio.ensure_future(complete(session, address, prompt)))
        await asyncio.sleep(pause_s)
    answers = await asyncio.gather(*tasks)
    return list(zip(prompts, answers, strict=True))


async def make_deadly(session, world):
    """Makes all runners die of one prompt."""
    for i in range(RUNNERS):
        async with session.post(
            f"http://{world.others[i]}/standin/faults",
            data=json.dumps({"die_on": "poison"}),
        ) as response:
            assert response.status < 300


def knows_all(address):
    """Returns a check that the entry at a link address has all runners."""

    async def check():
        asked = link.Link(address=address)
        reply = await asked.call(ttypes.Dump(), timeout_s=1.0)
        await asked.stop()
        if not isinstance(reply, ttypes.DumpReply):
            return False
        found = json.loads(reply.state)["upstreams"].values()
        usable = [row for row in found if row["health"] == "usable"]
        return len(usable) == RUNNERS

    return check


class TestCrashingRequests:
    async def test_one_resent_everywhere_costs_two_runners_at_most(self, world):
        """Each resend meets a runner before the first death is known."""
        await world.begin()
        for i in range(RUNNERS):
            world.start_upstream(i, "runner", "model", token_s=0.01)
        await process_fixtures.wait_until(world.in_force)
        for address in world.links[:2]:
            await process_fixtures.wait_until(knows_all(address))
        entries = world.entries[:2]
        async with aiohttp.ClientSession() as session:
            await make_deadly(session, world)
            innocents = [f"ref:i{i}" for i in range(INNOCENTS)]
            served, crashing = await asyncio.gather(
                send_series(session, entries, innocents, INNOCENT_PAUSE_S),
                send_series(
                    session,
                    entries,
                    ["ref:poison"] * RESENDS,
                    RESEND_PAUSE_S,
                ),
            )
        dead = [
            i
            for i in range(RUNNERS)
            if world.group.running[f"u{i}"].poll() is not None
        ]
        refused = [(p, a) for p, a in served if a[0] != 200]
        assert refused == []
        assert len(dead) <= MOST_DEATHS
        assert {status for _, (status, _) in crashing} == {QUARANTINED}
