"""``make demo``: the whole path on loopback, with a table at the end.

Starts three control processes, four entries in three failure domains, a
platform with runners, and plain services; applies the Restwaarde inventory;
sends its workload; reclaims an instance in the middle of streams and kills
another; moves one version. Exits with 1 if a promise was broken. Ends only
what it started.
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
CONTROL = [f"127.0.0.1:{FIRST_PORT + i}" for i in range(3)]
ENTRIES = [f"127.0.0.1:{FIRST_PORT + 10 + i}" for i in range(4)]
LINKS = [f"127.0.0.1:{FIRST_PORT + 20 + i}" for i in range(4)]
PLATFORM = f"127.0.0.1:{FIRST_PORT + 30}"
DOMAINS = ["nl-west-1", "nl-west-2", "nl-west-3"]
WORKSPACES = ["veiling", "handel", "magazijn", "retour", "inkoop"]
LIMIT_S = 110
RECLAIM_AT_S = 6.0
NOTICE_S = 2.0
KILL_AFTER_S = 5.0
MOVE_AT_S = 2.0
REPEATS = 3
"""How often the workload is sent, so that traffic lasts as long as the move."""
LENGTH_MS = 18_000
WORKLOAD = ROOT / "examples/restwaarde/workload.jsonl"


class Demo:
    """The processes of one demo run."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.processes = []
        self.run_log = self.folder / "runs.log"
        self.run_log.touch()

    def write(self, name, values):
        """Writes a TOML file and returns its path."""
        lines = []
        tables = []
        for key, value in values.items():
            if isinstance(value, dict):
                tables.append(f"[{key}]")
                tables += [f"{k} = {json.dumps(v)}" for k, v in value.items()]
            else:
                lines.append(f"{key} = {json.dumps(value)}")
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines + tables) + "\n", encoding="utf-8")
        return path

    def start(self, binary, name, *arguments):
        """Starts one process with its output in a file."""
        log = open(self.folder / f"{name}.log", "wb")  # noqa: SIM115
        process = subprocess.Popen(
            [str(BIN / binary), *map(str, arguments)], stdout=log, stderr=log
        )
        self.processes.append(process)
        return process

    def stop(self):
        """Ends every process that was started, by its id."""
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
        """Starts control, entries and the platform."""
        for i, address in enumerate(CONTROL):
            settings = {
                "id": f"control-{i}",
                "address": address,
                "data": str(self.folder / f"data-{i}"),
                "peers": CONTROL,
                "platform": PLATFORM,
                "interval_s": 3.0,
            }
            path = self.write(f"control-{i}", settings)
            self.start("arbutuswalk-control", f"control-{i}", path)
        for i, address in enumerate(ENTRIES):
            settings = {
                "id": f"entry-{i}",
                "address": address,
                "link_address": LINKS[i],
                "domain": DOMAINS[i % 3],
                "control": CONTROL,
                "drain_s": 1.0,
            }
            path = self.write(f"entry-{i}", settings)
            self.start("arbutuswalk-entry", f"entry-{i}", path)
        settings = {
            "id": "platform",
            "address": PLATFORM,
            "entries": ENTRIES,
            "first_port": FIRST_PORT + 40,
            "run_log": str(self.run_log),
        }
        path = self.write("platform", settings)
        self.start("arbutuswalk-standin", "platform", "platform", path)

    def cli(self, *arguments):
        """Runs the command line and returns its parsed JSON and code."""
        done = subprocess.run(
            [
                str(BIN / "arbutuswalk"),
                *map(str, arguments),
                "--control",
                ",".join(CONTROL),
                "--json",
            ],
            capture_output=True,
            text=True,
            check=False,
            timeout=LIMIT_S,
        )
        parsed = json.loads(done.stdout) if done.stdout.strip() else {}
        return parsed, done.returncode, done.stderr


