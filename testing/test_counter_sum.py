"""Sums of counters that start again with their processes."""

import random

import pytest

from _arbutuswalk.state import counter_sum


class TestCounterSum:
    def test_what_a_process_counted_before_it_was_seen_is_left_out(self):
        counters = counter_sum.CounterSum()
        counters.record("a", {"w": 100}, counts_from_zero=False)
        counters.record("a", {"w": 130}, counts_from_zero=False)
        assert counters.totals == {"w": 30}

    def test_the_first_report_of_a_new_process_counts_in_full(self):
        counters = counter_sum.CounterSum()
        counters.record("a", {"w": 100}, counts_from_zero=True)
        counters.record("a", {"w": 130}, counts_from_zero=True)
        assert counters.totals == {"w": 130}

    def test_a_counter_that_appears_later_counts_in_full(self):
        counters = counter_sum.CounterSum()
        counters.record("a", {"w": 100}, counts_from_zero=False)
        counters.record("a", {"w": 100, "v": 7}, counts_from_zero=False)
        assert counters.totals == {"v": 7}

    def test_a_late_report_is_not_counted_twice(self):
        counters = counter_sum.CounterSum()
        for value in (0, 50, 40, 60):
            counters.record("a", {"w": value}, counts_from_zero=True)
        assert counters.totals == {"w": 60}

    @pytest.mark.parametrize("seed", range(50))
    def test_it_never_falls_while_processes_end_and_restart(self, seed):
        rng = random.Random(seed)
        counters = counter_sum.CounterSum()
        running = {}
        last_total = counted = 0
        for number in range(500):
            key = rng.randrange(5)
            if key not in running or rng.random() < 0.05:
                if key in running and rng.random() < 0.5:
                    counters.remove((key, running[key][0]))
                running[key] = [number, 0]
            amount = rng.randrange(10)
            running[key][1] += amount
            counted += amount
            process = (key, running[key][0])
            values = {"w": running[key][1]}
            counters.record(process, values, counts_from_zero=True)
            total = counters.totals.get("w", 0)
            assert total >= last_total
            last_total = total
        assert last_total == counted
