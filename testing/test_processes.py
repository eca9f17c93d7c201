"""Tests on real processes: kill -9 under load, freezes, lost disks, drains."""

import asyncio
import collections
import json
import random
import shutil
import signal

import aiohttp
import entry_fixtures
import process_fixtures

from _arbutuswalk.entry import control_client
from _arbutuswalk.state import commands
from _arbutuswalk.state import outcomes

EXIT_TIMEOUT_S = 20.0
CALLER_COUNT = 4
"""Concurrent callers."""


CALLER_HEADERS = process_fixtures.CALLER_HEADERS


async def submit_claim(session, address, key):
    """Sends one claim; returns its outcome as known to the caller."""
    headers = {
        **CALLER_HEADERS,
        "Idempotency-Key": key,
        "X-Deadline-Ms": "8000",
    }
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
        self, cluster
    ):
        """Kills processes of every kind at random times under load."""
        rng = random.Random(20261203)
        await cluster.start_all()
        for i in range(2):
            cluster.start_upstream(
                i, "service", "claims", run_log=str(cluster.run_log)
            )
        await process_fixtures.wait_until(cluster.routes_in_force)
        acked_names = []
        outcomes_by_key = collections.defaultdict(set)
        stop, faults_ended = asyncio.Event(), asyncio.Event()
        callers_served_after_faults = set()

        async def register_entries():
            number = 0
            while not stop.is_set():
                number += 1
                name = f"probe-{number}"
                outcome = await cluster.submit(
                    commands.RegisterEntry(name, 1, "a", "l", "d", 1, "r")
                )
                if isinstance(outcome, outcomes.Accepted):
                    acked_names.append(name)

        async def send_claims(caller):
            async with aiohttp.ClientSession() as session:
                number = 0
                while not stop.is_set():
                    number += 1
                    key = f"{caller}-{number}"
                    for _ in range(3):
                        address = rng.choice(cluster.entry_addresses[:2])
                        claim_outcome = await submit_claim(
                            session, address, key
                        )
                        outcomes_by_key[key].add(claim_outcome)
                        if claim_outcome == "done":
                            if faults_ended.is_set():
                                callers_served_after_faults.add(caller)
                            break

        async def inject_faults():
            for _ in range(6):
                await asyncio.sleep(rng.uniform(0.3, 1.0))
                kind = rng.choice(["control", "control", "entry", "u"])
                i = rng.randrange(3 if kind == "control" else 2)
                name = f"{kind}{i}" if kind == "u" else f"{kind}-{i}"
                cluster.process_group.kill(name)
                await asyncio.sleep(rng.uniform(0.1, 0.6))
                if kind == "control":
                    cluster.start_control(i)
                elif kind == "entry":
                    cluster.start_entry(i)
                else:
                    cluster.start_upstream(
                        i, "service", "claims", run_log=str(cluster.run_log)
                    )
            faults_ended.set()
            await process_fixtures.wait_until(enough_calls_completed)
            stop.set()

        async def enough_calls_completed():
            """Every caller is served again and more than 20 calls are done."""
            done_keys = [
                key
                for key, claim_outcomes in outcomes_by_key.items()
                if "done" in claim_outcomes
            ]
            return (
                len(callers_served_after_faults) == CALLER_COUNT
                and len(done_keys) > 20
            )

        await asyncio.gather(
            register_entries(),
            *(send_claims(caller) for caller in range(CALLER_COUNT)),
            inject_faults(),
        )
        await process_fixtures.wait_until(cluster.status)
        registered_names = await cluster.read("entries")
        assert [
            name for name in acked_names if name not in registered_names
        ] == []
        assert len(acked_names) > 20
        run_counts = collections.Counter(cluster.run_log.read_text().split())
        assert [key for key, count in run_counts.items() if count > 1] == []
        done_keys = {
            key
            for key, claim_outcomes in outcomes_by_key.items()
            if "done" in claim_outcomes
        }
        assert done_keys <= set(run_counts)
        keys_refused_unexecuted = {
            key
            for key, claim_outcomes in outcomes_by_key.items()
            if claim_outcomes == {"no"}
        }
        assert not keys_refused_unexecuted & set(run_counts)
        assert len(done_keys) > 20

    async def test_lost_disk_is_replaced_and_a_second_loss_survived(
        self, cluster
    ):
        await cluster.start_all(entry_count=0)
        for i in (0, 1):
            previous_voter_ids = (await cluster.status())["voter_ids"]
            previous_voter_id = next(
                voter_id
                for voter_id in previous_voter_ids
                if voter_id.startswith(cluster.control_addresses[i])
            )
            cluster.process_group.kill(f"control-{i}")
            shutil.rmtree(cluster.process_group.folder / f"data-{i}")
            cluster.start_control(i)

            async def is_repaired(previous_voter_id=previous_voter_id):
                """The group is full without the member id of the lost disk."""
                status = await cluster.full_group_status()
                return status and previous_voter_id not in status["voter_ids"]

            await process_fixtures.wait_until(is_repaired)
        assert (await cluster.status())["revision"] == 1

    async def test_lost_majority_refuses_commands(self, cluster):
        await cluster.start_all(entry_count=0)
        cluster.process_group.kill("control-0")
        cluster.process_group.kill("control-1")
        client = control_client.ControlClient(
            addresses=cluster.control_addresses
        )
        outcome = await client.submit(
            commands.Apply("second", "test", 1, entry_fixtures.INVENTORY),
            timeout_s=3.0,
        )
        await client.stop()
        assert isinstance(outcome, control_client.Unreachable)
        cluster.start_control(0)
        cluster.start_control(1)
        await process_fixtures.wait_until(cluster.full_group_status)
        retried = await cluster.submit(
            commands.Apply("second", "test", 1, entry_fixtures.INVENTORY)
        )
        assert isinstance(retried, outcomes.Accepted)

    async def test_second_process_on_a_data_folder_exits(self, cluster):
        await cluster.start_all(entry_count=0)
        second_process = cluster.process_group.start(
            "twin",
            "arbutuswalk-control",
            {
                "id": "twin",
                "address": cluster.upstream_addresses[0],
                "data": str(cluster.process_group.folder / "data-0"),
                "peers": cluster.control_addresses,
            },
        )
        exit_code = await asyncio.to_thread(second_process.wait, EXIT_TIMEOUT_S)
        assert exit_code == 3
        log = (cluster.process_group.folder / "twin.log").read_text()
        assert "in use by another process" in log


