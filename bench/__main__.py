"""Runs the benchmarks of routing, speeds, moves, control and streams."""

from bench import admission
from bench import control
from bench import endpoint_speed
from bench import moves
from bench import routing
from bench import streams

if __name__ == "__main__":
    for module in (
        routing,
        endpoint_speed,
        admission,
        moves,
        control,
        streams,
    ):
        print(f"== {module.__name__}")
        module.main()
