"""Upstreams of the chat front whose answers have no end."""

import asyncio
import contextlib
import pathlib

import aiohttp
import endless_endpoint
import entry_fixtures
import process_fixtures
import pytest

from _arbutuswalk.standin import announcer

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
REQUEST_COUNT = 4
ANSWER_TIMEOUT_S = 15.0
MAX_PEAK_KB = 192 * 1024
EVENTS = {
    "events": b'data: {"choices": [{"text": "a"}]}\n\n',
    "large events": b"data: " + 60_000 * b"a" + b"\n\n",
    "empty events": b"\n\n",
}


@pytest.fixture
async def cluster(tmp_path):
    group = process_fixtures.ProcessGroup(tmp_path)
    new_cluster = process_fixtures.Cluster(group)
    try:
        await new_cluster.start_all(entry_count=1)
        yield new_cluster
    finally:
        await new_cluster.client.stop()
        group.stop_all()


@contextlib.asynccontextmanager
async def endless_upstream(cluster, event):
    endpoint = endless_endpoint.EndlessEndpoint(HEAD, event).listen()
    fields = entry_fixtures.make_announcement(
        "endless", "model", address=endpoint.address, echo=False, slots=8
    )
    announcing = asyncio.ensure_future(
        announcer.Announcer(
            entries=cluster.entry_addresses[:1],
            fixed_fields=fields,
            get_changing_fields=dict,
        ).run()
    )
    try:
        yield endpoint
    finally:
        announcing.cancel()
        endpoint.stop()


async def ask(cluster, stream):
    """Returns the status of a completion, None without an end in time."""
    body = {"model": "model", "prompt": "a", "stream": stream}
    url = f"http://{cluster.entry_addresses[0]}/v1/completions"
    headers = {**process_fixtures.CALLER_HEADERS, "X-Deadline-Ms": "5000"}
    try:
        async with (
            asyncio.timeout(ANSWER_TIMEOUT_S),
            aiohttp.ClientSession() as session,
            session.post(url, json=body, headers=headers) as response,
        ):
            while await response.content.readany():
                pass
            return response.status
    except (TimeoutError, aiohttp.ClientError, OSError):
        return None


def peak_kb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = (s for s in status.splitlines() if s.startswith("VmHWM"))
    return int(line.split()[1])


@pytest.mark.parametrize(
    ("kind", "stream"),
    [*((kind, False) for kind in EVENTS), ("large events", True)],
)
async def test_the_memory_for_an_answer_is_limited(cluster, kind, stream):
    process = cluster.process_group.processes["entry-0"]
    async with endless_upstream(cluster, EVENTS[kind]) as endpoint:

        async def is_used():
            await ask(cluster, stream)
            return endpoint.connection_count

        await process_fixtures.wait_until(is_used)
        await asyncio.gather(
            *(ask(cluster, stream) for _ in range(REQUEST_COUNT))
        )
        print(f"peak {peak_kb(process)} kB")
        assert process.poll() is None
        assert peak_kb(process) < MAX_PEAK_KB
    cluster.start_upstream(0, "runner", "model")

    async def is_answered():
        return await ask(cluster, False) == 200

    await process_fixtures.wait_until(is_answered)
    assert process.poll() is None
