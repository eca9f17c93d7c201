"""Quotas while entries and control processes restart."""

import pytest
import quota_cluster

from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.wire import watch_timing

RATE = 30_603.0
BURST = 68_877.0
OVERLOAD = 4 * RATE
SEEDS = range(8)
CONTROLS = range(3)


def make_cluster(seed):
    return quota_cluster.Cluster(seed=seed, rate=RATE, burst=BURST)


def restart_entries_in_turn(cluster, indices, tokens_per_s, down_s=1.1):
    for index in indices:
        cluster.stop_entry(index)
        cluster.run(down_s, tokens_per_s=tokens_per_s)
        cluster.start_entry(index)


def restart_control(cluster, down_s, tokens_per_s):
    for index in CONTROLS:
        cluster.stop_control(index)
    cluster.run(down_s, tokens_per_s=tokens_per_s)
    for index in CONTROLS:
        cluster.start_control(index)


def refused_after_a_cut(seed, wait_s):
    """Returns what is refused later than ``wait_s`` after an entry is back."""
    cluster = make_cluster(seed)
    cluster.run(10.0, tokens_per_s=RATE / 3, cost_factor=0.1)
    cluster.cut_entry(0)
    cluster.run(6.0, tokens_per_s=RATE / 3, cost_factor=0.1)
    cluster.reconnect_entry(0)
    cluster.run(wait_s, tokens_per_s=RATE / 3, cost_factor=0.1)
    cluster.refused.clear()
    cluster.run(10.0, tokens_per_s=RATE / 3, cost_factor=0.1)
    return cluster.refused


def refused_after_a_restart_of_control(seed):
    """Returns what is refused when control and four entries start again."""
    cluster = make_cluster(seed)
    cluster.run(30.0, tokens_per_s=RATE / 3, cost_factor=0.1)
    for index in range(4):
        cluster.stop_entry(index)
    for index in CONTROLS:
        cluster.stop_control(index)
    cluster.run(0.5, tokens_per_s=RATE / 3, cost_factor=0.1)
    for index in CONTROLS:
        cluster.start_control(index)
    for index in range(4):
        cluster.start_entry(index)
    cluster.run(10.0, tokens_per_s=RATE / 3, cost_factor=0.1)
    return cluster.refused


