"""Runs soaks by hand: ``python -m soak --seeds 50``."""

import argparse
import asyncio
import pathlib
import shutil
import tempfile
import time

from soak import regressions
from soak import soak

NETS = 200
"""Loopback networks, so that soaks at the same time do not meet."""


async def main(arguments):
    """Runs seeds a few at a time; returns those that broke something."""
    gate = asyncio.Semaphore(arguments.jobs)
    failed = []

    async def one(seed):
        async with gate:
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            made = soak.Soak(folder=folder, seed=seed, net=1 + seed % NETS)
            lines = await made.run(arguments.seconds)
            good = sum(each.status == 200 for each in made.tried)
            print(
                f"seed {seed}: {len(made.tried)} tried, {good} served,"
                f" {len(made.done)} faults, {len(lines)} broken",
                flush=True,
            )
            for line in lines[:5]:
                print(f"  {line}  (logs in {folder})", flush=True)
            if lines:
                failed.append(seed)
                (folder / "faults.txt").write_text("\n".join(made.done))
            else:
                shutil.rmtree(folder)

    first = arguments.first or int(time.time())
    seeds = [*range(first, first + arguments.seeds)]
    if arguments.regressions:
        seeds = [*regressions.SEEDS]
    await asyncio.gather(*(one(seed) for seed in seeds))
    print(f"{len(failed)} of {len(seeds)} seeds broke: {sorted(failed)}")
    return failed


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--jobs", type=int, default=1)
    raise SystemExit(bool(asyncio.run(main(parser.parse_args()))))
