"""Short soaks with fixed seeds, and tests of the invariant checks."""

import pytest
from soak import callers
from soak import checks
from soak import endpoints
from soak import soak

DURATION_S = 6.0


class TestShortSoak:
    @pytest.mark.parametrize("seed", [20261204, 1036])
    async def test_invariants_hold_under_faults(self, tmp_path, seed):
        soak_run = soak.Soak(folder=tmp_path, seed=seed)
        assert await soak_run.run(DURATION_S) == []
        assert any(attempt.status == 200 for attempt in soak_run.attempts)


SIGNATURE = endpoints.request_signature("GET", "/a/x?n=c", b"")
EXPECTED_BODY = endpoints.expected_body("c", SIGNATURE)


def make_attempt(
    kind="idempotent", status=200, body=EXPECTED_BODY, complete=True
):
    return callers.Attempt(
        "c", kind, SIGNATURE, "e", status, body, complete, 0.0
    )


def make_arrival(signature=SIGNATURE, endpoint_id="i", received_at=1.0):
    return endpoints.Arrival("c", signature, endpoint_id, received_at)


class TestChecks:
    def test_correct_records_pass(self):
        assert (
            checks.find_violations([make_attempt()], [make_arrival()], []) == []
        )
        stream_body = endpoints.expected_stream("c")
        assert (
            checks.find_violations(
                [make_attempt("stream", body=stream_body)], [make_arrival()], []
            )
            == []
        )

    @pytest.mark.parametrize(
        ("attempt", "runs"),
        [
            pytest.param(
                make_attempt(body=b"other"), [make_arrival()], id="mixed"
            ),
            pytest.param(
                make_attempt(body=EXPECTED_BODY[:-1]),
                [make_arrival()],
                id="cut-as-whole",
            ),
            pytest.param(
                make_attempt("once"),
                [make_arrival(), make_arrival()],
                id="twice",
            ),
            pytest.param(
                make_attempt("once", status=503, body=b""),
                [make_arrival()],
                id="refused-ran",
            ),
            pytest.param(
                make_attempt(),
                [make_arrival(signature="GET /b x")],
                id="unasked",
            ),
            pytest.param(make_attempt(status=404), [], id="denied"),
            pytest.param(
                make_attempt("stream", body=endpoints.stream_event("c", 2)),
                [make_arrival()],
                id="gap",
            ),
            pytest.param(
                make_attempt("stream", body=endpoints.stream_event("c", 1)),
                [make_arrival()],
                id="short-stream-as-whole",
            ),
        ],
    )
    def test_violations_are_reported(self, attempt, runs):
        assert checks.find_violations([attempt], runs, [])

    @pytest.mark.parametrize(
        ("fault_periods", "is_reported"),
        [([], True), ([checks.FaultPeriod("e", 0.0, 9.0)], False)],
        ids=["undisturbed", "disturbed entry"],
    )
    def test_exceeded_limits_are_reported(self, fault_periods, is_reported):
        told = make_attempt()._replace(limited_by="i", answered_at=1.0)
        arrivals = [make_arrival(received_at=4.0 + n / 10) for n in range(12)]
        violations = checks.find_exceeded_limits(
            [checks.LimitedPeriod("i", 1.0, 0.5, 9.0)],
            [told],
            arrivals,
            fault_periods,
        )
        assert bool(violations) == is_reported

    def test_arrivals_within_a_limit_pass(self):
        told = make_attempt()._replace(limited_by="i", answered_at=1.0)
        arrivals = [make_arrival(received_at=4.0 + n / 10) for n in range(11)]
        period = checks.LimitedPeriod("i", 1.0, 0.5, 9.0)
        assert not checks.find_exceeded_limits([period], [told], arrivals, [])

    @pytest.mark.parametrize(
        ("sent_at", "fault_periods", "is_reported"),
        [
            (3.1, [], True),
            (2.9, [], False),
            (3.1, [checks.FaultPeriod("e", 1.5, 2.0)], False),
            (3.1, [checks.FaultPeriod("e", 0.5, 0.9)], True),
            (3.1, [checks.FaultPeriod("f", 1.5, 2.0)], True),
            (3.1, [checks.FaultPeriod("e", 1.5, 2.0, False)], True),
        ],
        ids=[
            "late",
            "in time",
            "restarted entry",
            "restarted before",
            "restarted other",
            "reloaded entry",
        ],
    )
    def test_late_requests_to_leaving_endpoints_are_reported(
        self, sent_at, fault_periods, is_reported
    ):
        told = make_attempt()._replace(
            request_id="t", leaving="i", answered_at=1.0
        )
        late = make_attempt()._replace(sent_at=sent_at)
        violations = checks.find_late_after_leaving(
            [checks.LeavingPeriod("i", 0.5, 9.0)],
            [told, late],
            [make_arrival(received_at=sent_at + 0.1)],
            fault_periods,
        )
        assert bool(violations) == is_reported

    @pytest.mark.parametrize(
        ("fault_periods", "is_reported"),
        [
            ([], True),
            ([checks.FaultPeriod("other", 0.0, 9.0)], True),
            ([checks.FaultPeriod("e", 0.0, 0.9)], True),
            ([checks.FaultPeriod("e", 1.5, 1.6)], False),
            ([checks.FaultPeriod("i", 1.5, 1.6)], False),
        ],
        ids=["undisturbed", "another", "before", "entry", "connections"],
    )
    def test_requests_in_a_pause_are_reported(self, fault_periods, is_reported):
        told = make_arrival()._replace(pause_s=3.0)
        arrivals = [make_arrival(received_at=1.6 + n) for n in (0, 1, 2)]
        violations = checks.find_requests_in_pauses(
            [told], [make_attempt()], arrivals, fault_periods
        )
        assert bool(violations) == is_reported

    @pytest.mark.parametrize(
        "changes",
        [{"received_at": 4.1}, {"received_at": 1.4}, {"incarnation": 1}],
        ids=["after its end", "at its begin", "at another start"],
    )
    def test_other_requests_are_no_requests_in_a_pause(self, changes):
        told = make_arrival()._replace(pause_s=3.0)
        arrivals = [make_arrival(received_at=1.6 + n) for n in (0, 1)]
        arrivals.append(make_arrival(received_at=2.0)._replace(**changes))
        assert not checks.find_requests_in_pauses(
            [told], [make_attempt()], arrivals, []
        )

    def test_arrivals_after_a_drain_are_reported(self):
        no_traffic_windows = [("i", 0.5, 2.0)]
        assert checks.find_violations(
            [make_attempt()], [make_arrival()], no_traffic_windows
        )
        assert (
            checks.find_violations(
                [make_attempt()],
                [make_arrival(received_at=0.4)],
                no_traffic_windows,
            )
            == []
        )
