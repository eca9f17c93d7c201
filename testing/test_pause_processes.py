"""Real processes, and an endpoint that asks the entries for a pause."""

import asyncio
import collections
import itertools

import aiohttp
import platform_fixtures
import process_fixtures
import pytest
import relay_fixtures

ENTRY_COUNT = 6
REQUESTS, INTERVAL_S = 720, 1 / 60
PAUSE_S = 3.0
GRACE_S = 0.5
"""Time after an endpoint's answer from which its pause has to be kept."""
MAX_REQUESTS_IN_PAUSE = 2
MIN_SERVED_FRACTION = 0.97


class PausingEndpoint(relay_fixtures.ScriptedEndpoint):
    """Records arrivals; once told so, turns all requests away for a while."""

    def __init__(self, *, name):
        super().__init__(name=name)
        self.steps = self
        self.pausing = False
        self.extra_header = ""
        self.arrivals = collections.defaultdict(list)

    def pop(self, _):
        """Returns the next step of the script, which never ends."""
        return self._answer

    async def _answer(self, head, writer):
        now = asyncio.get_running_loop().time()
        request_id = _header(head, "x-attempt-id")
        entry_ip = request_id.partition("/")[0]
        self.arrivals[entry_ip].append((now, self.pausing))
        if self.pausing:
            status = "503 Busy"
            extra = f"Retry-After: {PAUSE_S}\r\n{self.extra_header}"
        else:
            status, extra = "200 OK", ""
        step = relay_fixtures.send_answer(
            status=status, echo=request_id, extra=extra
        )
        await step(head, writer)

    def most_in_pause(self):
        """Returns the most requests that one entry sent inside one pause."""
        return max(
            (
                sum(told_at + GRACE_S < at < told_at + PAUSE_S for at, _ in row)
                for row in self.arrivals.values()
                for told_at, pausing in row
                if pausing
            ),
            default=0,
        )


def _header(head, name):
    for line in head.split("\r\n"):
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return ""


async def send_requests(cluster):
    """Sends requests to the entries in turn; returns their statuses."""

    async def send(number, ip):
        headers = {
            **platform_fixtures.CALLER_HEADERS,
            "Host": platform_fixtures.HOST,
            "X-Attempt-Id": f"{ip}/{number}",
        }
        url = f"http://{ip}:{cluster.callers_port}/a/x"
        status, _ = await cluster.http_request("GET", url, headers=headers)
        return status

    tasks = []
    entry_ips = itertools.cycle(cluster.entry_ips)
    for number in range(REQUESTS):
        tasks.append(asyncio.ensure_future(send(number, next(entry_ips))))
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*tasks)


async def start(cluster):
    """Starts the processes and two endpoints, known to all entries."""
    endpoints = [PausingEndpoint(name=f"i-{number}") for number in (1, 2)]
    for ip in cluster.control_ips:
        cluster.start_control(ip)
    for ip in cluster.entry_ips:
        cluster.start_entry(ip)
    for endpoint in endpoints:
        await cluster.start_heartbeats(endpoint)
    status, _ = await cluster.call_control(
        "POST",
        "/v1/Configuration.Replace",
        platform_fixtures.make_config(2, "/a/"),
    )
    assert status == 200

    async def all_endpoints_are_used():
        await asyncio.gather(
            *(cluster.send_request(ip) for ip in cluster.entry_ips * 2)
        )
        return all(endpoint.request_heads for endpoint in endpoints)

    for ip in cluster.entry_ips:
        await cluster.wait_for_status(ip, 200)
    await process_fixtures.wait_until(all_endpoints_are_used)
    for endpoint in endpoints:
        endpoint.arrivals.clear()
    return endpoints


@pytest.fixture
async def cluster(tmp_path):
    cluster = platform_fixtures.PlatformCluster(tmp_path)
    network = cluster.entry_ips[0].rpartition(".")[0]
    cluster.entry_ips = [f"{network}.{i + 1}" for i in range(ENTRY_COUNT)]
    cluster.session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    )
    yield cluster
    for task in cluster.heartbeat_tasks:
        task.cancel()
    await cluster.session.close()
    cluster.process_group.stop_all()


class TestOneOfTwoEndpointsPauses:
    @pytest.mark.parametrize(
        ("control_runs", "extra_header"),
        [(True, "X-Not-Executed: 1\r\n"), (False, "")],
        ids=["not executed", "may have run, control is dead"],
    )
    async def test_it_gets_no_requests_and_callers_are_served_by_the_other(
        self, cluster, control_runs, extra_header
    ):
        pausing, _ = await start(cluster)
        pausing.extra_header = extra_header
        if not control_runs:
            for ip in cluster.control_ips:
                cluster.kill(ip)
        pausing.pausing = True
        statuses = await send_requests(cluster)
        served = sum(status == 200 for status in statuses) / len(statuses)
        print("in pause", pausing.most_in_pause(), "served", served)
        assert pausing.most_in_pause() <= MAX_REQUESTS_IN_PAUSE
        assert served >= MIN_SERVED_FRACTION
