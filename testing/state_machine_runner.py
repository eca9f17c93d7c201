"""Runs a Hypothesis state machine long enough to detect an injected fault."""

import hypothesis
from hypothesis import stateful

MAX_EXAMPLES = 2000


def run_state_machine(machine_class):
    """Runs a state machine with the ``ci`` profile and more examples."""
    settings = hypothesis.settings(
        hypothesis.settings.get_profile("ci"), max_examples=MAX_EXAMPLES
    )
    stateful.run_state_machine_as_test(machine_class, settings=settings)
