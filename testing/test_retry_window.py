"""Retry limit of an upstream within a sliding window."""

from _arbutuswalk.limits import retries


def make_window():
    return retries.RetryWindow(ratio=0.2, extra=16.0, window_s=10.0)


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
