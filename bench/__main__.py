"""Runs benchmarks: routing, speeds, demand, moves, control and streams."""

from bench import admission
from bench import control
from bench import endpoint_speed
from bench import moves
from bench import routing
from bench import streams
from bench import workspace_demand

MODULES = (
    routing,
    endpoint_speed,
    admission,
    workspace_demand,
    moves,
    control,
    streams,
)

if __name__ == "__main__":
    for module in MODULES:
        print(f"== {module.__name__}")
        module.main()
