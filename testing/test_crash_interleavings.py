"""A crashing request that callers resend while its first death is noticed."""

import itertools

import crash_cluster
import pytest

from _arbutuswalk.base import clock
from _arbutuswalk.state import quarantine

SEEDS = range(3)
MAX_DEATHS = 2
HARMLESS, CRASHING = (80, 0.025), (40, 0.05)
QUARANTINED_STATUS = 422
ANSWER_AFTER_CONVICTION_S = 0.5
PROMPT = crash_cluster.Delays()
DELAYS = {
    "prompt": PROMPT,
    "late ends of connections": PROMPT._replace(broken_s=0.12),
    "late messages of peers": PROMPT._replace(link_s=0.1),
    "late ends, messages and dispatches": PROMPT._replace(
        connect_s=0.02, broken_s=0.08, link_s=0.08
    ),
    "slow control": PROMPT._replace(control_s=1.5, view_s=1.0),
    "unanswered probes": PROMPT._replace(unanswered_probes=True),
    "everything late": crash_cluster.Delays(
        connect_s=0.03,
        broken_s=0.1,
        link_s=0.1,
        control_s=0.5,
        view_s=0.5,
        probe_s=0.2,
    ),
}
CLOSED_LINKS = crash_cluster.Delays(
    broken_s=0.02, control_s=1.5, view_s=1.0, closed_link_fraction=0.9
)
FAILING_CONTROL = crash_cluster.Delays(
    broken_s=0.02, control_modes=("ok", "ok", "ok", "lost", "deaf", "late")
)


def play(delays, entries, seed):
    """Returns the cluster after all requests have been answered."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        cluster = crash_cluster.Cluster(
            monkeypatch, seed=seed, delays=delays, entries=entries
        )
        cluster.play(harmless=HARMLESS, crashing=CRASHING)
        cluster.close()
    return cluster


@pytest.fixture(
    scope="module",
    params=itertools.product(DELAYS, [2, 3], SEEDS),
    ids=lambda param: f"{param[0]}-{param[1]} entries-{param[2]}",
)
def cluster(request):
    """Plays resends, each 50 ms after the last, beside harmless requests."""
    delays, entries, seed = request.param
    return play(DELAYS[delays], entries, seed)


class TestResends:
    """Two entries or three get the same crashing request 40 times."""

    def test_cost_two_runners_at_most(self, cluster):
        assert len(cluster.deaths) <= MAX_DEATHS, cluster.trace

    def test_harm_no_other_request(self, cluster):
        assert cluster.failed_harmless() == []

    def test_are_refused_at_once(self, cluster):
        statuses = {r.answer.problem.status for r in cluster.crashing}
        assert statuses == {QUARANTINED_STATUS}
        (until_ms,) = cluster.control.tables.convicted.values()
        convicted_at = (until_ms - quarantine.CONVICTION_MS) / clock.MS_PER_S
        answers_due_at = (
            max(convicted_at, cluster.crashing[-1].accepted_at)
            + ANSWER_AFTER_CONVICTION_S
            + cluster.delays.view_s
            + cluster.delays.control_s
        )
        assert max(cluster.answered_at.values()) <= answers_due_at


class TestFaults:
    """What one crashing request costs while messages or commands are lost."""

    @pytest.mark.parametrize(("entries", "seed"), [(2, 14), (2, 27), (3, 21)])
    def test_closed_links_cost_no_third_runner(self, entries, seed):
        cluster = play(CLOSED_LINKS, entries, seed)
        assert len(cluster.deaths) <= MAX_DEATHS, cluster.trace
        assert cluster.failed_harmless() == []

    @pytest.mark.parametrize(
        ("entries", "seed"), [(2, 2), (2, 10), (3, 0), (3, 8), (3, 11), (3, 17)]
    )
    def test_unanswered_commands_cost_no_third_runner(self, entries, seed):
        cluster = play(FAILING_CONTROL, entries, seed)
        assert len(cluster.deaths) <= MAX_DEATHS, cluster.trace
        assert cluster.failed_harmless() == []
