"""Real processes: kill -9 under load, freezes, lost disks, drains."""

import asyncio
import collections
import json
import random
import shutil
import signal

import aiohttp
import entry_fixtures
import processes

from _arbutuswalk.entry import control_client
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes

TIMEOUT_S = 20.0
LANES = 4
"""Callers at the same time."""


HEADERS = processes.HEADERS


async def claim(session, address, key):
    """Sends one claim; returns what the caller learns."""
    headers = {**HEADERS, "Idempotency-Key": key, "X-Deadline-Ms": "8000"}
    try:
        async with session.post(
            f"http://{address}/v1/services/claims/claims",
            data=key,
            headers=headers,
        ) as response:
            body = json.loads(await response.read())
            if response.status == 200:
                return "done"
            return body.get("ran", "broken")
    except (aiohttp.ClientError, OSError, ValueError):
        return "unknown"


class TestKills:
    async def test_acknowledged_changes_and_calls_survive_kills(  # noqa: PLR0915
        self, world
    ):
        """Kills each kind of process at random points under load."""
        rng = random.Random(20261203)
        await world.begin()
        for i in range(2):
            world.start_upstream(
                i, "service", "claims", run_log=str(world.run_log)
            )
        await processes.until(world.in_force)
        acked = []
        learnt = collections.defaultdict(set)
        stop, healed = asyncio.Event(), asyncio.Event()
        served_after = set()

        async def write():
            number = 0
            while not stop.is_set():
                number += 1
                name = f"probe-{number}"
                outcome = await world.submit(
                    commands.RegisterEntry(name, 1, "a", "l", "d", 1, "r")
                )
                if isinstance(outcome, outcomes.Accepted):
                    acked.append(name)

        async def call(lane):
            async with aiohttp.ClientSession() as session:
                number = 0
                while not stop.is_set():
                    number += 1
                    key = f"{lane}-{number}"
                    for _ in range(3):
                        address = rng.choice(world.entries[:2])
                        said = await claim(session, address, key)
                        learnt[key].add(said)
                        if said == "done":
                            if healed.is_set():
                                served_after.add(lane)
                            break

        async def break_things():
            for _ in range(6):
                await asyncio.sleep(rng.uniform(0.3, 1.0))
                kind = rng.choice(["control", "control", "entry", "u"])
                i = rng.randrange(3 if kind == "control" else 2)
                name = f"{kind}{i}" if kind == "u" else f"{kind}-{i}"
                world.group.kill(name)
                await asyncio.sleep(rng.uniform(0.1, 0.6))
                if kind == "control":
                    world.start_control(i)
                elif kind == "entry":
                    world.start_entry(i)
                else:
                    world.start_upstream(
                        i, "service", "claims", run_log=str(world.run_log)
                    )
            healed.set()
            await processes.until(enough)
            stop.set()

        async def enough():
            """Every lane is served again, and enough calls were done."""
            done = [key for key, said in learnt.items() if "done" in said]
            return len(served_after) == LANES and len(done) > 20

        await asyncio.gather(
            write(), *(call(lane) for lane in range(LANES)), break_things()
        )
        await processes.until(world.status)
        known = await world.read("entries")
        assert [name for name in acked if name not in known] == []
        assert len(acked) > 20
        runs = collections.Counter(world.run_log.read_text().split())
        assert [key for key, count in runs.items() if count > 1] == []
        done = {key for key, said in learnt.items() if "done" in said}
        assert done <= set(runs)
        never = {key for key, said in learnt.items() if said == {"no"}}
        assert not never & set(runs)
        assert len(done) > 20

    async def test_lost_disk_is_made_good_and_a_second_loss_survived(
        self, world
    ):
        await world.begin(entries=0)
        for i in (0, 1):
            before = (await world.status())["voter_ids"]
            old = next(v for v in before if v.startswith(world.control[i]))
            world.group.kill(f"control-{i}")
            shutil.rmtree(world.group.folder / f"data-{i}")
            world.start_control(i)

            async def repaired(old=old):
                """The same address, but a member with a new disk."""
                found = await world.whole_group()
                return found and old not in found["voter_ids"]

            await processes.until(repaired)
        assert (await world.status())["revision"] == 1

    async def test_lost_majority_refuses_and_says_so(self, world):
        await world.begin(entries=0)
        world.group.kill("control-0")
        world.group.kill("control-1")
        client = control_client.ControlClient(addresses=world.control)
        outcome = await client.submit(
            commands.Apply("second", "test", 1, entry_fixtures.INVENTORY),
            timeout_s=3.0,
        )
        await client.stop()
        assert isinstance(outcome, control_client.Unreachable)
        world.start_control(0)
        world.start_control(1)
        await processes.until(world.whole_group)
        again = await world.submit(
            commands.Apply("second", "test", 1, entry_fixtures.INVENTORY)
        )
        assert isinstance(again, outcomes.Accepted)

    async def test_second_process_on_a_folder_exits(self, world):
        await world.begin(entries=0)
        other = world.group.start(
            "twin",
            "arbutuswalk-control",
            {
                "id": "twin",
                "address": world.others[0],
                "data": str(world.group.folder / "data-0"),
                "peers": world.control,
            },
        )
        code = await asyncio.to_thread(other.wait, TIMEOUT_S)
        assert code == 3
        log = (world.group.folder / "twin.log").read_text()
        assert "in use by another process" in log