class TestOverload:
    """A workspace sends four times its quota."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_restarted_control_hides_no_use_of_entries_that_ended(self, seed):
        cluster = make_cluster(seed)
        cluster.run(10.0, tokens_per_s=OVERLOAD)
        for index in range(4):
            cluster.stop_entry(index)
        cluster.run(10.0, tokens_per_s=OVERLOAD)
        restart_control(cluster, 0.5, OVERLOAD)
        cluster.run(10.0, tokens_per_s=OVERLOAD)
        assert cluster.max_admitted_in_window() <= cluster.permitted_in_window()

    @pytest.mark.parametrize("seed", SEEDS)
    def test_an_entry_that_is_no_longer_counted_hides_no_use(self, seed):
        cluster = make_cluster(seed)
        cluster.run(10.0, tokens_per_s=OVERLOAD)
        for index in range(4):
            cluster.stop_entry(index)
        cluster.run(discoveries.ENTRY_RETENTION_S - 8.0, tokens_per_s=RATE / 10)
        cluster.run(8.5, tokens_per_s=OVERLOAD)
        for index in CONTROLS:
            cluster.controls[index].remove_expired()
        cluster.run(8.0, tokens_per_s=OVERLOAD)
        assert cluster.max_admitted_in_window() <= cluster.permitted_in_window()

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("down_s", [0.5, 1.1])
    def test_entries_restarted_in_turn_gain_no_bursts(self, seed, down_s):
        cluster = make_cluster(seed)
        cluster.run(10.0, tokens_per_s=OVERLOAD)
        restart_entries_in_turn(cluster, range(7), OVERLOAD, down_s)
        cluster.run(8.0, tokens_per_s=OVERLOAD)
        assert cluster.max_admitted_in_window() <= cluster.permitted_in_window()

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("down_s", [0.5, 1.4, 2.0, 5.0])
    def test_an_outage_of_control_adds_no_tokens(self, seed, down_s):
        cluster = make_cluster(seed)
        cluster.run(10.0, tokens_per_s=OVERLOAD)
        restart_control(cluster, down_s, OVERLOAD)
        cluster.run(10.0, tokens_per_s=OVERLOAD)
        assert cluster.max_admitted_in_window() <= cluster.permitted_in_window()

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("down_s", [0.5, 1.4, 2.0, 5.0])
    def test_an_outage_of_control_at_the_start_of_a_burst_adds_no_tokens(
        self, seed, down_s
    ):
        cluster = make_cluster(seed)
        cluster.run(10.0, tokens_per_s=RATE / 10)
        cluster.run(1.0, tokens_per_s=OVERLOAD)
        restart_control(cluster, down_s, OVERLOAD)
        cluster.run(10.0, tokens_per_s=OVERLOAD)
        assert cluster.max_admitted_in_window() <= cluster.permitted_in_window()

    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_started_entry_holds_no_more_than_the_others(self, seed):
        cluster = make_cluster(seed)
        cluster.run(10.0, tokens_per_s=OVERLOAD)
        cluster.stop_entry(0)
        cluster.run(1.0, tokens_per_s=OVERLOAD)
        cluster.start_entry(0)
        cluster.run(1.0, tokens_per_s=OVERLOAD)
        started, *others = [
            watcher.relay.quota_buckets["w"].level
            for watcher in cluster.entries
        ]
        refill = RATE * watch_timing.MAX_WAIT_S
        assert started <= max(others) + refill

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("down_s", [0.5, 2.0, 5.0])
    def test_entries_and_then_control_restarted_add_no_tokens(
        self, seed, down_s
    ):
        cluster = make_cluster(seed)
        cluster.run(10.0, tokens_per_s=OVERLOAD)
        restart_entries_in_turn(cluster, range(4), OVERLOAD)
        restart_control(cluster, down_s, OVERLOAD)
        restart_entries_in_turn(cluster, range(4, 7), OVERLOAD)
        cluster.run(8.0, tokens_per_s=OVERLOAD)
        assert cluster.max_admitted_in_window() <= cluster.permitted_in_window()

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("cut_s", [1.0, 3.0, 6.0])
    def test_entries_cut_off_in_turn_add_no_tokens(self, seed, cut_s):
        cluster = make_cluster(seed)
        cluster.run(10.0, tokens_per_s=RATE / 10)
        cluster.run(1.0, tokens_per_s=OVERLOAD)
        for index in range(3):
            cluster.cut_entry(index)
            cluster.run(cut_s, tokens_per_s=OVERLOAD)
            cluster.reconnect_entry(index)
        cluster.run(8.0, tokens_per_s=OVERLOAD)
        assert cluster.max_admitted_in_window() <= cluster.permitted_in_window()

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("cut_s", [1.0, 1.4, 3.0])
    def test_shares_returned_together_add_no_tokens(self, seed, cut_s):
        """Each entry may use its own share while the shared bucket forms."""
        cluster = make_cluster(seed)
        cluster.run(10.0, tokens_per_s=RATE / 10)
        cluster.run(1.0, tokens_per_s=OVERLOAD)
        entries = range(len(cluster.entries))
        for index in entries:
            cluster.cut_entry(index)
        cluster.run(cut_s, tokens_per_s=OVERLOAD)
        for index in entries:
            cluster.reconnect_entry(index)
        cluster.run(8.0, tokens_per_s=OVERLOAD)
        assert cluster.max_admitted_in_window() <= cluster.permitted_in_window()


class TestEntryCount:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_restarted_control_lowers_no_entry_count(self, seed):
        cluster = make_cluster(seed)
        cluster.run(2.0, tokens_per_s=RATE / 3)
        restart_control(cluster, 0.5, RATE / 3)
        counts = set()
        for _ in range(100):
            cluster.run(quota_cluster.STEP_S, tokens_per_s=RATE / 3)
            counts |= {e.relay.entry_count for e in cluster.entries}
        assert counts == {len(cluster.entries)}


class TestWithinQuota:
    """A workspace sends a third of its quota in small requests."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_an_entry_that_was_cut_off_refuses_nothing_afterwards(self, seed):
        assert refused_after_a_cut(seed, 0.0) == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_an_entry_that_was_cut_off_refuses_nothing_1_s_later(self, seed):
        assert refused_after_a_cut(seed, 1.0) == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_entries_started_with_control_refuse_nothing(self, seed):
        assert refused_after_a_restart_of_control(seed) == []

    @pytest.mark.parametrize("seed", [18, 26, 29, 33, 43, 48, 55, 57])
    def test_entries_and_control_started_together_refuse_nothing(self, seed):
        assert refused_after_a_restart_of_control(seed) == []
