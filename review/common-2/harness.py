"""Stand-ins and process control for the cases of the second review.

Only the standard library is used. The project's own programs are started with
the commands of the deploy file; everything else here stands in for the users'
platform: operator, runners and consumers, all on loopback addresses.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
METRICS_PORT = 9464
CONTROLS = 3
"""Control processes at first, one in each zone."""
HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
STATUS_OK = 200
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

# The bounds of sites/restwaarde-lm.toml.
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_extra": 54,
    "retry_window_s": 10,
    "quota_window_s": 8,
    "quota_overshoot": 0.1,
    "quota_tolerance": 110000,
    "usage_window_s": 5,
    "usage_delay_s": 10,
    "grace_s": 8,
    "catch_up_s": 4,
    "lease_ms": 3000,
    "lookup_ttl_s": 5,
    "canary_share": 0.1,
    "canary_extra": 50,
}
HEARTBEAT_S = 1.2


class CaseNotRunError(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text):
        """Writes one line with the time since the start."""
        elapsed_s = time.monotonic() - self.started_at
        self.file.write(f"{elapsed_s:8.3f} {text}\n")
        self.file.flush()


def digest(body):
    """Returns the start of a digest of a body."""
    return hashlib.sha256(body).hexdigest()[:12]


def _reserve_network():
    """Returns the second octet of a free loopback network."""
    for octet in range(20, 250):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{octet}.0.1", METRICS_PORT))
        except OSError:
            reservation.close()
        else:
            return octet, reservation
    raise CaseNotRunError("no free loopback network")


def _free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def _to_toml(values):
    scalars = {k: v for k, v in values.items() if not isinstance(v, dict)}
    lines = [f"{key} = {json.dumps(value)}" for key, value in scalars.items()]
    for name, table in values.items():
        if isinstance(table, dict):
            lines.append(f"[{name}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in table.items()]
    return "\n".join(lines) + "\n"


class System:
    """The project's programs: control processes and entries.

    Attributes:
        control_ips: Addresses of the control processes.
        entry_ips: Addresses of the entries.
        processes: Running process by address.
    """

    def __init__(self, record, *, entries=2, cloud=""):
        self.record = record
        self.cloud = cloud
        self.octet, self.reservation = _reserve_network()
        ports = _free_ports(5)
        self.internal_port, self.operators_port, self.lookups_port = ports[:3]
        self.callers_port, self.readiness_port = ports[3:]
        self.control_ips = [
            f"127.{self.octet}.1.{i}" for i in range(1, CONTROLS + 1)
        ]
        self.entry_ips = [
            f"127.{self.octet}.2.{i}" for i in range(1, entries + 1)
        ]
        self.seeds = [f"{ip}:{self.operators_port}" for ip in self.control_ips]
        self.zone_names = [f"zone-{'abc'[i]}" for i in range(CONTROLS)]
        self.zones = {
            ip: self.zone_names[i]
            for ips in (self.control_ips, self.entry_ips)
            for i, ip in enumerate(ips)
        }
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.roles = tomllib.load(file)["roles"]
        if not (ROOT / "target" / "deps").is_dir():
            raise CaseNotRunError("target/deps is missing: run the build")

    def settings(self, ip):
        """Returns the settings that the template renders for a machine."""
        values = {
            "id": f"node-{ip}",
            "ip": ip,
            "domain": self.zones[ip],
            "region": "region",
            "domains": self.zone_names,
            "seeds": self.seeds,
            "internal_port": self.internal_port,
            "losses": 1,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "memory_mb": 300,
            "descriptors": 4100,
            "bootstrap": True,
            "duty_names": "usage_reporting,autoscaling" if self.cloud else "",
        }
        if self.cloud:
            values["duties"] = self.cloud
        if ip in self.control_ips:
            values["operators"] = f"{ip}:{self.operators_port}"
            values["lookups"] = f"{ip}:{self.lookups_port}"
            values["data"] = str(self.folder / f"data-{ip}")
        else:
            values["callers"] = f"{ip}:{self.callers_port}"
            values["readiness"] = f"{ip}:{self.readiness_port}"
        values["bounds"] = BOUNDS
        return values

    def start(self, ip, **changes):
        """Starts the program of a machine with the deploy file's command."""
        role = "control" if ip in self.control_ips else "entry"
        path = self.folder / f"{ip}.toml"
        path.write_text(_to_toml({**self.settings(ip), **changes}))
        log = (self.folder / f"{ip}.log").open("ab")
        self.processes[ip] = subprocess.Popen(
            shlex.split(self.roles[role]["run"]),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.folder),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "ARBUTUSWALK_CONFIG": str(path),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.write(f"{role} {ip} is started")

    def add_control(self, zone_name):
        """Returns the address of a core machine that is added in a zone.

        The operator's list names it from now on, settings files do not yet.
        """
        number = len(self.control_ips) + 1
        new_ip = f"127.{self.octet}.1.{number}"
        self.zones[new_ip] = zone_name
        self.control_ips.append(new_ip)
        return new_ip

    def replace_control(self, lost_ip):
        """Returns the address of a machine that takes a lost one's place."""
        new_ip = self.add_control(self.zones[lost_ip])
        self.control_ips.remove(lost_ip)
        return new_ip

    def send_signal(self, ip, signal_number):
        """Sends a signal to the process of a machine."""
        name = signal.Signals(signal_number).name
        self.record.write(f"{ip} gets {name}")
        self.processes[ip].send_signal(signal_number)

    def stop(self):
        """Ends all processes that were started and removes their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.reservation.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def start_all(self, config):
        """Starts everything, sends the first config, waits until ready."""
        for ip in (*self.control_ips, *self.entry_ips):
            self.start(ip)
        await self.replace_config(config, within_s=20)
        for ip in self.entry_ips:
            await wait_until(lambda ip=ip: self.is_ready(ip), 20)

    async def replace_config(self, config, within_s=8):
        """Sends a config, as an operator does, until it is acknowledged."""
        body = json.dumps(config).encode()
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            for ip in self.control_ips:
                answer = await self.call_control(
                    ip, "POST", "/v1/Configuration.Replace", body
                )
                if answer and answer.status == 200:
                    version = config["version"]
                    self.record.write(f"config {version} is acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise CaseNotRunError("no ack of a config")

    async def call_control(self, ip, method, path, body=b"", timeout_s=1.0):
        """Returns the answer of a control process, None without one."""
        headers = [("Content-Type", "application/json")]
        try:
            async with asyncio.timeout(timeout_s):
                channel = await Channel.open(ip, self.operators_port)
                try:
                    return await channel.ask(method, path, headers, body)
                finally:
                    channel.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None

    async def is_ready(self, ip):
        """Returns whether an entry says that it is ready."""
        try:
            async with asyncio.timeout(1):
                channel = await Channel.open(ip, self.readiness_port)
                answer = await channel.ask("GET", "/v1/readiness", [])
                channel.close()
                return answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


async def wait_until(check, within_s):
    """Waits until a check succeeds; else the case could not run."""
    deadline = time.monotonic() + within_s
    while not await check():
        if time.monotonic() > deadline:
            raise CaseNotRunError("the system did not get ready")
        await asyncio.sleep(0.1)


class Answer:
    """Status, headers and body of an answer."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    """Returns the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    """Returns the body of a message, which has a length or chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Channel:
    """A consumer's or operator's channel, for one request after another."""

    def __init__(self, reader, writer, host):
        self.reader, self.writer, self.host = reader, writer, host

    @classmethod
    async def open(cls, ip, port, host=HOST):
        """Opens a channel."""
        return cls(*await asyncio.open_connection(ip, port), host)

    def close(self):
        """Closes the channel."""
        self.writer.close()

    async def ask(self, method, path, headers, body=b"", gap_s=0.0):
        """Sends a request and returns its answer.

        Args:
            method: HTTP method.
            path: Path and query.
            headers: Pairs of names and values beside host and length.
            body: The body.
            gap_s: Pause between head and body, 0 to send both at once.
        """
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        if gap_s:
            self.writer.write(head)
            await asyncio.sleep(gap_s)
            self.writer.write(body)
        else:
            self.writer.write(head + body)
        first, answer_headers = await read_head(self.reader)
        status = int(first.split()[1])
        answer_body = await read_body(self.reader, answer_headers)
        return Answer(status, answer_headers, answer_body)


class Runner:
    """A sound runner of a service: runs requests and reports its status.

    Attributes:
        runs: What it ran: dicts with id, method, path, body and headers.
        work_s: How long a request takes.
        beats: Whether it goes on to send status reports.
        leaves: Whether it leaves, which its answers state by closing channels.
    """

    def __init__(self, system, record, *, name, service, work_s=0.02):
        self.system, self.record = system, record
        self.name, self.service, self.work_s = name, service, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.server = None
        self.port = 0
        self.beats = True
        self.leaves = False
        self.tasks = set()

    async def start(self, port=0):
        """Starts to listen and to send status reports, at any port for 0."""
        self.server = await asyncio.start_server(
            self._accept, "127.0.0.1", port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.tasks.add(asyncio.ensure_future(self._beat()))

    async def stop(self):
        """Closes the listener and all channels."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _accept(self, reader, writer):
        self.tasks.add(asyncio.ensure_future(self._serve(reader, writer)))

    async def _beat(self):
        while self.beats:
            self.sequence += 1
            body = json.dumps(
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": 6,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": self.sequence,
                    "born": self.born,
                }
            ).encode()
            for ip in self.nodes():
                path = f"/v1/Instances.Heartbeat/{self.name}"
                answer = await self.system.call_control(ip, "POST", path, body)
                if answer and answer.status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    def nodes(self):
        """Returns the nodes to call, until one acknowledges."""
        return list(self.system.control_ips)

    async def _serve(self, reader, writer):
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while not writer.is_closing():
                    await self._serve_one(reader, writer)
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        method, path, _ = first.split(" ")
        body = await read_body(reader, headers)
        request_id = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.name) != self.name:
            await self._answer(writer, "421 Misdirected", request_id, b"")
            return
        run = {
            "id": request_id,
            "method": method,
            "path": path,
            "body": body,
            "headers": headers,
            "at": time.monotonic(),
        }
        self.runs.append(run)
        self.record.write(
            f"{self.name} runs {request_id} {method} {path}"
            f" body of {len(body)} bytes, sha256 {digest(body)}"
        )
        await asyncio.sleep(self.work_s)
        await self._answer(writer, "200 OK", request_id, b"x" * 800)

    async def _answer(self, writer, status, request_id, body):
        head = (
            f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Server-Signature: {self.name}.{request_id}\r\n"
            f"Content-Length: {len(body)}\r\n"
        )
        if self.leaves:
            head += "Connection: close\r\n"
        writer.write(f"{head}\r\n".encode() + body)
        await writer.drain()
        if self.leaves:
            writer.close()


