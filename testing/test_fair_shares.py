"""Fair shares of an upstream among workspaces and priorities."""

import hypothesis
import pytest
from hypothesis import strategies

from _arbutuswalk.limits import fair_shares

NAMES = [f"w{i}" for i in range(8)]

rates = strategies.floats(0.0, 1e5).map(lambda rate: round(rate, 3))
asked_rates = strategies.dictionaries(
    strategies.sampled_from(NAMES),
    strategies.dictionaries(strategies.integers(0, 2), rates, max_size=3),
    min_size=1,
)
all_weights = strategies.fixed_dictionaries(
    {name: strategies.floats(0.1, 1e4) for name in NAMES}
)
capacities = strategies.floats(0.01, 1e6)


def find_excess(asked, capacity, weights=None):
    asked = {
        name: value if isinstance(value, dict) else {0: value}
        for name, value in asked.items()
    }
    return fair_shares.find_excess(asked, weights or {}, capacity)


class TestShares:
    @hypothesis.given(asked_rates, all_weights, capacities)
    def test_all_that_is_served_is_shared_and_none_gets_more_than_it_asks(
        self, asked, weights, capacity
    ):
        shares = fair_shares.find_shares(asked, weights, capacity)
        totals = {name: sum(values.values()) for name, values in asked.items()}
        assert sum(shares.values()) == pytest.approx(
            min(capacity, sum(totals.values())), rel=1e-6, abs=1e-6
        )
        for name, share in shares.items():
            assert -1e-9 <= share <= totals[name] * (1 + 1e-9) + 1e-9

    @hypothesis.given(asked_rates, all_weights, capacities)
    def test_who_gets_less_than_it_asks_has_the_largest_share_by_weight(
        self, asked, weights, capacity
    ):
        """Weighted max-min fairness of one priority."""
        asked = {
            name: {0: sum(values.values())} for name, values in asked.items()
        }
        shares = fair_shares.find_shares(asked, weights, capacity)
        largest = max(shares[name] / weights[name] for name in asked)
        for name, share in shares.items():
            if share < asked[name][0] * (1 - 1e-6):
                assert share / weights[name] == pytest.approx(largest, rel=1e-6)

    @hypothesis.given(asked_rates, all_weights, capacities)
    def test_less_urgent_requests_never_lower_a_more_urgent_share(
        self, asked, weights, capacity
    ):
        urgent = {name: {0: v.get(0, 0.0)} for name, v in asked.items()}
        alone = fair_shares.find_shares(urgent, weights, capacity)
        together = fair_shares.find_shares(asked, weights, capacity)
        for name in asked:
            assert together[name] >= alone[name] * (1 - 1e-6) - 1e-6

    def test_nothing_is_left_once_urgent_requests_have_used_all(self):
        asked = {"a": {0: 40.0, 5: 9.0}, "b": {0: 60.0}, "c": {5: 9.0}}
        weights = dict.fromkeys(asked, 1.0)
        assert fair_shares.find_shares(asked, weights, 100.0) == {
            "a": 40.0,
            "b": 60.0,
            "c": 0.0,
        }

    def test_urgent_requests_count_towards_the_part_of_the_rest(self):
        asked = {"a": {0: 40.0, 5: 100.0}, "b": {5: 100.0}}
        weights = dict.fromkeys(asked, 1.0)
        assert fair_shares.find_shares(asked, weights, 100.0) == {
            "a": 50.0,
            "b": 50.0,
        }


class TestExcess:
    def test_seven_times_the_usual_leaves_the_others_inside_their_shares(self):
        asked = dict.fromkeys(NAMES, 10.0) | {"w0": 70.0}
        assert find_excess(asked, 90.0) == {"w0": pytest.approx(3.5)}

    def test_more_urgent_ones_are_inside_theirs_at_the_cost_of_the_others(self):
        asked = {"urgent": {0: 90.0}, "later": {5: 90.0}}
        assert find_excess(asked, 100.0) == {"later": pytest.approx(1.8)}

    @hypothesis.given(asked_rates, all_weights, capacities)
    def test_a_small_one_is_never_over_its_share(
        self, asked, weights, capacity
    ):
        excess = fair_shares.find_excess(asked, weights, capacity)
        total_weight = sum(weights[name] for name in asked)
        for name, factor in excess.items():
            part = capacity * weights[name] / total_weight
            assert sum(asked[name].values()) > part
            assert 1.0 < factor <= fair_shares.MAX_EXCESS

    def test_all_are_inside_while_all_that_is_asked_is_served(self):
        assert find_excess({"a": 90.0, "b": 14.0}, 100.0) == {}

    def test_all_are_inside_when_nothing_is_served(self):
        assert find_excess({"a": 90.0, "b": 14.0}, 0.0) == {}

    def test_shares_follow_weights(self):
        excess = find_excess({"a": 90.0, "b": 90.0}, 120.0, {"a": 3, "b": 1})
        assert excess == {"b": pytest.approx(3.0)}


class TestWeights:
    def test_the_others_weigh_as_much_as_the_median_of_the_stated_quotas(self):
        stated = {"a": 100.0, "b": 300.0, "c": 900.0, "d": 0.0}
        assert fair_shares.find_weights(stated) == stated | {"d": 300.0}

    def test_all_weigh_the_same_if_none_states_a_quota(self):
        assert fair_shares.find_weights({"a": 0.0, "b": 0.0}) == {
            "a": 1.0,
            "b": 1.0,
        }
