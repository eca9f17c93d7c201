"""Command line of the soak test: ``python -m soak --seeds 50``."""

import argparse
import asyncio
import pathlib
import shutil
import tempfile
import time

import former_builds
import platform_fixtures

from soak import regressions
from soak import soak


def extract_builds(commits, folder):
    """Returns the root folders of former builds and of this one, or none."""
    if not commits:
        return []
    former = [former_builds.extract(commit, folder) for commit in commits]
    return [*former, platform_fixtures.ROOT]


async def main(arguments):
    """Runs ``arguments.jobs`` seeds at a time; returns the failed seeds."""
    job_slots = asyncio.Semaphore(arguments.jobs)
    failed_seeds = []

    async def run_seed(seed):
        async with job_slots:
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            soak_run = soak.Soak(
                folder=folder,
                seed=seed,
                roots=extract_builds(arguments.builds, folder),
            )
            violations = await soak_run.run(arguments.seconds)
            served = sum(attempt.status == 200 for attempt in soak_run.attempts)
            print(
                f"seed {seed}: {len(soak_run.attempts)} attempts,"
                f" {served} served, {len(soak_run.fault_log)} faults,"
                f" {len(violations)} violations",
                flush=True,
            )
            for violation in violations[:5]:
                print(f"  {violation}  (logs in {folder})", flush=True)
            if violations:
                failed_seeds.append(seed)
                (folder / "faults.txt").write_text(
                    "\n".join(soak_run.fault_log)
                )
            else:
                shutil.rmtree(folder)

    first_seed = arguments.first or int(time.time())
    seeds = [*range(first_seed, first_seed + arguments.seeds)]
    if arguments.regressions:
        seeds = [*regressions.SEEDS]
    await asyncio.gather(*(run_seed(seed) for seed in seeds))
    print(
        f"{len(failed_seeds)} of {len(seeds)} seeds failed:"
        f" {sorted(failed_seeds)}"
    )
    return failed_seeds


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument(
        "--builds",
        nargs="+",
        default=[],
        metavar="COMMIT",
        help="each start of a process picks one of these or this build",
    )
    raise SystemExit(bool(asyncio.run(main(parser.parse_args()))))
