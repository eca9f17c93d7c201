"""Anytime-valid comparison of the failure rates of two versions.

The test is an e-process: under the null hypothesis, "the new version fails no
more often than the old one", its expectation never exceeds one. By Ville's
inequality the probability that it ever reaches a threshold is at most one over
the threshold, however often it is evaluated.

A block with outcomes of both versions uses the two-sample likelihood ratio
against the pooled rate. A block with outcomes of the new version alone uses
the one-sample ratio against an upper bound on the old version's rate.
"""

import math
from typing import NamedTuple

LOG_ODDS_SHIFTS = (1.0, 2.0, 3.5, 5.0)
"""Alternative hypotheses: increase of the new version's log odds."""
MIN_FAILURE_RATE = 0.01
"""Prior mean of the old version's failure rate; differences below it do not
matter."""
PRIOR_OUTCOMES = 20.0
"""Weight of ``MIN_FAILURE_RATE`` in the estimate of the old version's rate, as
a number of outcomes."""


class Block(NamedTuple):
    """Counts of outcomes since the last block."""

    old_ran: int
    old_failed: int
    new_ran: int
    new_failed: int


class Comparison:
    """Sequential test: a mixture of likelihood ratios over the alternatives.

    Attributes:
        log_ratios: Logarithm of the ratio for each alternative.
        old_ran: Outcomes of the old version in all blocks.
        old_failed: Its failures among them.
        new_ran: Outcomes of the new version in all blocks.
        new_failed: Its failures among them.
    """

    def __init__(self):
        self.log_ratios = [0.0] * len(LOG_ODDS_SHIFTS)
        self.old_ran = 0
        self.old_failed = 0
        self.new_ran = 0
        self.new_failed = 0

    @property
    def log_evidence(self) -> float:
        """Logarithm of the e-value against the new version."""
        largest = max(self.log_ratios)
        total = sum(math.exp(ratio - largest) for ratio in self.log_ratios)
        return largest + math.log(total / len(self.log_ratios))

    def update(self, block: Block) -> None:
        """Adds one block; its rate estimates use only earlier blocks."""
        if block.new_ran:
            for i, shift in enumerate(LOG_ODDS_SHIFTS):
                self.log_ratios[i] += self._log_likelihood_ratio(block, shift)
        self.old_ran += block.old_ran
        self.old_failed += block.old_failed
        self.new_ran += block.new_ran
        self.new_failed += block.new_failed

    def _log_likelihood_ratio(self, block: Block, shift: float) -> float:
        old_rate = self._estimate_old_rate()
        new_rate = _shift_log_odds(old_rate, shift)
        if not block.old_ran:
            old_rate_bound = self._old_rate_upper_bound()
            new_rate = max(new_rate, _shift_log_odds(old_rate_bound, shift))
            return _binomial_log_ratio(
                block.new_ran, block.new_failed, new_rate, old_rate_bound
            )
        total = block.old_ran + block.new_ran
        pooled_rate = (
            block.old_ran * old_rate + block.new_ran * new_rate
        ) / total
        return _binomial_log_ratio(
            block.old_ran, block.old_failed, old_rate, pooled_rate
        ) + _binomial_log_ratio(
            block.new_ran, block.new_failed, new_rate, pooled_rate
        )

    def _estimate_old_rate(self) -> float:
        failed = self.old_failed + PRIOR_OUTCOMES * MIN_FAILURE_RATE
        return failed / (self.old_ran + PRIOR_OUTCOMES)

    def _old_rate_upper_bound(self) -> float:
        """Returns a bound three standard deviations above the estimate."""
        rate = self._estimate_old_rate()
        deviation = math.sqrt(
            rate * (1 - rate) / (self.old_ran + PRIOR_OUTCOMES)
        )
        return min(0.99, rate + 3 * deviation)


def _shift_log_odds(rate: float, shift: float) -> float:
    odds = rate / (1 - rate) * math.exp(shift)
    return odds / (1 + odds)


def _binomial_log_ratio(
    ran: int, failed: int, alternative_rate: float, null_rate: float
) -> float:
    return failed * math.log(alternative_rate / null_rate) + (
        ran - failed
    ) * math.log((1 - alternative_rate) / (1 - null_rate))
