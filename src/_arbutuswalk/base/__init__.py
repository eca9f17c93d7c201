"""Clock, outcomes, events, settings and metrics shared by all layers."""
