"""A small deployment of the project's programs on loopback, with stand-ins.

The programs run as processes of their own, with the commands of the deploy
file. Runners and consumers are small stand-ins that do only what the users'
pages allow them.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
METRICS_PORT = 9464
"""Port of the metrics, as the deploy file names it."""
NETWORKS = range(60, 250)
HOST = "claims.example"
SERVICE = "kavelbalie"
KEY = "key-1"
ZONE = "nl-west-a"
CONTACT_S = 3.0
"""``contact_threshold_ms`` of the sheet of restwaarde-lm."""
DRAIN_DEADLINE_S = 2.0
"""``drain_deadline_ms`` of the same sheet."""
HEARTBEAT_S = 1.2
"""``heartbeat_interval_ms`` of the same installation."""
CALL_TIMEOUT_S = 1.0
"""Time that runners and operators allow one call."""
RESTART_S = 0.5
"""Time after a kill at which a process is started again."""
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_extra": 54,
    "retry_window_s": 10,
    "quota_window_s": 8,
    "quota_overshoot": 0.1,
    "quota_tolerance": 110000,
    "usage_window_s": 5,
    "usage_delay_s": 10,
    "grace_s": 8.0,
    "catch_up_s": 4,
    "lease_ms": 3000,
    "lookup_ttl_s": 5,
    "canary_share": 0.1,
    "canary_extra": 50,
}


class CannotRunError(Exception):
    """The case could not run."""


def has_trouble():
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to a file.

    Attributes:
        file: The file.
        started_at: Time from which the seconds are counted.
    """

    def __init__(self, *, path):
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self):
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def add(self, *words):
        """Writes one line with the present time; returns that time."""
        now = self.now()
        line = " ".join(map(str, words))
        self.file.write(f"{now:8.3f} {line}\n")
        self.file.flush()
        return now


def reserve_network():
    """Returns the second octet of an unused loopback network, and a socket."""
    for octet in NETWORKS:
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{octet}.0.1", METRICS_PORT))
        except OSError:
            reservation.close()
        else:
            return octet, reservation
    raise CannotRunError("all loopback networks are in use")


