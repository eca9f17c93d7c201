"""``make demo``: a complete system on loopback that prints a summary table.

Starts three control processes, four entries in three failure domains, a
platform with runners, and plain services; applies the Restwaarde inventory;
sends its workload; reclaims an instance in the middle of streams and kills
another; moves one version. Exits with 1 if a guarantee was violated. Stops
only the processes it started.
"""

import asyncio
import collections
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
FIRST_PORT = int(os.environ.get("ARBUTUSWALK_DEMO_PORT", "17100"))
CONTROL_ADDRS = [f"127.0.0.1:{FIRST_PORT + i}" for i in range(3)]
ENTRY_ADDRS = [f"127.0.0.1:{FIRST_PORT + 10 + i}" for i in range(4)]
LINK_ADDRS = [f"127.0.0.1:{FIRST_PORT + 20 + i}" for i in range(4)]
PLATFORM_ADDR = f"127.0.0.1:{FIRST_PORT + 30}"
DOMAINS = ["nl-west-1", "nl-west-2", "nl-west-3"]
WORKSPACES = ["veiling", "handel", "magazijn", "retour", "inkoop"]
COMMAND_TIMEOUT_S = 110
RECLAIM_START_S = 6.0
RECLAIM_NOTICE_S = 2.0
KILL_DELAY_S = 5.0
MOVE_START_S = 2.0
WORKLOAD_REPEATS = 3
"""Repeats of the workload, so that traffic lasts as long as the move."""
WORKLOAD_DURATION_MS = 18_000
WORKLOAD_FILE = ROOT / "examples/restwaarde/workload.jsonl"


class Demo:
    """The processes and files of one demo run."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.processes = []
        self.run_log = self.directory / "runs.log"
        self.run_log.touch()

    def write_toml(self, name, values):
        """Writes a TOML file and returns its path."""
        lines = []
        tables = []
        for key, value in values.items():
            if isinstance(value, dict):
                tables.append(f"[{key}]")
                tables += [f"{k} = {json.dumps(v)}" for k, v in value.items()]
            else:
                lines.append(f"{key} = {json.dumps(value)}")
        path = self.directory / f"{name}.toml"
        path.write_text("\n".join(lines + tables) + "\n", encoding="utf-8")
        return path

    def start(self, script, name, *arguments):
        """Starts a process that writes its output to a file."""
        log = open(self.directory / f"{name}.log", "wb")  # noqa: SIM115
        process = subprocess.Popen(
            [str(BIN / script), *map(str, arguments)], stdout=log, stderr=log
        )
        self.processes.append(process)
        return process

    def stop_all(self):
        """Stops the started processes by id; kills the rest after 5 s."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 5
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start_all(self):
        """Starts the control processes, the entries and the platform."""
        for i, address in enumerate(CONTROL_ADDRS):
            settings = {
                "id": f"control-{i}",
                "address": address,
                "data": str(self.directory / f"data-{i}"),
                "peers": CONTROL_ADDRS,
                "platform": PLATFORM_ADDR,
                "interval_s": 3.0,
            }
            path = self.write_toml(f"control-{i}", settings)
            self.start("arbutuswalk-control", f"control-{i}", path)
        for i, address in enumerate(ENTRY_ADDRS):
            settings = {
                "id": f"entry-{i}",
                "address": address,
                "link_address": LINK_ADDRS[i],
                "domain": DOMAINS[i % 3],
                "control": CONTROL_ADDRS,
                "drain_s": 1.0,
            }
            path = self.write_toml(f"entry-{i}", settings)
            self.start("arbutuswalk-entry", f"entry-{i}", path)
        settings = {
            "id": "platform",
            "address": PLATFORM_ADDR,
            "entries": ENTRY_ADDRS,
            "first_port": FIRST_PORT + 40,
            "run_log": str(self.run_log),
        }
        path = self.write_toml("platform", settings)
        self.start("arbutuswalk-standin", "platform", "platform", path)

    def run_cli(self, *arguments):
        """Runs an operator command; returns its JSON, exit code and stderr."""
        result = subprocess.run(
            [
                str(BIN / "arbutuswalk"),
                *map(str, arguments),
                "--control",
                ",".join(CONTROL_ADDRS),
                "--json",
            ],
            capture_output=True,
            text=True,
            check=False,
            timeout=COMMAND_TIMEOUT_S,
        )
        output = json.loads(result.stdout) if result.stdout.strip() else {}
        return output, result.returncode, result.stderr


