"""Real processes and a crashing request that its callers resend."""

import asyncio
import json

import aiohttp
import process_fixtures

from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

RUNNER_COUNT = 4
MAX_DEAD_RUNNERS = 2
"""Runners that one crashing request may kill by design."""
HARMLESS_REQUESTS, HARMLESS_INTERVAL_S = 200, 0.025
POISON_REQUESTS, POISON_INTERVAL_S = 50, 0.05
QUARANTINED_STATUS = 422


async def send_completion(session, address, prompt):
    """Sends one completion request; returns status and body."""
    body = {"model": "model", "prompt": prompt, "max_tokens": 8}
    headers = {**process_fixtures.CALLER_HEADERS, "X-Deadline-Ms": "10000"}
    async with session.post(
        f"http://{address}/v1/completions", json=body, headers=headers
    ) as response:
        return response.status, (await response.read()).decode()


async def send_prompts(session, entry_addresses, prompts, interval_s):
    """Sends prompts to the entries in turn; returns (prompt, response)."""
    tasks = []
    for i, prompt in enumerate(prompts):
        address = entry_addresses[i % len(entry_addresses)]
        tasks.append(
            asyncio.ensure_future(send_completion(session, address, prompt))
        )
        await asyncio.sleep(interval_s)
    responses = await asyncio.gather(*tasks)
    return list(zip(prompts, responses, strict=True))


async def make_poison_fatal(session, cluster):
    """Makes one prompt crash every runner that executes it."""
    for i in range(RUNNER_COUNT):
        async with session.post(
            f"http://{cluster.upstream_addresses[i]}/standin/faults",
            data=json.dumps({"die_on": "poison"}),
        ) as response:
            assert response.status < 300


def knows_all_runners(address):
    """Returns a predicate: the entry at ``address`` can use all runners."""

    async def has_all_runners():
        entry_link = link.Link(address=address)
        reply = await entry_link.call(ttypes.Dump(), timeout_s=1.0)
        await entry_link.stop()
        if not isinstance(reply, ttypes.DumpReply):
            return False
        rows = json.loads(reply.state)["upstreams"].values()
        usable_rows = [row for row in rows if row["health"] == "usable"]
        return len(usable_rows) == RUNNER_COUNT

    return has_all_runners


class TestCrashingRequests:
    async def test_one_resent_everywhere_costs_two_runners_at_most(
        self, cluster
    ):
        """Each resend reaches a runner before the first crash is known."""
        await cluster.start_all()
        for i in range(RUNNER_COUNT):
            cluster.start_upstream(i, "runner", "model", token_s=0.01)
        await process_fixtures.wait_until(cluster.routes_in_force)
        for address in cluster.link_addresses[:2]:
            await process_fixtures.wait_until(knows_all_runners(address))
        entry_addresses = cluster.entry_addresses[:2]
        async with aiohttp.ClientSession() as session:
            await make_poison_fatal(session, cluster)
            harmless_prompts = [f"ref:i{i}" for i in range(HARMLESS_REQUESTS)]
            harmless_responses, poison_responses = await asyncio.gather(
                send_prompts(
                    session,
                    entry_addresses,
                    harmless_prompts,
                    HARMLESS_INTERVAL_S,
                ),
                send_prompts(
                    session,
                    entry_addresses,
                    ["ref:poison"] * POISON_REQUESTS,
                    POISON_INTERVAL_S,
                ),
            )
        dead_runners = [
            i
            for i in range(RUNNER_COUNT)
            if cluster.process_group.processes[f"u{i}"].poll() is not None
        ]
        failed_responses = [
            (prompt, response)
            for prompt, response in harmless_responses
            if response[0] != 200
        ]
        assert failed_responses == []
        assert len(dead_runners) <= MAX_DEAD_RUNNERS
        assert {status for _, (status, _) in poison_responses} == {
            QUARANTINED_STATUS
        }
