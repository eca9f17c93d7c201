"""Latency histograms and counters, rendered as text."""

import collections

from hdrh import histogram

MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
PERCENTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Counters and histograms of one process, by name and labels.

    Attributes:
        counters: Count by (name, labels).
        histograms: Histogram in microseconds by (name, labels).
    """

    def __init__(self):
        self.counters: dict[tuple[str, str], int] = collections.Counter()
        self.histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def count(self, name: str, labels: str = "", amount: int = 1) -> None:
        """Adds ``amount`` to a counter."""
        self.counters[name, labels] += amount

    def replace_values(self, name: str, values: dict[str, int]) -> None:
        """Sets current values by labels; others of that name are removed."""
        for key in [key for key in self.counters if key[0] == name]:
            del self.counters[key]
        for labels, value in values.items():
            self.counters[name, labels] = value

    def record(self, name: str, labels: str, seconds: float) -> None:
        """Records one duration in a histogram."""
        durations = self.histograms.get((name, labels))
        if durations is None:
            durations = histogram.HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
            self.histograms[name, labels] = durations
        durations.record_value(max(MIN_DURATION_US, int(seconds * US_PER_S)))

    def quantile(self, name: str, labels: str, percent: float) -> float:
        """Returns a percentile in seconds, zero if nothing was recorded."""
        durations = self.histograms.get((name, labels))
        if durations is None:
            return 0.0
        return durations.get_value_at_percentile(percent) / US_PER_S

    def render(self) -> str:
        """Returns all metrics in the text exposition format."""
        lines = [
            f"arbutuswalk_{name}{_label_block(labels)} {value}"
            for (name, labels), value in sorted(self.counters.items())
        ]
        for name, labels in sorted(self.histograms):
            lines += self._render_histogram(name, labels)
        return "\n".join(lines) + "\n"

    def _render_histogram(self, name: str, labels: str) -> list[str]:
        durations = self.histograms[name, labels]
        lines = []
        for percent in PERCENTILES:
            value = durations.get_value_at_percentile(percent) / US_PER_S
            all_labels = f'{labels},quantile="{percent / 100}"'.lstrip(",")
            lines.append(
                f"arbutuswalk_{name}_seconds{{{all_labels}}} {value:.6f}"
            )
        count = durations.get_total_count()
        lines.append(
            f"arbutuswalk_{name}_seconds_count{_label_block(labels)} {count}"
        )
        return lines


def _label_block(labels: str) -> str:
    return f"{{{labels}}}" if labels else ""