async def order_instance(session, name, upstream, version, domain, kind, slots):
    """Orders an instance from the platform."""
    spec = {
        "id": name,
        "upstream": upstream,
        "version": version,
        "domain": domain,
        "instance_class": "r-small" if kind == "model" else "s-small",
        "reclaimable": True,
        "kind": kind,
        "slots": slots,
    }
    async with session.post(
        f"http://{PLATFORM_ADDR}/v1/instances", json=spec
    ) as response:
        response.raise_for_status()


async def wait_until(condition, description, timeout_s=20):
    """Polls ``condition`` until it is true; exits after ``timeout_s``."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if await condition():
                return
        except (aiohttp.ClientError, OSError, ValueError):
            pass
        await asyncio.sleep(0.1)
    raise SystemExit(f"demo: no {description} within {timeout_s} s")


async def all_entries_listed(session):
    """Tells whether the first entry lists all four entries."""
    async with session.get(f"http://{ENTRY_ADDRS[0]}/v1/entries") as response:
        return len((await response.json())["entries"]) == len(ENTRY_ADDRS)


async def upstreams_answer(session, token):
    """Tells whether both upstreams answer through every entry."""
    for address in ENTRY_ADDRS:
        headers = {"Authorization": f"Bearer {token}"}
        body = {"model": "appraisal", "prompt": "ref:probe", "max_tokens": 1}
        url = f"http://{address}/v1/completions"
        async with session.post(url, json=body, headers=headers) as response:
            if response.status != 200:
                return False
        url = f"http://{address}/v1/services/claiming/lots/1"
        async with session.get(url, headers=headers) as response:
            if response.status != 200:
                return False
    return True


async def find_busiest_runner(session):
    """Returns the runner with the most streams, and their number."""
    async with session.get(f"http://{PLATFORM_ADDR}/v1/instances") as response:
        instances = await response.json()
    busiest_id, busiest_streams = "", -1
    for instance_id, row in instances.items():
        if row["upstream"] != "appraisal" or not row["running"]:
            continue
        url = f"http://{row['address']}/standin/stats"
        async with session.get(url) as response:
            running = (await response.json())["running"]
        if running > busiest_streams:
            busiest_id, busiest_streams = instance_id, running
    return busiest_id, busiest_streams


async def sum_counters(session):
    """Returns each counter summed over all entries."""
    counters = collections.Counter()
    for address in ENTRY_ADDRS:
        async with session.get(f"http://{address}/metrics") as response:
            for line in (await response.text()).splitlines():
                name, _, value = line.rpartition(" ")
                if "quantile" not in name:
                    counters[name.split("{")[0]] += float(value)
    return counters


def write_repeated_workload(demo):
    """Writes the repeated workload, with other keys in each repeat."""
    lines = []
    for repeat in range(WORKLOAD_REPEATS):
        for line in WORKLOAD_FILE.read_text(encoding="utf-8").splitlines():
            item = json.loads(line)
            item["at_ms"] += repeat * WORKLOAD_DURATION_MS
            item["ref"] += f"-{repeat}"
            if item.get("key"):
                item["key"] += f"-{repeat}"
            lines.append(json.dumps(item))
    path = demo.directory / "workload.jsonl"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def write_load_toml(demo):
    """Writes the workload and the settings of ``arbutuswalk-load``."""
    write_repeated_workload(demo)
    return demo.write_toml(
        "load",
        {
            "entries": ENTRY_ADDRS,
            "workload": str(demo.directory / "workload.jsonl"),
            "report": str(demo.directory / "report.json"),
            "tokens": {name: f"token-{name}" for name in WORKSPACES},
        },
    )


async def run(demo):
    """Runs the demo; returns the rows of the table and the violations."""
    demo.start_all()
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=10)
    ) as session:
        await wait_until(lambda: all_entries_listed(session), "registration")
        inventory = ROOT / "examples/restwaarde/inventory.toml"
        applied, code, error = await asyncio.to_thread(
            demo.run_cli, "apply", inventory, "--wait", "--operator", "demo"
        )
        if code:
            raise SystemExit(f"demo: apply failed: {error}")
        for i in range(5):
            domain = DOMAINS[i % 3]
            await order_instance(
                session, f"run-{i}", "appraisal", "v1", domain, "model", 8
            )
        for i in range(3):
            await order_instance(
                session,
                f"claim-{i}",
                "claiming",
                "v1",
                DOMAINS[i],
                "service",
                64,
            )
        await wait_until(
            lambda: upstreams_answer(session, "token-veiling"), "upstreams"
        )
        loader = demo.start("arbutuswalk-load", "load", write_load_toml(demo))
        await asyncio.sleep(MOVE_START_S)
        for i in range(5):
            domain = DOMAINS[i % 3]
            await order_instance(
                session, f"new-{i}", "appraisal", "v2", domain, "model", 8
            )
        text = inventory.read_text(encoding="utf-8")
        moved_inventory = demo.directory / "moved.toml"
        moved_inventory.write_text(
            text.replace('version = "v1"', 'version = "v2"', 1),
            encoding="utf-8",
        )
        move_task = asyncio.ensure_future(
            asyncio.to_thread(demo.run_cli, "apply", moved_inventory, "--wait")
        )
        await asyncio.sleep(RECLAIM_START_S - MOVE_START_S)
        reclaimed, reclaimed_streams = await find_busiest_runner(session)
        body = {"instance": reclaimed, "notice_s": RECLAIM_NOTICE_S}
        async with session.post(
            f"http://{PLATFORM_ADDR}/standin/reclaim", json=body
        ) as response:
            response.raise_for_status()
        await asyncio.sleep(KILL_DELAY_S)
        killed, killed_streams = await find_busiest_runner(session)
        async with session.post(
            f"http://{PLATFORM_ADDR}/standin/kill", json={"instance": killed}
        ) as response:
            response.raise_for_status()
        await asyncio.to_thread(loader.wait, COMMAND_TIMEOUT_S)
        move_result, move_code, _ = await move_task
        await asyncio.sleep(3.5)
        charges, _, _ = await asyncio.to_thread(demo.run_cli, "charges")
        counters = await sum_counters(session)
    report = json.loads((demo.directory / "report.json").read_text())
    return build_table(
        demo,
        report,
        counters,
        (reclaimed, reclaimed_streams),
        (killed, killed_streams),
        move_result,
        move_code,
        charges,
    )


def build_table(
    demo, report, counters, reclaimed, killed, move_result, move_code, charges
):
    """Returns the rows to print and the violated guarantees."""
    workload = demo.directory / "workload.jsonl"
    items = [json.loads(line) for line in workload.read_text().splitlines()]
    keys_sent = {
        item["key"]
        for item in items
        if item["kind"] == "service" and item.get("method", "POST") != "GET"
    }
    run_counts = collections.Counter(demo.run_log.read_text().split())
    repeated = [key for key, count in run_counts.items() if count > 1]
    accounts = sum(charges["accounts"].values())
    violations = []
    if report["broken"]:
        violations.append(f"{report['broken']} broken answers")
    if report["unknown"]:
        violations.append(f"{report['unknown']} requests with unknown outcome")
    if repeated:
        violations.append(f"calls executed more than once: {repeated}")
    if move_code:
        violations.append(f"move of a good version failed: {move_result}")
    if accounts != charges["billed_micro"]:
        violations.append("charges do not add up to the bill")
    counter = lambda name: int(counters[f"arbutuswalk_{name}"])  # noqa: E731
    rows = [
        ("requests sent", report["sent"]),
        ("answered completely", report["whole"]),
        ("refused, not executed", report["refused"]),
        ("reclaimed during streams", f"{reclaimed[0]}, {reclaimed[1]} streams"),
        ("killed without notice", f"{killed[0]}, {killed[1]} streams"),
        ("streams resumed elsewhere", counter("resumed")),
        ("caches moved", counter("caches_moved")),
        ("recomputed tokens", counter("recomputed_tokens")),
        ("first token p95", f"{report['first_token_p95_s'] * 1000:.0f} ms"),
        (
            "between tokens p95",
            f"{report['between_tokens_p95_s'] * 1000:.0f} ms",
        ),
        ("non-idempotent calls sent", len(keys_sent)),
        ("non-idempotent calls executed", len(run_counts)),
        ("executed more than once", len(repeated)),
        ("move", "; ".join(move_result.get("moves", [str(move_result)]))),
        (
            "charges / bill",
            f"{accounts / 1e6:.6f} / {charges['billed_micro'] / 1e6:.6f}",
        ),
    ]
    if report["problems"]:
        rows.append(("notes", "; ".join(report["problems"][:3])))
    rows.append(("violated guarantees", "; ".join(violations) or "none"))
    return rows, violations


def main():
    """Runs the demo and prints its table; keeps its files on failure."""
    directory = tempfile.mkdtemp(prefix="arbutuswalk-demo-")
    demo = Demo(directory)
    keep_files = False
    try:
        rows, violations = asyncio.run(run(demo))
        width = max(len(name) for name, _ in rows)
        for name, value in rows:
            print(f"{name:{width}}  {value}")
        keep_files = bool(violations)
        code = 1 if violations else 0
    except BaseException:
        keep_files = True
        raise
    finally:
        demo.stop_all()
        if keep_files:
            print(f"logs are in {directory}", file=sys.stderr)
        else:
            shutil.rmtree(directory, ignore_errors=True)
    sys.exit(code)


if __name__ == "__main__":
    main()
