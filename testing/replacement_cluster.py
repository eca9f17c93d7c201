"""Cluster of processes that are replaced in turn by those of another build.

Callers keep their connections and send requests all the time, while an operator
changes the configuration.
"""

import asyncio
import collections
import json
import shutil
import signal
from typing import NamedTuple

import aiohttp
import platform_fixtures
from soak import checks
from soak import endpoints
from soak import faults

CONFIG_PROPAGATION_S = 2.0
"""Time after its acknowledgement in which a configuration is in force."""
ENTRY_START_S = 2.0
"""Time after the start of an entry in which nothing is stopped."""
LOSS_SLACK_S = 0.2
"""Time in which a request that was not passed on may end without an answer."""
STOP_TIMEOUT_S = 15
ACK_TIMEOUT_S = 20.0
RESPONSE_TIMEOUT_S = 8.0
CALLERS_PER_ENTRY = 4
REQUEST_INTERVAL_S = 0.03
CHANGE_INTERVAL_S = 0.6
ENDPOINT_COUNT = 3
DEADLINE_MS = 3000
GRACE_S = 4
PATHS = ("/a/", "/o/", "/s/")
REQUESTS = (("GET", "/a/x"), ("POST", "/o/x"), ("POST", "/s/x"))
STREAM_PATH = "/s/x"
ONCE_PATH = "/o/x"


class Attempt(NamedTuple):
    """One attempt of a caller.

    Attributes:
        build: Name of the build of the entry.
        status: Status of the answer, 0 if there is no head.
        failure: Why there is no complete answer, empty if there is one.
        was_refused: Whether no connection could be opened.
    """

    id: str
    target: str
    entry_ip: str
    build: str
    sent_at: float
    ended_at: float
    status: int
    body: bytes
    failure: str
    was_refused: bool