async def order(session, instance, upstream, version, domain, kind, slots):
    """Starts an instance on the platform."""
    spec = {
        "id": instance,
        "upstream": upstream,
        "version": version,
        "domain": domain,
        "instance_class": "r-small" if kind == "model" else "s-small",
        "reclaimable": True,
        "kind": kind,
        "slots": slots,
    }
    async with session.post(
        f"http://{PLATFORM}/v1/instances", json=spec
    ) as response:
        response.raise_for_status()


async def wait_until(check, what, limit_s=20):
    """Polls ``check`` until it returns something true."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        try:
            if await check():
                return
        except (aiohttp.ClientError, OSError, ValueError):
            pass
        await asyncio.sleep(0.1)
    raise SystemExit(f"demo: {what} did not happen within {limit_s} s")


async def entries_ready(session):
    """Tells whether an entry lists all four."""
    async with session.get(f"http://{ENTRIES[0]}/v1/entries") as response:
        return len((await response.json())["entries"]) == len(ENTRIES)


async def upstreams_ready(session, token):
    """Tells whether both upstreams answer at every entry."""
    for address in ENTRIES:
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


async def busiest(session):
    """Returns the runner instance that runs the most streams."""
    async with session.get(f"http://{PLATFORM}/v1/instances") as response:
        instances = await response.json()
    best, most = "", -1
    for name, row in instances.items():
        if row["upstream"] != "appraisal" or not row["running"]:
            continue
        url = f"http://{row['address']}/standin/stats"
        async with session.get(url) as response:
            running = (await response.json())["running"]
        if running > most:
            best, most = name, running
    return best, most


async def counters(session):
    """Returns the sum of every counter over all entries."""
    sums = collections.Counter()
    for address in ENTRIES:
        async with session.get(f"http://{address}/metrics") as response:
            for line in (await response.text()).splitlines():
                name, _, value = line.rpartition(" ")
                if "quantile" not in name:
                    sums[name.split("{")[0]] += float(value)
    return sums


def repeat_workload(demo):
    """Writes the workload several times over, each time with its own keys."""
    lines = []
    for number in range(REPEATS):
        for line in WORKLOAD.read_text(encoding="utf-8").splitlines():
            item = json.loads(line)
            item["at_ms"] += number * LENGTH_MS
            item["ref"] += f"-{number}"
            if item.get("key"):
                item["key"] += f"-{number}"
            lines.append(json.dumps(item))
    path = demo.folder / "workload.jsonl"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def load_settings(demo):
    """Writes the settings of the load tool."""
    repeat_workload(demo)
    return demo.write(
        "load",
        {
            "entries": ENTRIES,
            "workload": str(demo.folder / "workload.jsonl"),
            "report": str(demo.folder / "report.json"),
            "tokens": {name: f"token-{name}" for name in WORKSPACES},
        },
    )


async def run(demo):
    """Runs the demo; returns the rows of the table and broken promises."""
    demo.start_all()
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=10)
    ) as session:
        await wait_until(lambda: entries_ready(session), "registration")
        inventory = ROOT / "examples/restwaarde/inventory.toml"
        applied, code, error = await asyncio.to_thread(
            demo.cli, "apply", inventory, "--wait", "--operator", "demo"
        )
        if code:
            raise SystemExit(f"demo: apply failed: {error}")
        for i in range(5):
            domain = DOMAINS[i % 3]
            await order(
                session, f"run-{i}", "appraisal", "v1", domain, "model", 8
            )
        for i in range(3):
            await order(
                session,
                f"claim-{i}",
                "claiming",
                "v1",
                DOMAINS[i],
                "service",
                64,
            )
        await wait_until(
            lambda: upstreams_ready(session, "token-veiling"), "upstreams"
        )
        load = demo.start("arbutuswalk-load", "load", load_settings(demo))
        await asyncio.sleep(MOVE_AT_S)
        for i in range(5):
            domain = DOMAINS[i % 3]
            await order(
                session, f"new-{i}", "appraisal", "v2", domain, "model", 8
            )
        text = inventory.read_text(encoding="utf-8")
        moved = demo.folder / "moved.toml"
        moved.write_text(
            text.replace('version = "v1"', 'version = "v2"', 1),
            encoding="utf-8",
        )
        move = asyncio.ensure_future(
            asyncio.to_thread(demo.cli, "apply", moved, "--wait")
        )
        await asyncio.sleep(RECLAIM_AT_S - MOVE_AT_S)
        victim, streams = await busiest(session)
        body = {"instance": victim, "notice_s": NOTICE_S}
        async with session.post(
            f"http://{PLATFORM}/standin/reclaim", json=body
        ) as response:
            response.raise_for_status()
        await asyncio.sleep(KILL_AFTER_S)
        killed, lost = await busiest(session)
        async with session.post(
            f"http://{PLATFORM}/standin/kill", json={"instance": killed}
        ) as response:
            response.raise_for_status()
        await asyncio.to_thread(load.wait, LIMIT_S)
        moved_result, move_code, _ = await move
        await asyncio.sleep(3.5)
        charges, _, _ = await asyncio.to_thread(demo.cli, "charges")
        sums = await counters(session)
    report = json.loads((demo.folder / "report.json").read_text())
    return table(
        demo,
        report,
        sums,
        (victim, streams),
        (killed, lost),
        moved_result,
        move_code,
        charges,
    )


def table(demo, report, sums, reclaimed, killed, moved, move_code, charges):
    """Returns the rows to print and the promises that were broken."""
    workload = demo.folder / "workload.jsonl"
    items = [json.loads(line) for line in workload.read_text().splitlines()]
    once = {
        item["key"]
        for item in items
        if item["kind"] == "service" and item.get("method", "POST") != "GET"
    }
    runs = collections.Counter(demo.run_log.read_text().split())
    doubled = [key for key, count in runs.items() if count > 1]
    accounts = sum(charges["accounts"].values())
    broken = []
    if report["broken"]:
        broken.append(f"{report['broken']} answers not whole")
    if report["unknown"]:
        broken.append(f"{report['unknown']} accepted requests lost")
    if doubled:
        broken.append(f"calls ran twice: {doubled}")
    if move_code:
        broken.append(f"good version not moved: {moved}")
    if accounts != charges["billed_micro"]:
        broken.append("charges do not sum to the bill")
    counted = lambda name: int(sums[f"arbutuswalk_{name}"])  # noqa: E731
    rows = [
        ("requests sent", report["sent"]),
        ("answered whole", report["whole"]),
        ("refused, truly not run", report["refused"]),
        ("reclaimed in mid-stream", f"{reclaimed[0]}, {reclaimed[1]} streams"),
        ("killed without notice", f"{killed[0]}, {killed[1]} streams"),
        ("streams resumed elsewhere", counted("resumed")),
        ("caches moved", counted("caches_moved")),
        ("recomputed tokens", counted("recomputed_tokens")),
        ("first token p95", f"{report['first_token_p95_s'] * 1000:.0f} ms"),
        (
            "between tokens p95",
            f"{report['between_tokens_p95_s'] * 1000:.0f} ms",
        ),
        ("non-repeatable calls sent", len(once)),
        ("non-repeatable calls run", len(runs)),
        ("of these more than once", len(doubled)),
        ("move", "; ".join(moved.get("moves", [str(moved)]))),
        (
            "charges / bill",
            f"{accounts / 1e6:.6f} / {charges['billed_micro'] / 1e6:.6f}",
        ),
    ]
    if report["problems"]:
        rows.append(("notes", "; ".join(report["problems"][:3])))
    rows.append(("broken promises", "; ".join(broken) or "none"))
    return rows, broken


def main():
    """Runs the demo and prints its table."""
    folder = tempfile.mkdtemp(prefix="arbutuswalk-demo-")
    demo = Demo(folder)
    kept = False
    try:
        rows, broken = asyncio.run(run(demo))
        width = max(len(name) for name, _ in rows)
        for name, value in rows:
            print(f"{name:{width}}  {value}")
        kept = bool(broken)
        code = 1 if broken else 0
    except BaseException:
        kept = True
        raise
    finally:
        demo.stop()
        if kept:
            print(f"logs are in {folder}", file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)


if __name__ == "__main__":
    main()
