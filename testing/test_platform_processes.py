"""End-to-end tests of real processes on the platform's interfaces."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys

import aiohttp
import platform_fixtures
import process_fixtures
import pytest
import relay_fixtures

from _arbutuswalk.base import settings

CONFIG_PROPAGATION_S = 2.0
"""Time after its acknowledgement in which a configuration is in force."""


@pytest.fixture
async def cluster(tmp_path):
    new_cluster = platform_fixtures.PlatformCluster(tmp_path)
    new_cluster.session = aiohttp.ClientSession()
    yield new_cluster
    for task in new_cluster.heartbeat_tasks:
        task.cancel()
    await asyncio.gather(*new_cluster.heartbeat_tasks, return_exceptions=True)
    await new_cluster.session.close()
    new_cluster.process_group.stop_all()
    assert new_cluster.unstructured_lines() == []


class TestEndToEnd:
    async def test_requests_configurations_and_lookups(self, cluster):
        await cluster.start_all("/a/")
        for ip in cluster.control_ips:
            url = f"http://{ip}:{cluster.lookups_port}/v1/resolution?name={platform_fixtures.HOST}"

            async def all_entries_resolved(url=url):
                status, data = await cluster.http_request("GET", url)
                return status == 200 and len(json.loads(data)["addresses"]) == 2

            await process_fixtures.wait_until(all_entries_resolved)
        config = platform_fixtures.make_config(5, "/b/")
        assert (
            await cluster.call_control(
                "POST", "/v1/Configuration.Replace", config
            )
        )[0] == 200
        for ip in cluster.entry_ips:
            await cluster.wait_for_status(ip, 404)
            assert (await cluster.send_request(ip, "/b/x"))[0] == 200
        replace = "/v1/Configuration.Replace"
        for path, body, status in (
            (replace, platform_fixtures.make_config(4, "/c/"), 200),
            (
                "/v1/Configuration.Replace",
                platform_fixtures.make_config(6, "/c/", "/c/"),
                400,
            ),
            ("/v1/Rollouts.Begin", {"service": "ops"}, 400),
        ):
            assert (await cluster.call_control("POST", path, body))[0] == status
        for ip in cluster.control_ips:
            status, data = await cluster.call_control(
                "GET", "/v1/Configuration.Read", only_ip=ip
            )
            assert (status, json.loads(data)) == (200, config)

    async def test_version_above_64_bits_is_in_force_at_every_entry(
        self, cluster
    ):
        """Guards against a version that is acknowledged and never in force."""
        await cluster.start_all("/a/")
        version = 20261204205122123456
        for following in (version, version + 1):
            path = f"/v{following}/"
            config = platform_fixtures.make_config(following, "/a/", path)
            status, _ = await cluster.call_control(
                "POST", "/v1/Configuration.Replace", config
            )
            assert status == 200
            await asyncio.sleep(CONFIG_PROPAGATION_S)
            for ip in cluster.entry_ips:
                assert (await cluster.send_request(ip, f"{path}x"))[0] == 200
            status, data = await cluster.call_control(
                "GET", "/v1/Configuration.Read"
            )
            assert json.loads(data) == config

    async def test_first_version_may_be_zero(self, cluster):
        """Guards against a first version that counts as no configuration."""
        await cluster.start_all("/a/", version=0)
        status, data = await cluster.call_control(
            "GET", "/v1/Configuration.Read"
        )
        assert status == 200
        assert json.loads(data) == platform_fixtures.make_config(0, "/a/")

    async def test_no_request_runs_after_the_last_key_was_taken_away(
        self, cluster
    ):
        """Guards against a check of keys that ends with the last key."""
        await cluster.start_all("/a/")
        config = platform_fixtures.make_config(3, "/a/")
        config["tenants"][0]["api_keys"] = []
        status, _ = await cluster.call_control(
            "POST", "/v1/Configuration.Replace", config
        )
        assert status == 200
        await asyncio.sleep(CONFIG_PROPAGATION_S)
        arrival_count = len(cluster.endpoint.request_heads)
        for ip in cluster.entry_ips:
            for key in ("key", "unknown", ""):
                answer = await cluster.send_request(ip, headers={"X-Key": key})
                assert answer[0] == 401
        assert len(cluster.endpoint.request_heads) == arrival_count

    async def test_draining_endpoint_gets_no_requests(self, cluster):
        await cluster.start_all("/a/")
        cluster.heartbeat["state"] = "draining"
        for ip in cluster.entry_ips:
            await cluster.wait_for_status(ip, 503)
        arrival_count = len(cluster.endpoint.request_heads)
        for ip in cluster.entry_ips:
            assert (await cluster.send_request(ip))[0] == 503
        assert len(cluster.endpoint.request_heads) == arrival_count


class TestMetrics:
    async def test_both_programs_serve_metrics(self, cluster):
        await cluster.start_all("/a/")
        for ip, expected in (
            (cluster.entry_ips[0], b"arbutuswalk_answered"),
            (cluster.control_ips[0], b"arbutuswalk_watches"),
        ):
            status, data = await cluster.http_request(
                "GET", f"http://{ip}:9464/metrics"
            )
            assert status == 200
            assert expected in data


class TestCommandLine:
    async def test_commands_show_the_routing_state(self, cluster):
        await cluster.start_all("/a/")
        script = pathlib.Path(sys.executable).parent / "arbutuswalk"
        control_addresses = ",".join(
            f"{ip}:{cluster.internal_port}" for ip in cluster.control_ips
        )
        for command, expected in (
            ("status", "voters"),
            ("routes", "r0: h.example/a/ idempotent to ops 1, 3 s"),
            ("endpoints", "i-1: ops v1 ready at"),
            ("rollouts", "no rollouts"),
            ("usage", "window"),
        ):
            result = await asyncio.to_thread(
                subprocess.run,
                [script, command, "--control", control_addresses],
                capture_output=True,
                text=True,
                check=False,
            )
            assert result.returncode == 0, result.stderr
            assert expected in result.stdout


class TestLosses:
    async def test_acknowledged_configurations_survive_losses(self, cluster):
        """Kills all control processes at once; one also loses its disk."""
        await cluster.start_all("/a/")
        for version in (3, 4, 5):
            config = platform_fixtures.make_config(
                version, "/a/", f"/v{version}/"
            )
            status, _ = await cluster.call_control(
                "POST", "/v1/Configuration.Replace", config
            )
            assert status == 200
            for ip in cluster.control_ips:
                cluster.kill(ip)
            for ip in cluster.entry_ips:
                assert (await cluster.send_request(ip))[0] == 200
            if version == 4:
                shutil.rmtree(cluster.folder / cluster.control_ips[0])
            for ip in cluster.control_ips:
                cluster.start_control(ip)
            status, data = await cluster.call_control(
                "GET", "/v1/Configuration.Read"
            )
            assert json.loads(data) == config
        for ip in cluster.entry_ips:
            await cluster.wait_for_status(ip, 200, "/v5/x")

    async def test_stopped_entry_completes_its_requests(self, cluster):
        await cluster.start_all("/a/")
        slow = relay_fixtures.ScriptedEndpoint(name="i-2")

        async def slow_step(head, writer):
            await asyncio.sleep(1.0)
            await relay_fixtures.send_answer(b"slow")(head, writer)

        slow.steps = cluster.endpoint.steps = [slow_step] * 20
        ip = cluster.entry_ips[0]
        request_task = asyncio.ensure_future(cluster.send_request(ip))
        while not cluster.endpoint.request_heads[1:]:
            await asyncio.sleep(0.02)
        cluster.processes[ip].send_signal(signal.SIGTERM)

        async def is_unready():
            url = f"http://{ip}:{cluster.readiness_port}/v1/readiness"
            return (await cluster.http_request("GET", url))[0] == 503

        await process_fixtures.wait_until(is_unready)
        assert (await request_task)[0] == 200
        assert cluster.processes[ip].wait(process_fixtures.STOP_TIMEOUT_S) == 0

    async def test_cluster_recovers_when_all_processes_are_killed(
        self, cluster
    ):
        await cluster.start_all("/a/")
        for ip in [*cluster.control_ips, *cluster.entry_ips]:
            cluster.kill(ip)
        for ip in cluster.control_ips:
            cluster.start_control(ip)
        for ip in cluster.entry_ips:
            cluster.start_entry(ip)
        for ip in cluster.entry_ips:
            await cluster.wait_for_status(ip, 200)


class TestReload:
    @pytest.mark.parametrize("program", ["entry.py", "control.py"])
    def test_reload_during_startup_does_not_end_the_process(
        self, tmp_path, program
    ):
        """SIGHUP during startup must not terminate the process.

        The process still waits for its settings, which come through a pipe.
        Regression test for soak seeds 1016, 1017, 1027, 1029 and 1036.
        """
        path = tmp_path / "settings.toml"
        os.mkfifo(path)
        process = subprocess.Popen(
            [
                sys.executable,
                str(platform_fixtures.ROOT / "platform" / program),
            ],
            env={**os.environ, "ARBUTUSWALK_CONFIG": str(path)},
            stderr=subprocess.DEVNULL,
        )
        with path.open("w") as pipe:
            process.send_signal(signal.SIGHUP)
            pipe.write("not toml")
        assert (
            process.wait(process_fixtures.STOP_TIMEOUT_S)
            == settings.EXIT_BAD_SETTINGS
        )
