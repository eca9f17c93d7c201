"""Real processes and a crashing request that its callers resend."""

import asyncio
import json
from typing import NamedTuple

import aiohttp
import control_probe
import process_fixtures
import pytest

from _arbutuswalk.base import clock
from _arbutuswalk.wire import link
from _arbutuswalk.wire.gen.arbutus import ttypes

RUNNER_COUNT = 4
MAX_DEAD_RUNNERS = 2
"""Runners that one crashing request may kill by design."""
HARMLESS_REQUESTS, HARMLESS_INTERVAL_S = 200, 0.025
POISON_REQUESTS, POISON_INTERVAL_S = 50, 0.05
QUARANTINED_STATUS = 422
MAX_RESENDS = 5
CUT_OFF_STATUS, CUT_OFF_TITLE = 503, "entry cut off"


class Response(NamedTuple):
    """Status and body of a response, and when the request was sent and ended.

    Attributes:
        prompt: Prompt of the request.
    """

    prompt: str
    status: int
    body: str
    sent_at: float
    ended_at: float

    @property
    def is_cut_off(self):
        """Whether an entry without a lease refused the request, not run."""
        if self.status != CUT_OFF_STATUS:
            return False
        problem = json.loads(self.body)
        return problem["title"] == CUT_OFF_TITLE and problem["ran"] == "no"


async def send_completion(session, address, prompt):
    """Sends one completion request; returns the response."""
    sent_at = clock.monotonic()
    body = {"model": "model", "prompt": prompt, "max_tokens": 8}
    headers = {**process_fixtures.CALLER_HEADERS, "X-Deadline-Ms": "10000"}
    async with session.post(
        f"http://{address}/v1/completions", json=body, headers=headers
    ) as response:
        text = (await response.read()).decode()
    return Response(prompt, response.status, text, sent_at, clock.monotonic())


async def send_prompts(session, entry_addresses, prompts, interval_s):
    """Sends prompts to the entries in turn; returns the responses."""
    tasks = []
    for i, prompt in enumerate(prompts):
        address = entry_addresses[i % len(entry_addresses)]
        tasks.append(
            asyncio.ensure_future(send_completion(session, address, prompt))
        )
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*tasks)


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


def is_excused(response, probe):
    """Returns whether an entry had to refuse a request for want of a lease.

    Without a leader of control an entry refuses requests once its lease has
    expired, and until it has renewed it.
    """
    return response.is_cut_off and not all(
        control_probe.must_hold_lease(probe.reads, at)
        for at in (response.sent_at, response.ended_at)
    )


async def resend_refused(session, entry_addresses, responses, probe):
    """Resends what was refused, while all entries must hold leases.

    Returns:
        The last responses to the prompts that were refused.
    """
    for _ in range(MAX_RESENDS):
        prompts = [
            response.prompt for response in responses if response.status != 200
        ]
        if not prompts:
            break
        await process_fixtures.wait_until(probe.shows_leases)
        responses = await send_prompts(
            session, entry_addresses, prompts, HARMLESS_INTERVAL_S
        )
    return responses


class TestCrashingRequests:
    @pytest.fixture
    async def probe(self, cluster):
        new_probe = control_probe.ControlProbe(
            addresses=cluster.control_addresses
        )
        yield new_probe
        await new_probe.stop()

    async def test_one_resent_everywhere_costs_two_runners_at_most(
        self, cluster, probe
    ):
        """Each resend reaches a runner before the first crash is known."""
        await cluster.start_all()
        for i in range(RUNNER_COUNT):
            cluster.start_upstream(i, "runner", "model", token_s=0.01)
        await process_fixtures.wait_until(cluster.routes_in_force)
        for address in cluster.link_addresses[:2]:
            await process_fixtures.wait_until(knows_all_runners(address))
        probe.start()
        await process_fixtures.wait_until(probe.shows_leases)
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
            last_responses = await resend_refused(
                session, entry_addresses, harmless_responses, probe
            )
        dead_runners = [
            i
            for i in range(RUNNER_COUNT)
            if cluster.process_group.processes[f"u{i}"].poll() is not None
        ]
        assert [
            response
            for response in [*harmless_responses, *last_responses]
            if response.status != 200 and not is_excused(response, probe)
        ] == []
        assert {response.status for response in last_responses} == {200}
        assert len(dead_runners) <= MAX_DEAD_RUNNERS
        assert {
            response.status
            for response in poison_responses
            if not is_excused(response, probe)
        } == {QUARANTINED_STATUS}
