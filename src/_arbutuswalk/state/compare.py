"""Anytime-valid comparison of a new version's failures with the old one's.

The test is an e-process: under "the new version fails no more often than the
old one" its expectation never exceeds one, so by Ville's inequality the chance
that it ever reaches a threshold is at most one over the threshold, however
often it is looked at.

A block with outcomes of both versions uses the two-sample likelihood ratio
against the pooled rate. A block with outcomes of the new version alone uses
the one-sample ratio against an upper bound on the old version's rate.
"""

import math
from typing import NamedTuple

LOG_ODDS = (1.0, 2.0, 3.5, 5.0)
"""Alternatives: by how much the new version's log odds may be higher."""
LEAST_RATE = 0.01
"""Failure rate below which differences do not matter."""
PRIOR_OUTCOMES = 20.0
"""Weight of ``LEAST_RATE`` in the estimate of the old version's rate."""


class Block(NamedTuple):
    """Outcomes that came in since the last block."""

    old_ran: int
    old_failed: int
    new_ran: int
    new_failed: int


class Comparison:
    """One test: a mixture of likelihood ratios over the alternatives.

    Attributes:
        log_ratios: Logarithm of the ratio for each alternative.
        old_ran: Outcomes of the old version in all blocks.
        old_failed: Its failures among them.
        new_ran: Outcomes of the new version.
        new_failed: Its failures.
    """

    def __init__(self):
        self.log_ratios = [0.0] * len(LOG_ODDS)
        self.old_ran = 0
        self.old_failed = 0
        self.new_ran = 0
        self.new_failed = 0

    @property
    def log_evidence(self) -> float:
        """Logarithm of the e-value against the new version."""
        top = max(self.log_ratios)
        total = sum(math.exp(ratio - top) for ratio in self.log_ratios)
        return top + math.log(total / len(self.log_ratios))

    def update(self, block: Block) -> None:
        """Takes one block; predictions use only the blocks before it."""
        if block.new_ran:
            for i, odds in enumerate(LOG_ODDS):
                self.log_ratios[i] += self._log_factor(block, odds)
        self.old_ran += block.old_ran
        self.old_failed += block.old_failed
        self.new_ran += block.new_ran
        self.new_failed += block.new_failed

    def _log_factor(self, block: Block, odds: float) -> float:
        old = self._old_rate()
        new = _shift(old, odds)
        if not block.old_ran:
            bound = self._old_bound()
            new = max(new, _shift(bound, odds))
            return _log_ratio(block.new_ran, block.new_failed, new, bound)
        ran = block.old_ran + block.new_ran
        pooled = (block.old_ran * old + block.new_ran * new) / ran
        return _log_ratio(
            block.old_ran, block.old_failed, old, pooled
        ) + _log_ratio(block.new_ran, block.new_failed, new, pooled)

    def _old_rate(self) -> float:
        failed = self.old_failed + PRIOR_OUTCOMES * LEAST_RATE
        return failed / (self.old_ran + PRIOR_OUTCOMES)

    def _old_bound(self) -> float:
        """Upper bound on the old rate: three deviations above the estimate."""
        rate = self._old_rate()
        spread = math.sqrt(rate * (1 - rate) / (self.old_ran + PRIOR_OUTCOMES))
        return min(0.99, rate + 3 * spread)


def _shift(rate: float, log_odds: float) -> float:
    odds = rate / (1 - rate) * math.exp(log_odds)
    return odds / (1 + odds)


def _log_ratio(ran: int, failed: int, rate: float, null: float) -> float:
    return failed * math.log(rate / null) + (ran - failed) * math.log(
        (1 - rate) / (1 - null)
    )
