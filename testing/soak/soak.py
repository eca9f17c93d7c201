"""One soak: starts all parts, injects faults and checks the invariants."""

import asyncio
import contextlib
import json
import random

import aiohttp
import platform_fixtures
import process_fixtures

from soak import builds
from soak import callers
from soak import checks
from soak import endpoints
from soak import faults

CALLER_COUNT = 5
ENDPOINT_COUNT = 4
CONCURRENT_FAULTS = 2
"""Tasks that inject faults at the same time."""
FIRST_SUCCESSOR = 10
"""Last octet before those of control processes that replace another."""
MAX_FAULT_PAUSE_S = 0.4
RECOVERY_ALLOWANCE_S = 3.0
"""Time after a fault in which a process need not be up to date."""
SHORTEST_LIMIT_S = 5.0
LONGEST_LIMIT_S = 9.0
LONGEST_TIME_BETWEEN_PAUSES_S = 3.0
LONGEST_PAUSING_S = 0.8
"""Longest time for which an endpoint turns all requests away."""
ALL_PAUSE_RATIO = 0.1
"""Fraction of these times in which all endpoints do so together."""
LOWEST_LIMIT_PER_S = 1.0
HIGHEST_LIMIT_PER_S = 6.0
"""Below what the callers send an endpoint without a limit."""
SHORTEST_LEAVING_S = 2.5
LONGEST_LEAVING_S = 5.0
LEAVING_POLL_INTERVAL_S = 0.2
DRAIN_PROPAGATION_S = 2.0
"""Time after an acknowledged drain until no request may arrive any more."""
PATH_PREFIXES = ("/a/", "/o/", "/s/")