class TestFreezes:
    async def test_frozen_leader_is_replaced_and_reverts_nothing(self, world):
        await world.begin()
        await processes.until(world.in_force)
        leader = (await world.status())["leader"]
        name = f"control-{world.control.index(leader)}"
        world.group.freeze(name)
        outcome = await world.submit(
            commands.Apply("second", "test", 1, entry_fixtures.INVENTORY)
        )
        assert outcome == outcomes.Accepted(revision=2)
        world.group.thaw(name)
        for _ in range(20):
            assert (await world.status())["revision"] == 2
            await asyncio.sleep(0.05)

    async def test_frozen_entry_admits_nothing_after_its_lease(self, world):
        await world.begin()
        await processes.until(world.in_force)
        world.group.freeze("entry-0")

        async def gone():
            found = await world.read("entries")
            if not isinstance(found, dict):
                return False
            return found["entry-0"]["state"] == "gone"

        await processes.until(gone)
        outcome = await world.submit(
            commands.Apply("second", "test", 1, entry_fixtures.INVENTORY)
        )
        assert outcome == outcomes.Accepted(revision=2)
        world.group.thaw("entry-0")
        seen = set()
        async with aiohttp.ClientSession() as session:
            for _ in range(40):
                url = f"http://{world.entries[0]}/v1/entries"
                async with session.get(url) as response:
                    seen.add((await response.json())["revision"])
                await asyncio.sleep(0.05)
        assert seen <= {1, 2}
        assert 2 in seen


class TestStreamsOverProcesses:
    async def test_entry_killed_in_mid_stream_is_resumed_elsewhere(self, world):
        await world.begin(entries=3)
        world.start_upstream(3, "runner", "model", token_s=0.05)
        await processes.until(world.in_force)
        body = {
            "model": "model",
            "prompt": "ref:killed",
            "max_tokens": 60,
            "stream": True,
        }
        async with aiohttp.ClientSession() as session:

            async def serving():
                for address in world.entries:
                    url = f"http://{address}/v1/completions"
                    probe = {**body, "max_tokens": 1, "stream": False}
                    async with session.post(
                        url, json=probe, headers=HEADERS
                    ) as response:
                        if response.status != 200:
                            return False
                return True

            await processes.until(serving)
            events = await read_events(session, world.entries[0], body, 20)
            assert len(events) >= 20
            world.group.kill("entry-0")
            last = events[-1].split(b"\n")[0].removeprefix(b"id: ").decode()
            rest = await read_events(
                session, world.entries[1], body, None, last
            )
        if rest[0].startswith(b"event: reset"):
            events, rest = [], rest[1:]
        words = [word_of(event) for event in events + rest]
        tokens = [word.rsplit(".", 2) for word in words if word]
        assert [int(place) for _, _, place in tokens] == list(range(60))
        assert {ref for ref, _, _ in tokens} == {"killed"}
        assert len({nonce for _, nonce, _ in tokens}) == 1

    async def test_drain_cuts_no_request(self, world):
        await world.begin()
        world.start_upstream(3, "runner", "model", token_s=0.05)
        await processes.until(world.in_force)
        body = {
            "model": "model",
            "prompt": "ref:drained",
            "max_tokens": 60,
            "stream": True,
        }
        async with aiohttp.ClientSession() as session:

            async def first_events():
                return await read_events(session, world.entries[0], body, 1)

            await processes.until(first_events)
            reading = asyncio.ensure_future(
                read_events(session, world.entries[0], body, None)
            )
            await asyncio.sleep(0.5)
            process = world.group.running["entry-0"]
            process.send_signal(signal.SIGTERM)

            async def left_the_list():
                url = f"http://{world.entries[1]}/v1/entries"
                async with session.get(url) as response:
                    listed = (await response.json())["entries"]
                addresses = [row["address"] for row in listed]
                return world.entries[0] not in addresses

            await processes.until(left_the_list)
            events = await reading
        assert events[-1].endswith(b"data: [DONE]")
        assert await asyncio.to_thread(process.wait, TIMEOUT_S) == 0


async def read_events(session, address, body, most, last=None):
    """Reads a stream's events, all or the first ``most``."""
    headers = dict(HEADERS)
    if last:
        headers["Last-Event-ID"] = last
    events, rest = [], b""
    async with session.post(
        f"http://{address}/v1/completions", json=body, headers=headers
    ) as response:
        if response.status != 200:
            return []
        async for chunk in response.content.iter_any():
            *found, rest = (rest + chunk).split(b"\n\n")
            events += [e for e in found if not e.startswith(b":")]
            if most is not None and len(events) >= most:
                return events
    return events


def word_of(event):
    """Returns the token an event carries, or an empty string."""
    data = event.rpartition(b"data: ")[2]
    if not data.startswith(b"{"):
        return ""
    choices = json.loads(data)["choices"]
    return choices[0]["text"].strip() if choices else ""