def make_config(version, routes, services):
    """Returns a complete config with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def make_route(name, prefix, kind, service, *, timeout_ms=1000, attempts=1):
    """Returns a route."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "max_attempts": attempts,
        "anonymous": False,
        "session_affinity": False,
        "stream_resumption": False,
    }


def make_service(name, connection_limit=100):
    """Returns a service."""
    return {
        "name": name,
        "health_path": "/health",
        "connection_limit": connection_limit,
        "protocol": "h1",
        "tls_enabled": False,
    }


def consumer_headers(request_id, deadline_ms=1000):
    """Returns the headers that each request of a consumer has."""
    return [
        ("X-Attempt-Id", request_id),
        ("X-Deadline-Ms", str(deadline_ms)),
        ("X-Key", KEY),
    ]


def main(folder, run_case):
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case.
        run_case: Coroutine function that gets the record and returns what
            broke the rule, as a list of texts.
    """
    # The time limit of run.sh must not leave processes behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")
    try:
        broken = asyncio.run(run_case(record))
    except (CaseNotRunError, OSError) as error:
        record.write(f"not run: {error!r}")
        print(f"not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    for text in broken:
        record.write(f"BROKEN {text}")
    result = f"{len(broken)} breaks of the rule" if broken else "the rule held"
    record.write(result)
    print(result)
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