def free_ports(count):
    """Returns ports that were free when probed."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def to_toml(values):
    """Returns the text of a settings file."""
    plain = {k: v for k, v in values.items() if not isinstance(v, dict)}
    lines = [f"{key} = {json.dumps(value)}" for key, value in plain.items()]
    for name, table in values.items():
        if isinstance(table, dict):
            lines.append(f"[{name}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in table.items()]
    return "\n".join(lines) + "\n"


def make_config(version, **changes):
    """Returns a config with one idempotent route and one that runs once."""
    route = {
        "host": HOST,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": SERVICE,
        "anonymous": False,
        "session_affinity": False,
        "stream_resumption": False,
    }
    config = {
        "version": version,
        "routes": [
            {
                **route,
                "name": "lookup",
                "path_prefix": "/lookup/",
                "route_kind": "idempotent",
                "max_attempts": 2,
            },
            {
                **route,
                "name": "claim",
                "path_prefix": "/claim/",
                "route_kind": "non_idempotent",
                "max_attempts": 1,
            },
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "connection_limit": 100,
                "protocol": "h1",
                "tls_enabled": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [KEY], "priority": 1}],
    }
    return {**config, **changes}


class Fleet:
    """Control and entry processes on a loopback network of their own.

    Attributes:
        record: What happened.
        folder: Temporary folder with settings, disks and logs.
        control_ips: Addresses of the control processes.
        entry_ips: Addresses of the entries.
        processes: Running process by address.
        changed_at: When a process was last started or killed, by address.
        was_started: Addresses whose process was started before.
        settings: Settings that differ from those of the sheet.
    """

    def __init__(self, *, record, controls=3, entries=2, **settings):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        octet, self.reservation = reserve_network()
        ports = free_ports(5)
        self.internal_port, self.operators_port = ports[:2]
        self.lookups_port, self.callers_port, self.readiness_port = ports[2:]
        self.control_ips = [f"127.{octet}.1.{i + 1}" for i in range(controls)]
        self.entry_ips = [f"127.{octet}.2.{i + 1}" for i in range(entries)]
        self.processes = {}
        self.changed_at = {}
        self.was_started = set()
        self.settings = settings

    def start(self, ip):
        """Starts the program of an address with the command of deploy."""
        is_control = ip in self.control_ips
        values = {
            "id": f"node-{ip}",
            "ip": ip,
            "domain": ZONE,
            "region": "nl-west",
            "domains": [ZONE],
            "seeds": [f"{c}:{self.operators_port}" for c in self.control_ips],
            "internal_port": self.internal_port,
            "losses": 1,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "memory_mb": 300,
            "descriptors": 4096,
            "bootstrap": ip not in self.was_started,
            "duty_names": "",
            **self.settings,
            "bounds": BOUNDS,
        }
        if is_control:
            values["operators"] = f"{ip}:{self.operators_port}"
            values["lookups"] = f"{ip}:{self.lookups_port}"
            values["data"] = str(self.folder / f"disk-{ip}")
        else:
            values["callers"] = f"{ip}:{self.callers_port}"
            values["readiness"] = f"{ip}:{self.readiness_port}"
        path = self.folder / f"{ip}.toml"
        path.write_text(to_toml(values), encoding="utf-8")
        script = "control.py" if is_control else "entry.py"
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG", "PYTHONPATH")
            if name in os.environ
        }
        environment["ARBUTUSWALK_CONFIG"] = str(path)
        with (self.folder / f"{ip}.log").open("ab") as log:
            self.processes[ip] = subprocess.Popen(
                [sys.executable, f"platform/{script}"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.was_started.add(ip)
        self.changed_at[ip] = self.record.add("start", script, ip)

    def kill(self, *ips):
        """Kills processes at one moment."""
        for ip in ips:
            self.processes[ip].send_signal(signal.SIGKILL)
        for ip in ips:
            self.processes.pop(ip).wait()
            self.changed_at[ip] = self.record.add("kill", ip)

    def signal(self, ip, number):
        """Sends a signal to one process."""
        self.processes[ip].send_signal(number)
        self.changed_at[ip] = self.record.add("signal", number.name, ip)

    def is_in_touch(self, entry_ip, at):
        """Returns whether an entry is in touch at a time after all changes.

        No process of the core and not the entry itself was started, killed or
        signalled for ``contact_threshold_ms``.
        """
        ips = [*self.control_ips, entry_ip]
        return all(at - self.changed_at[ip] > CONTACT_S for ip in ips)

    def close(self):
        """Ends all processes that were started, and removes their files."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self.reservation.close()
        if os.environ.get("KEEP_FILES"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def start_all(self, config=None):
        """Starts all processes and has a config acknowledged."""
        for ip in [*self.control_ips, *self.entry_ips]:
            self.start(ip)
        await self.replace_config(config or make_config(1))

    async def replace_config(self, config, timeout_s=20.0):
        """Sends a config to one process after another until one acks it."""
        body = json.dumps(config).encode()
        path = "/v1/Configuration.Replace"
        ends_at = self.record.now() + timeout_s
        while self.record.now() < ends_at:
            for ip in self.control_ips:
                status, _, _ = await call(
                    ip, self.operators_port, "POST", path, body
                )
                if status == 200:
                    return self.record.add("config", config["version"], "ack")
            await asyncio.sleep(0.1)
        raise CannotRunError("no config was acknowledged")

    async def wait_until_serving(self, path="/lookup/x", timeout_s=20.0):
        """Waits until every entry serves a request."""
        ends_at = self.record.now() + timeout_s
        for ip in self.entry_ips:
            number = 0
            while True:
                number += 1
                answer = await call(
                    ip,
                    self.callers_port,
                    "GET",
                    path,
                    headers=consumer_headers(f"first-{ip}-{number}"),
                )
                if answer[0] == 200:
                    break
                if self.record.now() > ends_at:
                    raise CannotRunError(f"{ip} does not serve: {answer}")
                await asyncio.sleep(0.1)


def consumer_headers(attempt_id, deadline_ms=3000):
    """Returns the headers of one attempt of a consumer."""
    return {
        "Host": HOST,
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Key": KEY,
    }


async def read_answer(reader):
    """Reads one answer with a length or in chunks.

    Returns:
        Status, headers and body.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(await reader.readline(), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(status_line.split()[1]), headers, body


def encode_request(method, path, headers, body):
    """Returns the bytes of a request with a length."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(
    ip, port, method, path, body=b"", headers=None, timeout_s=CALL_TIMEOUT_S
):
    """Sends one request on a channel of its own; status 0 if none answers."""
    headers = {"Host": f"{ip}:{port}", **(headers or {}), "Connection": "close"}
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(encode_request(method, path, headers, body))
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, {}, repr(error).encode()
    finally:
        if writer is not None:
            writer.close()