class TestFreezes:
    async def test_frozen_leader_is_replaced_and_reverts_nothing(self, cluster):
        await cluster.start_all()
        await process_fixtures.wait_until(cluster.routes_in_force)
        leader = (await cluster.status())["leader"]
        leader_name = f"control-{cluster.control_addresses.index(leader)}"
        cluster.process_group.freeze(leader_name)
        outcome = await cluster.submit(
            commands.Apply("second", "test", 1, entry_fixtures.INVENTORY)
        )
        assert outcome == outcomes.Accepted(revision=2)
        cluster.process_group.resume(leader_name)
        for _ in range(20):
            assert (await cluster.status())["revision"] == 2
            await asyncio.sleep(0.05)

    async def test_frozen_entry_admits_nothing_after_its_lease(self, cluster):
        await cluster.start_all()
        await process_fixtures.wait_until(cluster.routes_in_force)
        cluster.process_group.freeze("entry-0")

        async def entry_is_gone():
            entries = await cluster.read("entries")
            if not isinstance(entries, dict):
                return False
            return entries["entry-0"]["state"] == "gone"

        await process_fixtures.wait_until(entry_is_gone)
        outcome = await cluster.submit(
            commands.Apply("second", "test", 1, entry_fixtures.INVENTORY)
        )
        assert outcome == outcomes.Accepted(revision=2)
        cluster.process_group.resume("entry-0")
        revisions = set()
        async with aiohttp.ClientSession() as session:
            for _ in range(40):
                url = f"http://{cluster.entry_addresses[0]}/v1/entries"
                async with session.get(url) as response:
                    revisions.add((await response.json())["revision"])
                await asyncio.sleep(0.05)
        assert revisions <= {1, 2}
        assert 2 in revisions


