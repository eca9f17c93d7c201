"""The whole path on the platform's interfaces, as real processes."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys

import aiohttp
import platform_world
import process_fixtures
import pytest
import relays

from _arbutuswalk.base import settings


@pytest.fixture
async def world(tmp_path):
    found = platform_world.World(tmp_path)
    found.session = aiohttp.ClientSession()
    yield found
    for task in found.beating:
        task.cancel()
    await asyncio.gather(*found.beating, return_exceptions=True)
    await found.session.close()
    found.group.end()


class TestWholePath:
    async def test_requests_configurations_and_lookups(self, world):
        await world.begin("/a/")
        for ip in world.controls:
            url = f"http://{ip}:{world.lookups}/v1/resolution?name={platform_world.HOST}"

            async def both(url=url):
                status, data = await world.call("GET", url)
                return status == 200 and len(json.loads(data)["addresses"]) == 2

            await process_fixtures.wait_until(both)
        changed = platform_world.config(5, "/b/")
        assert (
            await world.operate("POST", "/v1/Configuration.Replace", changed)
        )[0] == 200
        for ip in world.entries:
            await world.until_status(ip, 404)
            assert (await world.ask(ip, "/b/x"))[0] == 200
        replace = "/v1/Configuration.Replace"
        for path, body, status in (
            (replace, platform_world.config(4, "/c/"), 200),
            (
                "/v1/Configuration.Replace",
                platform_world.config(6, "/c/", "/c/"),
                400,
            ),
            ("/v1/Rollouts.Begin", {"service": "ops"}, 400),
        ):
            assert (await world.operate("POST", path, body))[0] == status
        for ip in world.controls:
            status, data = await world.operate(
                "GET", "/v1/Configuration.Read", only=ip
            )
            assert (status, json.loads(data)) == (200, changed)

    async def test_a_leaving_endpoint_gets_nothing_once_acknowledged(
        self, world
    ):
        await world.begin("/a/")
        world.beat["state"] = "draining"
        for ip in world.entries:
            await world.until_status(ip, 503)
        arrived = len(world.endpoint.heads)
        for ip in world.entries:
            assert (await world.ask(ip))[0] == 503
        assert len(world.endpoint.heads) == arrived


class TestMetrics:
    async def test_both_programs_serve_their_counters(self, world):
        await world.begin("/a/")
        for ip, part in (
            (world.entries[0], b"arbutuswalk_answered"),
            (world.controls[0], b"arbutuswalk_watches"),
        ):
            status, data = await world.call("GET", f"http://{ip}:9464/metrics")
            assert status == 200
            assert part in data


class TestCommandLine:
    async def test_it_shows_what_requests_go_by(self, world):
        await world.begin("/a/")
        binary = pathlib.Path(sys.executable).parent / "arbutuswalk"
        control = ",".join(f"{ip}:{world.link}" for ip in world.controls)
        for command, part in (
            ("status", "voters"),
            ("routes", "r0: h.example/a/ idempotent to ops 1, 3 s"),
            ("endpoints", "i-1: ops v1 ready at"),
            ("rollouts", "no rollouts"),
            ("usage", "window"),
        ):
            done = await asyncio.to_thread(
                subprocess.run,
                [binary, command, "--control", control],
                capture_output=True,
                text=True,
                check=False,
            )
            assert done.returncode == 0, done.stderr
            assert part in done.stdout


class TestLosses:
    async def test_acknowledged_configurations_survive_losses(self, world):
        """Kills all of control at once, then one loses its disk."""
        await world.begin("/a/")
        for version in (3, 4, 5):
            changed = platform_world.config(version, "/a/", f"/v{version}/")
            status, _ = await world.operate(
                "POST", "/v1/Configuration.Replace", changed
            )
            assert status == 200
            for ip in world.controls:
                world.kill(ip)
            for ip in world.entries:
                assert (await world.ask(ip))[0] == 200
            if version == 4:
                shutil.rmtree(world.folder / world.controls[0])
            for ip in world.controls:
                world.start_control(ip)
            status, data = await world.operate("GET", "/v1/Configuration.Read")
            assert json.loads(data) == changed
        for ip in world.entries:
            await world.until_status(ip, 200, "/v5/x")

    async def test_a_stopped_entry_serves_out_what_it_has(self, world):
        await world.begin("/a/")
        slow = relays.Endpoint(name="i-2")

        async def step(head, writer):
            await asyncio.sleep(1.0)
            await relays.answer(b"slow")(head, writer)

        slow.steps = world.endpoint.steps = [step] * 20
        ip = world.entries[0]
        asking = asyncio.ensure_future(world.ask(ip))
        while not world.endpoint.heads[1:]:
            await asyncio.sleep(0.02)
        world.running[ip].send_signal(signal.SIGTERM)

        async def unready():
            url = f"http://{ip}:{world.readiness}/v1/readiness"
            return (await world.call("GET", url))[0] == 503

        await process_fixtures.wait_until(unready)
        assert (await asking)[0] == 200
        assert world.running[ip].wait(process_fixtures.STOP_S) == 0

    async def test_all_processes_at_once_serve_again(self, world):
        await world.begin("/a/")
        for ip in [*world.controls, *world.entries]:
            world.kill(ip)
        for ip in world.controls:
            world.start_control(ip)
        for ip in world.entries:
            world.start_entry(ip)
        for ip in world.entries:
            await world.until_status(ip, 200)


class TestReload:
    @pytest.mark.parametrize("program", ["entry.py", "control.py"])
    def test_a_reload_during_the_start_does_not_end_it(self, tmp_path, program):
        """Found by the soak, seeds 1016, 1017, 1027, 1029 and 1036.

        The process waits for its settings, which come through a pipe.
        """
        path = tmp_path / "settings.toml"
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, str(platform_world.ROOT / "platform" / program)],
            env={**os.environ, "ARBUTUSWALK_CONFIG": str(path)},
            stderr=subprocess.DEVNULL,
        )
        with path.open("w") as pipe:
            process.send_signal(signal.SIGHUP)
            pipe.write("not toml")
        assert (
            process.wait(process_fixtures.STOP_S) == settings.EXIT_BAD_SETTINGS
        )
