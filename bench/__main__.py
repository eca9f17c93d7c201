"""Runs the benchmarks of routing, moves, control and streams in turn."""

from bench import control
from bench import moves
from bench import routing
from bench import streams

if __name__ == "__main__":
    for module in (routing, moves, control, streams):
        print(f"== {module.__name__}")
        module.main()
