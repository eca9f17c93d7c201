"""Runs a stateful machine long enough to catch a planted fault."""

import hypothesis
from hypothesis import stateful

EXAMPLES = 400


def run(machine):
    """Runs a machine with the fixed profile and more examples."""
    settings = hypothesis.settings(
        hypothesis.settings.get_profile("ci"), max_examples=EXAMPLES
    )
    stateful.run_state_machine_as_test(machine, settings=settings)