class Runner:
    """A sound runner with status reports.

    Attributes:
        fleet: The fleet that it reports to.
        name: Its ``instance_id``.
        born_ms: Start of its lifetime.
        sequence: Number of its last status report.
        state: State in its reports, None once it reports no longer.
        arrivals: (attempt id, time) of each request that it began to run.
        work_s: Time that it works on a request.
        server: Its listener.
        tasks: Tasks that it has started.
    """

    def __init__(self, *, fleet, name, work_s=0.03):
        self.fleet = fleet
        self.name = name
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.arrivals = []
        self.work_s = work_s
        self.server = None
        self.address = ""
        self.tasks = []

    async def start(self):
        """Begins to listen and to report."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.tasks.append(asyncio.ensure_future(self._report_regularly()))

    async def _report_regularly(self):
        while self.state is not None:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self):
        """Sends one status report; returns which process acknowledged it."""
        self.sequence += 1
        fields = {
            "service": SERVICE,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        return await self._tell(f"/v1/Instances.Heartbeat/{self.name}", fields)

    async def deregister(self):
        """Says that it leaves; returns which process acknowledged it."""
        self.state = None
        path = f"/v1/Instances.Deregister/{self.name}"
        return await self._tell(path, {"born": self.born_ms})

    async def _tell(self, path, fields):
        body = json.dumps(fields).encode()
        for ip in self.fleet.control_ips:
            status, _, _ = await call(
                ip, self.fleet.operators_port, "POST", path, body
            )
            if 200 <= status < 300:
                return ip
        return ""

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                await self.answer(head.split()[1], headers, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, headers, writer):
        """Runs one request and answers it."""
        attempt_id = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.name) != self.name:
            write_answer(writer, "421 Misdirected Request", attempt_id, b"")
            return
        at = self.fleet.record.add("run", attempt_id, "at", self.name)
        self.arrivals.append((attempt_id, at))
        await asyncio.sleep(self.work_s)
        body = f"{attempt_id} {path} by {self.name}".encode()
        write_answer(writer, "200 OK", attempt_id, body)
        await writer.drain()

    def stop(self):
        """Ends the runner."""
        self.state = None
        self.server.close()
        for task in self.tasks:
            task.cancel()


def write_answer(writer, status, attempt_id, body):
    """Writes an answer of a runner."""
    head = (
        f"HTTP/1.1 {status}\r\n"
        f"X-Attempt-Id: {attempt_id}\r\n"
        f"X-Server-Signature: proof-{attempt_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)


class Consumer:
    """Sends requests to one entry, each on a channel of its own.

    Attributes:
        sent: (entry, time) at which each attempt was sent, by its id.
        answers: Status of each answer by attempt id, 0 for none.
    """

    def __init__(self, *, fleet, entry_ip, name, path="/lookup/x"):
        self.fleet = fleet
        self.entry_ip = entry_ip
        self.name = name
        self.path = path
        self.sent = {}
        self.answers = {}

    async def run(self, interval_s):
        """Sends requests at an interval until cancelled."""
        number = 0
        tasks = set()
        try:
            while True:
                number += 1
                task = asyncio.ensure_future(self.send(number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(interval_s)
        finally:
            for task in tasks:
                task.cancel()

    async def send(self, number):
        """Sends one request and records its answer."""
        record = self.fleet.record
        attempt_id = f"{self.name}-{number}"
        at = record.add("send", attempt_id, "to", self.entry_ip)
        self.sent[attempt_id] = self.entry_ip, at
        status, _, _ = await call(
            self.entry_ip,
            self.fleet.callers_port,
            "GET" if self.path.startswith("/lookup/") else "POST",
            self.path,
            headers=consumer_headers(attempt_id),
            timeout_s=3.5,
        )
        self.answers[attempt_id] = status
        record.add("answer", attempt_id, status)


def run_case(path, main):
    """Runs a case; returns its exit code.

    Args:
        path: Path of the record, beside the case's script.
        main: Coroutine function that returns the breaks that it has seen.
    """
    record = Record(path=path)
    try:
        breaks = asyncio.run(main(record))
    except CannotRunError as error:
        record.add("the case could not run:", error)
        print(f"could not run: {error}")
        return 2
    for line in breaks:
        record.add("BROKEN", line)
        print(line)
    print("broken" if breaks else "held")
    return 1 if breaks else 0