class TestStreams:
    async def test_stream_of_a_killed_entry_is_resumed_at_another(
        self, cluster
    ):
        await cluster.start_all(entry_count=3)
        cluster.start_upstream(3, "runner", "model", token_s=0.05)
        await process_fixtures.wait_until(cluster.routes_in_force)
        body = {
            "model": "model",
            "prompt": "ref:killed",
            "max_tokens": 60,
            "stream": True,
        }
        async with aiohttp.ClientSession() as session:

            async def all_entries_serve():
                for address in cluster.entry_addresses:
                    url = f"http://{address}/v1/completions"
                    probe_body = {**body, "max_tokens": 1, "stream": False}
                    async with session.post(
                        url, json=probe_body, headers=CALLER_HEADERS
                    ) as response:
                        if response.status != 200:
                            return False
                return True

            await process_fixtures.wait_until(all_entries_serve)
            events = await read_events(
                session, cluster.entry_addresses[0], body, 20
            )
            assert len(events) >= 20
            cluster.process_group.kill("entry-0")
            last_event_id = (
                events[-1].split(b"\n")[0].removeprefix(b"id: ").decode()
            )
            resumed_events = await read_events(
                session, cluster.entry_addresses[1], body, None, last_event_id
            )
        if resumed_events[0].startswith(b"event: reset"):
            events, resumed_events = [], resumed_events[1:]
        texts = [token_of(event) for event in events + resumed_events]
        tokens = [text.rsplit(".", 2) for text in texts if text]
        assert [int(position) for _, _, position in tokens] == list(range(60))
        assert {ref for ref, _, _ in tokens} == {"killed"}
        assert len({nonce for _, nonce, _ in tokens}) == 1

    async def test_drain_interrupts_no_request(self, cluster):
        await cluster.start_all()
        cluster.start_upstream(3, "runner", "model", token_s=0.05)
        await process_fixtures.wait_until(cluster.routes_in_force)
        body = {
            "model": "model",
            "prompt": "ref:drained",
            "max_tokens": 60,
            "stream": True,
        }
        async with aiohttp.ClientSession() as session:

            async def first_events():
                return await read_events(
                    session, cluster.entry_addresses[0], body, 1
                )

            await process_fixtures.wait_until(first_events)
            read_task = asyncio.ensure_future(
                read_events(session, cluster.entry_addresses[0], body, None)
            )
            await asyncio.sleep(0.5)
            process = cluster.process_group.processes["entry-0"]
            process.send_signal(signal.SIGTERM)

            async def is_unlisted():
                url = f"http://{cluster.entry_addresses[1]}/v1/entries"
                async with session.get(url) as response:
                    listed_entries = (await response.json())["entries"]
                addresses = [row["address"] for row in listed_entries]
                return cluster.entry_addresses[0] not in addresses

            await process_fixtures.wait_until(is_unlisted)
            events = await read_task
        assert events[-1].endswith(b"data: [DONE]")
        assert await asyncio.to_thread(process.wait, EXIT_TIMEOUT_S) == 0


async def read_events(session, address, body, min_events, last_event_id=None):
    """Reads a stream until ``min_events`` have arrived; None reads all."""
    headers = dict(CALLER_HEADERS)
    if last_event_id:
        headers["Last-Event-ID"] = last_event_id
    events, partial = [], b""
    async with session.post(
        f"http://{address}/v1/completions", json=body, headers=headers
    ) as response:
        if response.status != 200:
            return []
        async for chunk in response.content.iter_any():
            *complete_events, partial = (partial + chunk).split(b"\n\n")
            events += [
                complete_event
                for complete_event in complete_events
                if not complete_event.startswith(b":")
            ]
            if min_events is not None and len(events) >= min_events:
                return events
    return events


def token_of(event):
    """Returns the token of an event, or an empty string."""
    data = event.rpartition(b"data: ")[2]
    if not data.startswith(b"{"):
        return ""
    choices = json.loads(data)["choices"]
    return choices[0]["text"].strip() if choices else ""
