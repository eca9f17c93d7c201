"""Retry limit of an upstream within a sliding window."""

import random

import pytest
import relay_fixtures
from arbutuswalk_platform import headers

from _arbutuswalk.limits import retries
from _arbutuswalk.relay import relay_state


def make_window():
    return retries.RetryWindow(ratio=0.2, extra=16.0, window_s=10.0)


def make_relay(started_at):
    return relay_state.Relay(
        name="e",
        domain="d",
        dialect=headers.DIALECT,
        options=relay_fixtures.OPTIONS._replace(retry_extra=54.0),
        now=lambda: started_at,
    )


class TestRetryWindow:
    def test_all_entries_together_stay_within_the_constant(self):
        windows = [make_window() for _ in range(8)]
        granted = sum(
            window.try_acquire(0.0, entries=8)
            for window in windows
            for _ in range(10)
        )
        assert granted <= 16

    def test_retries_grow_with_requests(self):
        window = make_window()
        for tick in range(100):
            window.record_request(tick * 0.01)
        granted = sum(window.try_acquire(1.0, entries=8) for _ in range(100))
        assert 10 <= granted <= 0.2 * 100 + 16 / 8

    def test_old_requests_no_longer_count(self):
        window = make_window()
        for _ in range(100):
            window.record_request(0.0)
        granted = sum(window.try_acquire(11.0, entries=8) for _ in range(100))
        assert granted <= 2

    def test_retries_outside_the_window_no_longer_count(self):
        window = make_window()
        assert window.try_acquire(0.0, entries=8)
        while window.try_acquire(0.0, entries=8):
            pass
        assert window.try_acquire(10.5, entries=8)


class TestRestarts:
    """All requests fail, and every entry asks for as many retries as it can."""

    @pytest.mark.parametrize("seed", range(20))
    @pytest.mark.parametrize("gap_s", [0.0, 0.5, 1.1])
    @pytest.mark.parametrize("restarts", [1, 2])
    def test_restarted_entries_stay_within_the_bound(
        self, seed, gap_s, restarts
    ):
        rng = random.Random(seed)
        relays = [make_relay(0.0) for _ in range(7)]
        restarts_at = sorted(
            (12.0 + gap_s * index + 4.0 * number, index)
            for index in range(7)
            for number in range(restarts)
        )
        requests, retried = [], []
        now = 0.0
        while now < 30.0:
            now += rng.expovariate(35.0)
            while restarts_at and restarts_at[0][0] <= now:
                started_at, index = restarts_at.pop(0)
                relays[index] = make_relay(started_at)
            window = rng.choice(relays).retry_window("u")
            window.record_request(now)
            requests.append(now)
            while window.try_acquire(now, entries=7):
                retried.append(now)
        for end in retried:
            start = end - 10.0
            bound = 0.2 * sum(start < at <= end for at in requests) + 54
            assert sum(start < at <= end for at in retried) <= bound
