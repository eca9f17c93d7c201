"""A small deployment on loopback: the deploy file's programs and stand-ins."""

import asyncio
import contextlib
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parent.parent.parent
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
METRICS_PORT = 9464
HEARTBEAT_S = 1.2
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


class Head(NamedTuple):
    """First line and headers of a message; names in lower case."""

    first: str
    headers: dict[str, str]


class Answer(NamedTuple):
    """An answer as a consumer received it.

    Attributes:
        status: HTTP status, 0 without a head.
        headers: Headers.
        body: Received part of the body.
        complete: Whether the answer came to its end.
        sent_at: When the request was sent, in seconds.
        ended_at: When the answer or the channel ended, in seconds.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    sent_at: float
    ended_at: float


def make_config(
    version: int, service: str, paths: list[str], **route_fields: object
) -> dict:
    """Returns a config of one service with a route for each path.

    Args:
        version: Its version.
        service: Name of the service.
        paths: Path prefixes.
        **route_fields: Fields of the routes that differ from an idempotent
            one.
    """
    route = {
        "host": HOST,
        "route_kind": "idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        "session_affinity": False,
        "stream_resumption": False,
        **route_fields,
    }
    return {
        "version": version,
        "routes": [
            {"name": f"r-{number}", "path_prefix": path, **route}
            for number, path in enumerate(paths)
        ],
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "connection_limit": 360,
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
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Reads a head; returns None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(first, {n.strip().lower(): v.strip() for n, _, v in pairs})


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], parts: bytearray
) -> bool:
    """Appends the body to ``parts``; returns whether it is complete."""
    try:
        if "content-length" in headers:
            parts += await reader.readexactly(int(headers["content-length"]))
            return True
        if "chunked" not in headers.get("transfer-encoding", ""):
            parts += await reader.read()
            return True
        while size := int(await reader.readuntil(b"\r\n"), 16):
            parts += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError as error:
        parts += error.partial
        return False
    except (OSError, ValueError):
        return False
    return True


async def exchange(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 1.0,
) -> Answer:
    """Sends one request on a new channel and reads its answer."""
    host, _, port = address.rpartition(":")
    sent_at = time.time()
    parts = bytearray()
    head, complete, writer = None, False, None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            head = await read_head(reader)
            if head is not None:
                complete = await read_body(reader, head.headers, parts)
    except (TimeoutError, OSError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    status = int(head.first.split()[1]) if head else 0
    return Answer(
        status,
        head.headers if head else {},
        bytes(parts),
        complete,
        sent_at,
        time.time(),
    )


class Call(NamedTuple):
    """A request that reached a runner.

    Attributes:
        request_id: The consumer's ``X-Attempt-Id``.
        path: Path.
        headers: Headers.
        at: When its head and body were there, in seconds.
    """

    request_id: str
    path: str
    headers: dict[str, str]
    at: float


Behaviour = Callable[["Runner", Call, asyncio.StreamWriter], Awaitable[None]]
"""Answers one call of a runner."""


class Runner:
    """A runner that registers itself and answers as ``behave`` says.

    Attributes:
        state: State in its heartbeats.
        calls: Requests that it began to run.
        drain_acked_at: When its drain was acknowledged, 0 before.
    """

    def __init__(
        self,
        *,
        rig: "Rig",
        name: str,
        service: str,
        behave: Behaviour,
        version: str = "v1",
        slots: int = 64,
    ):
        self.rig = rig
        self.name = name
        self.service = service
        self.behave = behave
        self.version = version
        self.slots = slots
        self.state = "ready"
        self.calls: list[Call] = []
        self.drain_acked_at = 0.0
        self.sequence = 0
        self.born_ms = 0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.beats: asyncio.Task | None = None
        self.control = 0

    async def start(self) -> None:
        """Starts a new lifetime at the same address."""
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.server = await asyncio.start_server(
            self._serve, self.rig.runner_ip, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.ensure_future(self._send_beats())

    def stop(self) -> None:
        """Ends the lifetime at once: all its channels are reset."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        self.beats.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def beat(self) -> bool:
        """Sends one status report; returns whether it was acknowledged."""
        self.sequence += 1
        state = self.state
        body = json.dumps(
            {
                "service": self.service,
                "address": f"{self.rig.runner_ip}:{self.port}",
                "zone": "nl-west-a",
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
        ).encode()
        for _ in self.rig.control_ips:
            answer = await exchange(
                self.rig.operators(self.control),
                "POST",
                f"/v1/Instances.Heartbeat/{self.name}",
                {"Host": "control", "Content-Type": "application/json"},
                body,
            )
            if 200 <= answer.status < 300:
                if state == "draining" and not self.drain_acked_at:
                    self.drain_acked_at = answer.ended_at
                return True
            self.control = (self.control + 1) % len(self.rig.control_ips)
        return False

    async def _send_beats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                body = bytearray()
                if not await read_body(reader, head.headers, body):
                    return
                await self._answer(head, writer)
        except OSError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, head: Head, writer: asyncio.StreamWriter) -> None:
        _, path, _ = head.first.split(" ", 2)
        request_id = head.headers.get("x-attempt-id", "")
        if path == "/health":
            writer.write(
                encode("HTTP/1.1 200 OK", {"X-Instance-Id": self.name})
            )
        elif head.headers.get("x-expected-instance", self.name) != self.name:
            writer.write(
                encode("HTTP/1.1 421 No", {"X-Attempt-Id": request_id})
            )
        else:
            call = Call(request_id, path, head.headers, time.time())
            self.calls.append(call)
            await self.behave(self, call, writer)
        await writer.drain()


