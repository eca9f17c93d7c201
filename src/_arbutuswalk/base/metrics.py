"""Latency histograms and counters, rendered as text."""

import collections

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
US_PER_S = 1_000_000
QUANTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Counters and histograms of one process, by name and labels.

    Attributes:
        counters: Count by (name, labels).
        histograms: Histogram in microseconds by (name, labels).
    """

    def __init__(self):
        self.counters: dict[tuple[str, str], int] = collections.Counter()
        self.histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def count(self, name: str, labels: str = "", by: int = 1) -> None:
        """Adds ``by`` to a counter."""
        self.counters[name, labels] += by

    def record(self, name: str, labels: str, seconds: float) -> None:
        """Records one duration."""
        found = self.histograms.get((name, labels))
        if found is None:
            found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self.histograms[name, labels] = found
        found.record_value(max(LOWEST_US, int(seconds * US_PER_S)))

    def quantile(self, name: str, labels: str, percent: float) -> float:
        """Returns a quantile in seconds, zero when nothing was recorded."""
        found = self.histograms.get((name, labels))
        if found is None:
            return 0.0
        return found.get_value_at_percentile(percent) / US_PER_S

    def render(self) -> str:
        """Returns the text exposition format."""
        lines = [
            f"arbutuswalk_{name}{_braces(labels)} {value}"
            for (name, labels), value in sorted(self.counters.items())
        ]
        for name, labels in sorted(self.histograms):
            lines += self._render_histogram(name, labels)
        return "\n".join(lines) + "\n"

    def _render_histogram(self, name: str, labels: str) -> list[str]:
        found = self.histograms[name, labels]
        lines = []
        for percent in QUANTILES:
            value = found.get_value_at_percentile(percent) / US_PER_S
            both = f'{labels},quantile="{percent / 100}"'.lstrip(",")
            lines.append(f"arbutuswalk_{name}_seconds{{{both}}} {value:.6f}")
        count = found.get_total_count()
        lines.append(
            f"arbutuswalk_{name}_seconds_count{_braces(labels)} {count}"
        )
        return lines


def _braces(labels: str) -> str:
    return f"{{{labels}}}" if labels else ""
