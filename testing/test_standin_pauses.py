"""Pauses that the stand-ins ask for, as entries of the platform read them."""

import json

import asgi
import pytest
from arbutuswalk_platform import headers

from _arbutuswalk.base import settings
from _arbutuswalk.standin import runner
from _arbutuswalk.standin import service

VALUES = {
    "id": "u",
    "address": "127.0.0.1:1",
    "entries": ["127.0.0.1:2"],
    "upstream": "model",
    "version": "v1",
    "instance": "i",
    "domain": "d1",
    "instance_class": "c",
}


def make_runner():
    values = settings.check(VALUES, runner.FIELDS, where="runner")
    return runner.Runner(values=values)


def make_service(tmp_path):
    values = {**VALUES, "run_log": str(tmp_path / "runs")}
    checked = settings.check(values, service.FIELDS, where="service")
    return service.Service(values=checked)


async def ask_for_pause(standin, pause_s):
    body = json.dumps({"pause_s": pause_s}).encode()
    app = standin.server.config.app
    reply = await asgi.call(app, "POST", "/standin/faults", body=body)
    assert reply.status == 200


class TestPauses:
    @pytest.mark.parametrize("kind", ["runner", "service"])
    @pytest.mark.parametrize("pause_s", [3, 0.25])
    async def test_a_request_is_turned_away_with_the_pause(
        self, tmp_path, kind, pause_s
    ):
        standin = make_runner() if kind == "runner" else make_service(tmp_path)
        await ask_for_pause(standin, pause_s)
        body = json.dumps({"model": "m", "prompt": "p"}).encode()
        answer = await asgi.call(
            standin.server.config.app,
            "POST",
            "/v1/completions",
            headers={"X-Attempt-Id": "a"},
            body=body,
        )
        pairs = [(k.encode(), v.encode()) for k, v in answer.headers.items()]
        reply = headers.interpret_response(answer.status, pairs)
        assert answer.status == 503
        assert reply.pause_s == pause_s
        assert reply.answered_id == "a"