def signed(runner: Runner, call: Call) -> dict[str, str]:
    """Returns the headers of a runner's own answer."""
    return {
        "X-Attempt-Id": call.request_id,
        "X-Server-Signature": f"sig-{runner.name}",
    }


class Rig:
    """Control and entry processes, runners and the infrastructure's API.

    Attributes:
        folder: Temporary folder with settings, data and logs.
        record_file: Where the lines of a play are written.
    """

    def __init__(
        self, *, record: pathlib.Path, controls: int = 3, entries: int = 2
    ):
        self.started_at = time.time()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        octet, self.reservation = _reserve_network()
        self.control_ips = [f"127.{octet}.1.{i + 1}" for i in range(controls)]
        self.entry_ips = [f"127.{octet}.2.{i + 1}" for i in range(entries)]
        self.runner_ip = f"127.{octet}.3.1"
        self.cloud_ip = f"127.{octet}.4.1"
        (
            self.internal_port,
            self.operators_port,
            self.lookups_port,
            self.callers_port,
            self.readiness_port,
        ) = _free_ports(5)
        self.processes: dict[str, subprocess.Popen] = {}
        self.all_processes: list[subprocess.Popen] = []
        self.runners: list[Runner] = []
        self.record_file = record.open("w", encoding="utf-8")
        self.cloud: asyncio.Server | None = None
        self.cloud_calls: list[tuple[float, Head]] = []
        self.cloud_address = ""

    def note(self, text: str) -> None:
        """Writes one line with the time since the start."""
        elapsed_s = time.time() - self.started_at
        self.record_file.write(f"{elapsed_s:9.3f} {text}\n")
        self.record_file.flush()

    def operators(self, index: int) -> str:
        """Returns the address of the operator's API of a control process."""
        return f"{self.control_ips[index]}:{self.operators_port}"

    def callers(self, index: int) -> str:
        """Returns the address at which an entry accepts consumers."""
        return f"{self.entry_ips[index]}:{self.callers_port}"

    async def start(self) -> None:
        """Starts the infrastructure's API and all processes."""
        self.cloud = await asyncio.start_server(
            self._serve_cloud, self.cloud_ip, 0
        )
        port = self.cloud.sockets[0].getsockname()[1]
        self.cloud_address = f"{self.cloud_ip}:{port}"
        for ip in (*self.control_ips, *self.entry_ips):
            self.launch(ip)

    def launch(self, ip: str) -> None:
        """Starts the program of an address with the deploy file's command."""
        is_control = ip in self.control_ips
        settings = {
            "id": f"node-{ip}",
            "ip": ip,
            "domain": "nl-west-a",
            "region": "nl-west",
            "seeds": [f"{ip}:{self.operators_port}" for ip in self.control_ips],
            "internal_port": self.internal_port,
            "losses": 1,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
        }
        if is_control:
            settings |= {
                "operators": f"{ip}:{self.operators_port}",
                "lookups": f"{ip}:{self.lookups_port}",
                "data": str(self.folder / ip),
                "duties": self.cloud_address,
                "duty_names": "usage_reporting,autoscaling",
            }
        else:
            settings |= {
                "callers": f"{ip}:{self.callers_port}",
                "readiness": f"{ip}:{self.readiness_port}",
            }
        lines = [f"{name} = {json.dumps(v)}" for name, v in settings.items()]
        lines += ["[bounds]"]
        lines += [f"{name} = {json.dumps(v)}" for name, v in BOUNDS.items()]
        path = self.folder / f"{ip}.toml"
        path.write_text("\n".join(lines), encoding="utf-8")
        program = "control.py" if is_control else "entry.py"
        with (self.folder / f"{ip}.log").open("ab") as log:
            process = subprocess.Popen(
                ["python3", f"platform/{program}"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "ARBUTUSWALK_CONFIG": str(path),
                },
            )
        self.processes[ip] = process
        self.all_processes.append(process)

    async def start_runner(
        self,
        name: str,
        service: str,
        behave: Behaviour,
        *,
        version: str = "v1",
        slots: int = 64,
    ) -> Runner:
        """Starts a runner that reports its status from now on."""
        runner = Runner(
            rig=self,
            name=name,
            service=service,
            behave=behave,
            version=version,
            slots=slots,
        )
        self.runners.append(runner)
        await runner.start()
        return runner

    def kill(self, ip: str) -> None:
        """Kills a process with SIGKILL."""
        process = self.processes.pop(ip)
        process.kill()
        process.wait()

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[ip].send_signal(number)

    async def call_control(
        self, method: str, path: str, body: dict | None = None
    ) -> Answer:
        """Calls control processes in turn until one answers clearly."""
        data = json.dumps(body).encode() if body is not None else b""
        headers = {"Host": "control", "Content-Type": "application/json"}
        for attempt in range(200):
            address = self.operators(attempt % len(self.control_ips))
            answer = await exchange(address, method, path, headers, data)
            if answer.status and answer.status < 500:
                return answer
            await asyncio.sleep(0.1)
        raise UnusableError(f"no answer to {method} {path}")

    async def request(
        self,
        entry: int,
        path: str,
        *,
        body: bytes = b"{}",
        deadline_ms: int = 4000,
        request_id: str = "",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends one consumer's request on a new channel."""
        return await exchange(
            self.callers(entry),
            "POST",
            path,
            {
                "Host": HOST,
                "X-Attempt-Id": request_id or new_id(),
                "X-Deadline-Ms": str(deadline_ms),
                "X-Key": KEY,
                **(headers or {}),
            },
            body,
            timeout_s=deadline_ms / 1000,
        )

    async def put_config(self, config: dict) -> Answer:
        """Sends a config until it gets a clear answer."""
        return await self.call_control(
            "POST", "/v1/Configuration.Replace", config
        )

    async def wait_until_served(self, path: str) -> None:
        """Waits until every entry serves requests on a path."""
        for entry in range(len(self.entry_ips)):
            for _ in range(200):
                answer = await self.request(entry, path, deadline_ms=1000)
                if answer.status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise UnusableError(f"entry {entry} does not serve {path}")

    async def _serve_cloud(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while head := await read_head(reader):
            if not await read_body(reader, head.headers, bytearray()):
                break
            self.cloud_calls.append((time.time(), head))
            writer.write(encode("HTTP/1.1 200 OK", {}))
            await writer.drain()
        writer.close()

    def stop(self) -> None:
        """Ends everything that was started and removes the folder."""
        for runner in self.runners:
            runner.stop()
        for process in self.all_processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if self.cloud is not None:
            self.cloud.close()
        self.reservation.close()
        self.record_file.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class UnusableError(Exception):
    """The case could not run."""


def new_id() -> str:
    """Returns a new id of a consumer attempt."""
    return secrets.token_hex(8)


def with_trouble() -> bool:
    """Returns whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(play: Callable[[], Awaitable[bool]], limit_s: float = 115.0) -> int:
    """Plays a case; returns 1 if its rule broke, 0 if not, 2 if unusable."""
    try:
        with contextlib.suppress(KeyboardInterrupt):
            return int(asyncio.run(asyncio.wait_for(play(), limit_s)))
    except (UnusableError, TimeoutError, OSError) as error:
        print(f"unusable: {error!r}")
    return 2


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for open_socket in sockets:
        open_socket.bind(("127.0.0.1", 0))
    ports = [open_socket.getsockname()[1] for open_socket in sockets]
    for open_socket in sockets:
        open_socket.close()
    return ports


def _reserve_network() -> tuple[int, socket.socket]:
    """Returns the second octet of an unused loopback network."""
    for octet in range(1, 255):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{octet}.0.1", METRICS_PORT))
        except OSError:
            reservation.close()
        else:
            return octet, reservation
    raise UnusableError("all loopback networks are in use")