class ReplacementCluster(platform_fixtures.PlatformCluster):
    """A cluster under requests and changes.

    Attributes:
        arrivals: Arrivals of requests at endpoints.
        endpoints: The endpoints.
        attempts: Attempts of callers that have ended.
        version: Newest version of the configuration.
        acked_version: Newest version that was acknowledged.
        problems: What was seen to be wrong while the cluster ran.
        replacing: IP addresses of the processes that are being replaced.
        started_at: When a process was replaced, by IP address.
        tasks: Callers and operator.
    """

    def __init__(self, folder):
        super().__init__(folder)
        self.bounds = {**platform_fixtures.BOUND_SETTINGS, "grace_s": GRACE_S}
        self.arrivals = []
        self.endpoints = endpoints.make_endpoints(
            self, ENDPOINT_COUNT, self.arrivals, []
        )
        self.attempts = []
        self.version = 1
        self.acked_version = 0
        self.problems = []
        self.replacing = set()
        self.started_at = {}
        self.tasks = []

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    def build_of(self, ip):
        """Returns the name of the build that a process runs."""
        return self.roots.get(ip, platform_fixtures.ROOT).name

    async def start(self, *, control_root, entry_root):
        """Starts all processes and endpoints, callers and the operator."""
        self.session = aiohttp.ClientSession()
        self.roots |= dict.fromkeys(self.control_ips, control_root)
        self.roots |= dict.fromkeys(self.entry_ips, entry_root)
        for ip in self.control_ips:
            self.start_control(ip)
        for ip in self.entry_ips:
            self.start_entry(ip)
        for endpoint in self.endpoints:
            await endpoint.start()
        await self._change_config()
        for ip in self.entry_ips:
            await self.wait_for_status(ip, 200)
        works = [self._keep_changing()]
        works += [
            self._keep_sending(f"{ip}/{number}", ip)
            for ip in self.entry_ips
            for number in range(CALLERS_PER_ENTRY)
        ]
        self.tasks += [asyncio.ensure_future(work) for work in works]

    async def replace(self, ip, root, *, empty_disk=False):
        """Stops a process as planned and starts one of another build."""
        self.replacing.add(ip)
        process = self.processes.pop(ip)
        process.send_signal(signal.SIGTERM)
        status = await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
        if status:
            self.problems.append(f"{ip} {self.build_of(ip)}: exit {status}")
        self.roots[ip] = root
        if ip in self.entry_ips:
            self.start_entry(ip)
        else:
            if empty_disk:
                shutil.rmtree(self.folder / ip)
            self.start_control(ip)
        self.started_at[ip] = self.now
        self.replacing.discard(ip)
        is_control = ip in self.control_ips
        await asyncio.sleep(faults.CATCH_UP_S if is_control else ENTRY_START_S)

    async def finish(self):
        """Ends the load; returns what was wrong, one line each."""
        await self._end_tasks()
        status, data = await self.call_control("GET", "/v1/Configuration.Read")
        version = json.loads(data)["version"] if status == 200 else 0
        if version < self.acked_version:
            self.problems.append(
                f"version {self.acked_version} was acknowledged, {version} read"
            )
        self.problems += [
            f"{ip} {self.build_of(ip)} has ended"
            for ip in [*self.control_ips, *self.entry_ips]
            if self.processes[ip].poll() is not None
        ]
        self.problems += self._find_lost()
        self.problems += self._find_wrong()
        return self.problems

    async def stop(self):
        """Ends everything that runs."""
        await self._end_tasks()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.session.close()
        self.process_group.stop_all()

    def events(self, ip, number):
        """Returns the events with a number that a process has logged."""
        log = (self.folder / f"{ip}.log").read_text()
        found = [json.loads(line) for line in log.splitlines() if line]
        return [event for event in found if event.get("event") == number]

    async def _end_tasks(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()

    async def _change_config(self):
        """Publishes the next version until it is acknowledged."""
        self.version += 1
        config = self._make_config()
        deadline = self.now + ACK_TIMEOUT_S
        while self.now < deadline:
            for ip in self.control_ips:
                url = f"http://{ip}:{self.operators_port}"
                status, data = await self.http_request(
                    "POST", f"{url}/v1/Configuration.Replace", json=config
                )
                if status == 200:
                    self.acked_version = config["version"]
                    return
                if status not in (0, 503):
                    self.problems.append(f"change refused: {status} {data!r}")
                    return
            await asyncio.sleep(0.1)
        self.problems.append(f"version {self.version} not acknowledged")

    def _make_config(self):
        """Returns a configuration with a path for each version so far."""
        versions = range(2, self.version + 1)
        config = platform_fixtures.make_config(
            self.version, *PATHS, *(f"/v{version}/" for version in versions)
        )
        config["routes"][1] |= {
            "route_kind": "non_idempotent",
            "max_attempts": 1,
        }
        config["routes"][2] |= {
            "route_kind": "streaming",
            "stream_resumption": True,
        }
        return config

    async def _keep_changing(self):
        async with asyncio.TaskGroup() as group:
            while True:
                await self._change_config()
                group.create_task(self._check_in_force(self.version))
                await asyncio.sleep(CHANGE_INTERVAL_S)

    async def _check_in_force(self, version):
        await asyncio.sleep(CONFIG_PROPAGATION_S)
        for ip in self.entry_ips:
            runs_since = self.now - self.started_at.get(ip, float("-inf"))
            if ip in self.replacing or runs_since < 2 * CONFIG_PROPAGATION_S:
                continue
            status, _ = await self.send_request(ip, f"/v{version}/x")
            if status == 404:
                self.problems.append(
                    f"{ip} {self.build_of(ip)}: version {version} not in force"
                )

    async def _keep_sending(self, name, ip):
        number = 0
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1),
            timeout=aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S),
        ) as session:
            while True:
                number += 1
                method, target = REQUESTS[number % len(REQUESTS)]
                await self._attempt(
                    session, f"{name}/{number}", ip, method, target
                )
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _attempt(self, session, request_id, ip, method, target):
        headers = {
            **platform_fixtures.CALLER_HEADERS,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Host": platform_fixtures.HOST,
            "X-Attempt-Id": request_id,
        }
        sent_at, build = self.now, self.build_of(ip)
        status, body, failure, was_refused = 0, b"", "", False
        try:
            async with session.request(
                method,
                f"http://{ip}:{self.callers_port}{target}",
                data=b"claim" if method == "POST" else None,
                headers=headers,
            ) as response:
                status = response.status
                async for chunk in response.content.iter_any():
                    body += chunk
        except aiohttp.ClientConnectorError as error:
            failure, was_refused = repr(error), True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            failure = repr(error)
        self.attempts.append(
            Attempt(
                request_id,
                target,
                ip,
                build,
                sent_at,
                self.now,
                status,
                body,
                failure,
                was_refused,
            )
        )

    def _find_lost(self):
        """Returns the requests that were read and got no complete answer."""
        arrived = {arrival.request_id for arrival in self.arrivals}
        return [
            f"lost: {attempt}"
            for attempt in self.attempts
            if attempt.failure
            and not attempt.was_refused
            and (
                attempt.id in arrived
                or attempt.ended_at - attempt.sent_at > LOSS_SLACK_S
            )
        ]

    def _find_wrong(self):
        """Returns the answers that no request here may get."""
        arrivals = collections.Counter(a.request_id for a in self.arrivals)
        refusals = checks.NOT_EXECUTED_STATUSES
        return [
            f"wrong: {attempt}"
            for attempt in self.attempts
            if attempt.status not in (0, 200, *refusals)
            or (
                attempt.target == STREAM_PATH
                and attempt.status == 200
                and not attempt.failure
                and attempt.body != endpoints.expected_stream(attempt.id)
            )
            or (
                attempt.target == ONCE_PATH
                and arrivals[attempt.id] > (attempt.status not in refusals)
            )
        ]
