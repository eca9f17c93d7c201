"""Which refusals for want of a lease the measured control group excuses."""

import control_probe


def reads_between(start, end):
    count = round((end - start) / 0.05)
    return [
        control_probe.Period(start + i * 0.05, start + i * 0.05 + 0.01)
        for i in range(count)
    ]


class TestMustHoldLease:
    def test_leader_that_answers_all_the_time_excuses_no_refusal(self):
        assert control_probe.must_hold_lease(reads_between(0, 10), 10)

    def test_election_excuses_refusals_only_until_the_renewal(self):
        reads = reads_between(0, 4) + reads_between(5.2, 10)
        for at in (4.1, 4.6, 5.1, 5.3, 5.9, 7.3, 9.9):
            assert control_probe.must_hold_lease(reads, at)
        assert not control_probe.must_hold_lease(reads, 6.5)

    def test_long_loss_of_the_leader_excuses_refusals_until_the_renewal(self):
        reads = reads_between(0, 4) + reads_between(7, 12)
        for at in (6.1, 7.0, 8.8):
            assert not control_probe.must_hold_lease(reads, at)
        for at in (5.9, 9.1, 12.0):
            assert control_probe.must_hold_lease(reads, at)

    def test_slow_reads_show_no_reachable_leader(self):
        slow_reads = [control_probe.Period(i, i + 0.9) for i in range(9)]
        assert not control_probe.must_hold_lease(slow_reads, 9)

    def test_leaders_that_soon_vanish_excuse_refusals(self):
        reads = reads_between(0, 1.5) + reads_between(3, 4.5)
        assert not control_probe.must_hold_lease(reads, 4.5)
