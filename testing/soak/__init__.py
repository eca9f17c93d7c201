"""A randomized soak: the real programs under faults from outside them."""
