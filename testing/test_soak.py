"""A short soak with a fixed seed, and what its checks have to catch."""

import pytest
from soak import callers
from soak import checks
from soak import runners
from soak import soak

NET = 201
SECONDS = 6.0


class TestShortSoak:
    @pytest.mark.parametrize("seed", [20261204, 1036])
    async def test_promises_hold_under_faults(self, tmp_path, seed):
        made = soak.Soak(folder=tmp_path, seed=seed, net=NET)
        assert await made.run(SECONDS) == []
        assert any(each.status == 200 for each in made.tried)


ASKED = runners.asked_for("GET", "/a/x?n=c", b"")
RIGHT = runners.answer_to("c", ASKED)


def tried(kind="idempotent", status=200, body=RIGHT, complete=True):
    return callers.Tried("c", kind, ASKED, "e", status, body, complete, 0.0)


def run(asked=ASKED, endpoint="i", at=1.0):
    return runners.Run("c", asked, endpoint, at)


class TestChecks:
    def test_what_is_right_passes(self):
        assert checks.broken([tried()], [run()], []) == []
        whole = runners.whole_stream("c")
        assert checks.broken([tried("stream", body=whole)], [run()], []) == []

    @pytest.mark.parametrize(
        ("attempt", "runs"),
        [
            pytest.param(tried(body=b"other"), [run()], id="mixed"),
            pytest.param(tried(body=RIGHT[:-1]), [run()], id="cut-as-whole"),
            pytest.param(tried("once"), [run(), run()], id="twice"),
            pytest.param(
                tried("once", status=503, body=b""), [run()], id="refused-ran"
            ),
            pytest.param(tried(), [run(asked="GET /b x")], id="unasked"),
            pytest.param(tried(status=404), [], id="denied"),
            pytest.param(
                tried("stream", body=runners.event("c", 2)), [run()], id="gap"
            ),
            pytest.param(
                tried("stream", body=runners.event("c", 1)),
                [run()],
                id="short-stream-as-whole",
            ),
        ],
    )
    def test_what_is_broken_is_told(self, attempt, runs):
        assert checks.broken([attempt], runs, [])

    def test_arrivals_after_leaving_are_told(self):
        leaving = [("i", 0.5, 2.0)]
        assert checks.broken([tried()], [run()], leaving)
        assert checks.broken([tried()], [run(at=0.4)], leaving) == []