class Soak:
    """State of one soak.

    Attributes:
        cluster: The control and entry processes.
        endpoints: The endpoints.
        arrivals: Arrivals of requests at endpoints.
        turned_away: Requests that endpoints turned away with a pause.
        attempts: Attempts of callers.
        published_configs: Configuration by version.
        acked_version: Highest version that was acknowledged.
        no_traffic_windows: (endpoint, from, until) without any arrival.
        limited_periods: Times in which endpoints stated a limit.
        leaving_periods: Times in which endpoints stated that they leave.
        fault_periods: Times of the faults of processes.
        last_fault_at: End of the last fault of a process, by IP address.
        fault_log: Times and names of the injected faults, and the builds that
            starts picked.
    """

    def __init__(self, *, folder, seed, roots=()):
        """Starts nothing yet.

        Args:
            folder: Folder for settings, logs and data.
            seed: Seed of all choices.
            roots: Root folders of the builds that each start picks from; all
                processes run this build if there are none.
        """
        self.rng = random.Random(seed)
        self.cluster = platform_fixtures.PlatformCluster(folder)
        self.arrivals = []
        self.turned_away = []
        self.endpoints = endpoints.make_endpoints(
            self.cluster, ENDPOINT_COUNT, self.arrivals, self.turned_away
        )
        self.attempts = []
        self.published_configs = {}
        self.acked_version = 0
        self.last_version = 0
        self.no_traffic_windows = []
        self.limited_periods = []
        self.leaving_periods = []
        self.fault_periods = []
        self.last_fault_at = {}
        self.process_locks = {
            ip: asyncio.Lock()
            for ip in [*self.cluster.control_ips, *self.cluster.entry_ips]
        }
        self.disk_loss_lock = asyncio.Lock()
        self.successors = 0
        self.fault_log = []
        if roots:
            # Picks must not change the faults that a seed stands for.
            builds.pick_at_each_start(self, random.Random(-seed - 1), roots)

    @contextlib.asynccontextmanager
    async def exclusive_access(self, *ips, is_interruption=True):
        """Keeps other faults away from processes and records the end time."""
        async with contextlib.AsyncExitStack() as stack:
            for ip in sorted(ips):
                await stack.enter_async_context(self.process_locks[ip])
            started_at = asyncio.get_running_loop().time()
            try:
                yield
            finally:
                now = asyncio.get_running_loop().time()
                self.last_fault_at |= dict.fromkeys(ips, now)
                self.fault_periods += [
                    checks.FaultPeriod(ip, started_at, now, is_interruption)
                    for ip in ips
                ]

    def record_drain(self, endpoint):
        """Records the time without traffic, if no fault delayed the drain."""
        drain_acked_at = endpoint.drain_acked_at
        undisturbed = all(
            not lock.locked()
            and fault_at < (drain_acked_at or 0) - RECOVERY_ALLOWANCE_S
            for ip, lock in self.process_locks.items()
            for fault_at in [self.last_fault_at.get(ip, 0.0)]
        )
        if drain_acked_at is not None and undisturbed:
            stopped_at = asyncio.get_running_loop().time()
            self.no_traffic_windows.append(
                (
                    endpoint.name,
                    drain_acked_at + DRAIN_PROPAGATION_S,
                    stopped_at,
                )
            )

    async def publish_config(self, *, repeat=False):
        """Publishes the next version, or repeats the last one."""
        if not repeat:
            self.last_version += self.rng.randint(1, 3)
        version = self.last_version
        config = platform_fixtures.make_config(
            version, *PATH_PREFIXES, f"/v{version}/"
        )
        config["routes"][1]["route_kind"] = "non_idempotent"
        config["routes"][1]["max_attempts"] = 1
        config["routes"][2] |= {
            "route_kind": "streaming",
            "stream_resumption": True,
        }
        self.published_configs[version] = config
        ip = self.rng.choice(self.cluster.control_ips)
        url = f"http://{ip}:{self.cluster.operators_port}/v1/Configuration.Replace"
        status, _ = await self.cluster.http_request("POST", url, json=config)
        if status == 200:
            self.acked_version = max(self.acked_version, version)
        return status == 200

    def add_control(self, *, replaced_ip):
        """Starts an empty control process in the place of another one."""
        control_ips = self.cluster.control_ips
        self.successors += 1
        network = replaced_ip.rpartition(".")[0]
        ip = f"{network}.{FIRST_SUCCESSOR + self.successors}"
        self.cluster.start_control(ip)
        self.process_locks[ip] = asyncio.Lock()
        control_ips[control_ips.index(replaced_ip)] = ip

    async def wait_until_loss_is_allowed(self):
        """Waits until no earlier fault of control counts as a loss any more."""
        allowed_at = faults.CATCH_UP_S + max(
            self.last_fault_at.get(ip, 0.0) for ip in self.cluster.control_ips
        )
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, allowed_at - now))

    async def wait_for_full_group(self):
        """Waits until the control group has three voters that answer."""

        async def is_full():
            url = f"http://{{}}:{self.cluster.operators_port}/v1/Configuration.Read"
            statuses = [
                (await self.cluster.http_request("GET", url.format(ip)))[0]
                for ip in self.cluster.control_ips
            ]
            return (
                statuses == [200] * len(statuses)
                and await self._has_three_voters()
            )

        await process_fixtures.wait_until(is_full)

    async def _has_three_voters(self):
        control_addresses = ",".join(
            f"{ip}:{self.cluster.internal_port}"
            for ip in self.cluster.control_ips
        )
        process = await asyncio.create_subprocess_exec(
            process_fixtures.SCRIPT_FOLDER / "arbutuswalk",
            "status",
            "--control",
            control_addresses,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        output, _ = await process.communicate()
        identity_present = [
            (self.cluster.folder / ip / "identity").exists()
            for ip in self.cluster.control_ips
        ]
        return (
            all(identity_present)
            and output.decode().count(f":{self.cluster.internal_port}") > 2
        )

    async def run(self, seconds):
        """Runs the soak; returns the violated invariants, one line each."""
        self.cluster.session = aiohttp.ClientSession()
        try:
            await self._start()
            await self._run_load_and_faults(seconds)
            return await self._restore_and_check()
        except AssertionError as error:
            return [f"did not recover: {error}", *self.stopped_processes()]
        finally:
            await self._stop()

    async def _start(self):
        for ip in self.cluster.control_ips:
            self.cluster.start_control(ip)
        for ip in self.cluster.entry_ips:
            self.cluster.start_entry(ip)
        for endpoint in self.endpoints:
            await endpoint.start()

        async def published():
            return await self.publish_config()

        await process_fixtures.wait_until(published)
        for ip in self.cluster.entry_ips:
            await self.cluster.wait_for_status(ip, 200)

    async def _run_load_and_faults(self, seconds):
        caller_tasks = [
            asyncio.ensure_future(
                callers.run(
                    self.cluster,
                    f"c{number}",
                    random.Random(self.rng.random()),
                    self.attempts,
                )
            )
            for number in range(CALLER_COUNT)
        ]
        fault_tasks = [
            asyncio.ensure_future(
                self._inject_faults(random.Random(self.rng.random()), seconds)
            )
            for _ in range(CONCURRENT_FAULTS)
        ]
        fault_tasks.append(
            asyncio.ensure_future(
                self._limit_endpoints(random.Random(self.rng.random()), seconds)
            )
        )
        fault_tasks.append(
            asyncio.ensure_future(
                self._let_endpoints_leave(
                    random.Random(self.rng.random()), seconds
                )
            )
        )
        fault_tasks.append(
            asyncio.ensure_future(
                self._pause_endpoints(random.Random(self.rng.random()), seconds)
            )
        )
        try:
            await asyncio.gather(*fault_tasks)
        finally:
            for task in [*caller_tasks, *fault_tasks]:
                task.cancel()
            await asyncio.gather(
                *caller_tasks, *fault_tasks, return_exceptions=True
            )

    async def _inject_faults(self, rng, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(rng.uniform(0, MAX_FAULT_PAUSE_S))
            fault = rng.choice(faults.ALL)
            self._log_fault(fault, "begins")
            await fault(self, rng)
            self._log_fault(fault, "ends")

    async def _limit_endpoints(self, rng, seconds):
        """Lets one endpoint after the other state a limit."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            endpoint = rng.choice(self.endpoints)
            incarnation, started_at = endpoint.incarnation, loop.time()
            limit_per_s = rng.uniform(LOWEST_LIMIT_PER_S, HIGHEST_LIMIT_PER_S)
            endpoint.limit_per_s = round(limit_per_s, 1)
            duration_s = rng.uniform(SHORTEST_LIMIT_S, LONGEST_LIMIT_S)
            await asyncio.sleep(min(duration_s, end - started_at))
            if endpoint.incarnation == incarnation:
                self.limited_periods.append(
                    checks.LimitedPeriod(
                        endpoint.name,
                        endpoint.limit_per_s,
                        started_at,
                        loop.time(),
                    )
                )
            endpoint.limit_per_s = None

    async def _let_endpoints_leave(self, rng, seconds):
        """Lets one endpoint after the other state that it leaves.

        Its heartbeats say ready until it drains and starts again.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            endpoint = rng.choice(self.endpoints)
            if endpoint.heartbeat_task is None or endpoint.state != "ready":
                await asyncio.sleep(LEAVING_POLL_INTERVAL_S)
                continue
            incarnation, started_at = endpoint.incarnation, loop.time()
            endpoint.states_leaving = True
            await asyncio.sleep(
                rng.uniform(SHORTEST_LEAVING_S, LONGEST_LEAVING_S)
            )
            was_restarted = (
                endpoint.incarnation != incarnation
                or endpoint.heartbeat_task is None
                or endpoint.state != "ready"
            )
            if was_restarted:
                continue
            await endpoint.drain()
            self.leaving_periods.append(
                checks.LeavingPeriod(endpoint.name, started_at, loop.time())
            )
            await endpoint.start()

    async def _pause_endpoints(self, rng, seconds):
        """Lets one endpoint or all turn requests away for some time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(rng.uniform(0, LONGEST_TIME_BETWEEN_PAUSES_S))
            pausing = [rng.choice(self.endpoints)]
            if rng.random() < ALL_PAUSE_RATIO:
                pausing = self.endpoints
            for endpoint in pausing:
                endpoint.pausing = True
            await asyncio.sleep(rng.uniform(0, LONGEST_PAUSING_S))
            for endpoint in pausing:
                endpoint.pausing = False

    def _log_fault(self, fault, phase):
        at = asyncio.get_running_loop().time()
        self.fault_log.append(f"{at:.3f} {fault.__name__} {phase}")

    def stopped_processes(self):
        """Returns a line for each process that has stopped unexpectedly."""
        ips = [*self.cluster.control_ips, *self.cluster.entry_ips]
        return [
            f"{ip} is not running, exit status: {process and process.poll()}"
            for ip in ips
            for process in [self.cluster.processes.get(ip)]
            if process is None or process.poll() is not None
        ]

    async def _restore_and_check(self):
        for endpoint in self.endpoints:
            endpoint.proxy.restore()
            if endpoint.heartbeat_task is None:
                await endpoint.start()
        await self.wait_for_full_group()
        violations = self.stopped_processes()
        violations += self.cluster.unstructured_lines()
        violations += checks.find_violations(
            self.attempts, self.arrivals, self.no_traffic_windows
        )
        violations += checks.find_exceeded_limits(
            self.limited_periods,
            self.attempts,
            self.arrivals,
            self.fault_periods,
        )
        violations += checks.find_late_after_leaving(
            self.leaving_periods,
            self.attempts,
            self.arrivals,
            self.fault_periods,
        )
        violations += checks.find_requests_in_pauses(
            self.turned_away, self.attempts, self.arrivals, self.fault_periods
        )
        status, data = await self.cluster.call_control(
            "GET", "/v1/Configuration.Read"
        )
        config = json.loads(data) if status == 200 else {}
        version = config.get("version", 0)
        if version < self.acked_version:
            violations.append(
                f"version {self.acked_version} was acknowledged,"
                f" but {version} is in force"
            )
        if config != self.published_configs.get(version):
            violations.append(
                f"version {version} differs from the published configuration"
            )
        for ip in self.cluster.entry_ips:
            await self.cluster.wait_for_status(ip, 200, f"/v{version}/x")
        return violations

    async def _stop(self):
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.cluster.session.close()
        self.cluster.process_group.stop_all()
