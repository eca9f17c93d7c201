"""Whether an entry takes failed connections for the loss of its path."""

import itertools

import pytest

from _arbutuswalk.relay import paths


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Entry:
    """Paths of an entry with a number of endpoints, on its own clock."""

    def __init__(self, endpoints=9):
        self.clock = Clock()
        self.heard_at = 0.0
        self.lost = 0
        self.restored = []
        self.paths = paths.Paths(
            now=self.clock,
            count_endpoints=lambda: endpoints,
            last_heard_at=lambda: self.heard_at,
        )
        self.paths.on_lost = self.count_loss
        self.paths.on_restored = self.restored.append

    def count_loss(self):
        self.lost += 1

    def fail(self, *addresses, refused=False, step_s=0.0):
        for address in addresses:
            self.paths.record_failure(address, refused=refused)
            self.clock.now += step_s


class TestLoss:
    @pytest.mark.parametrize("refused", [False, True])
    def test_several_endpoints_show_it(self, refused):
        entry = Entry()
        entry.fail("a", "b", refused=refused)
        assert not entry.paths.is_cut_off
        assert entry.paths.is_doubtful
        entry.fail("c", refused=refused)
        assert entry.paths.is_cut_off
        assert entry.paths.is_silent is not refused
        entry.fail("d", "e", refused=refused)
        assert entry.lost == 1

    def test_one_endpoint_does_not(self):
        entry = Entry()
        entry.fail(*10 * ["a"])
        assert not entry.paths.is_cut_off

    @pytest.mark.parametrize("endpoints", [1, 2])
    def test_fewer_endpoints_show_it_if_there_are_no_more(self, endpoints):
        entry = Entry(endpoints)
        entry.fail(*"ab"[:endpoints])
        assert entry.paths.is_cut_off

    def test_a_success_between_disproves_it(self):
        entry = Entry()
        for address in "abcdefgh":
            entry.fail(address)
            entry.paths.record_success()
        assert not entry.paths.is_cut_off

    def test_failures_at_other_times_do_not_show_it(self):
        entry = Entry()
        entry.fail(*"abcdefgh", step_s=paths.FAILURE_WINDOW_S * 0.6)
        assert not entry.paths.is_cut_off

    def test_data_of_an_endpoint_disproves_a_silent_loss_only(self):
        for refused in (False, True):
            entry = Entry()
            entry.heard_at = entry.clock.now - 0.1
            entry.fail("a", "b", "c", refused=refused)
            assert entry.paths.is_cut_off is refused

    def test_it_ends_with_a_connection(self):
        entry = Entry()
        entry.fail("a", "b", "c", refused=True)
        entry.clock.now += 4.0
        entry.paths.record_success()
        assert entry.restored == [4.0]
        assert not entry.paths.is_cut_off
        entry.fail("a")
        assert not entry.paths.is_cut_off


class TestPeers:
    def test_they_are_wanted_for_a_while_after_a_failure(self):
        entry = Entry()
        assert not entry.paths.wants_peers
        entry.fail("a")
        assert entry.paths.wants_peers
        entry.clock.now += paths.PEERS_WANTED_S
        assert not entry.paths.wants_peers

    def test_one_that_failed_is_left_out_for_a_while(self):
        entry = Entry()
        entry.paths.peers = ("p", "q")
        entry.paths.record_peer_failure("p")
        assert entry.paths.usable_peers() == ["q"]
        entry.clock.now += paths.PEER_FAILED_S
        assert entry.paths.usable_peers() == ["p", "q"]


class TestOrders:
    def test_any_order_of_failures_and_successes(self):
        """Cut off only while the last three results are failures elsewhere."""
        steps = ("a", "b", "c", "")
        for order in itertools.product(steps, repeat=6):
            entry = Entry()
            recent = set()
            for step in order:
                if step:
                    entry.fail(step, refused=True)
                    recent.add(step)
                else:
                    entry.paths.record_success()
                    recent.clear()
                assert entry.paths.is_cut_off is (len(recent) == 3), order
