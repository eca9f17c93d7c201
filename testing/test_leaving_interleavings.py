"""Generated interleavings of statements, restarts and faults."""

import hypothesis
import leaving_cluster
import pytest
from hypothesis import strategies

from _arbutuswalk.routing import directory

REQUESTS_PER_S = 20.0
ENTRIES = range(4)
CONTROLS = range(3)
RUNNERS = range(3)


def address(runner):
    return f"127.1.0.1:{runner + 1}"


def state_leaving(cluster, runner):
    cluster.running[address(runner)].is_leaving = True


def fail_while_leaving(cluster, runner):
    start = cluster.running[address(runner)]
    start.is_leaving, start.status = True, 503


def restart_under_the_same_id(cluster, runner):
    cluster.start_runner(address(runner), cluster.running[address(runner)].name)


def replace_at_the_same_address(cluster, runner):
    cluster.start_runner(address(runner))


def deliver_a_late_heartbeat(cluster, runner):
    """Delivers a heartbeat of any former start that had its id."""
    name = cluster.running[address(runner)].name
    for start in cluster.starts:
        if start.name == name:
            cluster.beat(start.announcement())


def cut_off_an_entry(cluster, entry):
    cluster.cut_off ^= {entry}


def restart_an_entry(cluster, entry):
    cluster.stop_entry(entry)
    cluster.start_entry(entry)


def toggle_a_control_process(cluster, control):
    if cluster.controls[control] is None:
        cluster.start_control(control)
        cluster.elect(control)
    else:
        cluster.stop_control(control)


def toggle_all_control_processes(cluster, _):
    for control in CONTROLS:
        toggle_a_control_process(cluster, control)


STEPS = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(
            [
                state_leaving,
                state_leaving,
                fail_while_leaving,
                restart_under_the_same_id,
                replace_at_the_same_address,
                deliver_a_late_heartbeat,
            ]
        ),
        strategies.sampled_from(RUNNERS),
    ),
    strategies.tuples(
        strategies.sampled_from([cut_off_an_entry, restart_an_entry]),
        strategies.sampled_from(ENTRIES),
    ),
    strategies.tuples(
        strategies.sampled_from(
            [toggle_a_control_process, toggle_all_control_processes]
        ),
        strategies.sampled_from(CONTROLS),
    ),
)
PAUSES_S = strategies.sampled_from([0.0, 0.02, 0.3, 1.0, 3.0])


def play(steps, seed):
    cluster = leaving_cluster.Cluster(seed=seed)
    try:
        for (step, subject), pause_s in steps:
            step(cluster, subject)
            cluster.run(pause_s, requests_per_s=REQUESTS_PER_S)
        cluster.run(4.0, requests_per_s=REQUESTS_PER_S)
        return cluster.late_arrivals()
    finally:
        cluster.close()


class TestInterleavings:
    @hypothesis.given(
        steps=strategies.lists(
            strategies.tuples(STEPS, PAUSES_S), min_size=2, max_size=14
        ),
        seed=strategies.integers(0, 1000),
    )
    def test_no_entry_sends_too_late_after_it_was_told(self, steps, seed):
        assert play(steps, seed) == []

    def test_a_product_that_forgets_a_statement_is_found_out(self, monkeypatch):
        monkeypatch.setattr(directory, "record_leaving", lambda *_: False)
        assert play([((state_leaving, 0), 0.0)], 1)


class TestOutOfTouch:
    @pytest.mark.parametrize(
        "successor", [restart_under_the_same_id, replace_at_the_same_address]
    )
    def test_a_start_that_leaves_before_its_entry_knows_it(self, successor):
        cluster = leaving_cluster.Cluster(seed=1)
        cut_off_an_entry(cluster, 0)
        successor(cluster, 0)
        state_leaving(cluster, 0)
        cluster.run(3.0, requests_per_s=REQUESTS_PER_S, entries=[0])
        cut_off_an_entry(cluster, 0)
        cluster.run(3.0, requests_per_s=REQUESTS_PER_S, entries=[0])
        late = cluster.late_arrivals()
        cluster.close()
        assert late == []

    def test_a_start_after_the_statement_is_used(self):
        cluster = leaving_cluster.Cluster(seed=1)
        cut_off_an_entry(cluster, 0)
        state_leaving(cluster, 0)
        cluster.run(3.0, requests_per_s=REQUESTS_PER_S, entries=[0])
        restart_under_the_same_id(cluster, 0)
        cluster.run(1.0, requests_per_s=REQUESTS_PER_S, entries=[0])
        cut_off_an_entry(cluster, 0)
        cluster.run(3.0, requests_per_s=REQUESTS_PER_S, entries=[0])
        arrivals = cluster.running[address(0)].arrivals
        cluster.close()
        assert arrivals


class TestRecovery:
    """A start that does not leave is used, whatever others stated."""

    @pytest.fixture
    def cluster(self):
        new_cluster = leaving_cluster.Cluster(seed=1)
        yield new_cluster
        new_cluster.close()

    @pytest.mark.parametrize(
        "successor", [restart_under_the_same_id, replace_at_the_same_address]
    )
    def test_the_successor_at_the_address_is_used_by_all(
        self, cluster, successor
    ):
        state_leaving(cluster, 0)
        cluster.run(3.0, requests_per_s=REQUESTS_PER_S)
        successor(cluster, 0)
        cluster.run(1.0, requests_per_s=REQUESTS_PER_S)
        start = cluster.running[address(0)]
        start.arrivals.clear()
        cluster.run(3.0, requests_per_s=2 * REQUESTS_PER_S)
        assert {entry for _, entry, _ in start.arrivals} == set(ENTRIES)
        assert cluster.late_arrivals() == []
        assert cluster.served_fraction() >= 0.97

    def test_entries_that_were_not_told_stop_too(self, cluster):
        state_leaving(cluster, 0)
        cluster.run(1.0, requests_per_s=REQUESTS_PER_S, entries=[0])
        cluster.run(0.5, requests_per_s=1.0, entries=[0])
        start = cluster.running[address(0)]
        start.arrivals.clear()
        cluster.run(3.0, requests_per_s=REQUESTS_PER_S)
        assert start.arrivals == []
        assert cluster.served_fraction() == 1.0
