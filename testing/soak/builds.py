"""Builds that the processes of a soak run."""

import asyncio


def pick_at_each_start(soak, rng, roots):
    """Makes each start of a process run one of several builds.

    Args:
        soak: The soak, whose log of faults gets a line for each start.
        rng: Source of the picks.
        roots: Root folders of the builds.
    """
    launch_program = soak.cluster.launch_program

    def launch_one_build(ip, script, settings):
        root = rng.choice(roots)
        soak.cluster.roots[ip] = root
        at = asyncio.get_running_loop().time()
        soak.fault_log.append(f"{at:.3f} {ip} runs {root.name}")
        launch_program(ip, script, settings)

    soak.cluster.launch_program = launch_one_build
