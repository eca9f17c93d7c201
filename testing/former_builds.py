"""Former builds of this repository, taken from its history."""

import io
import subprocess
import tarfile

import platform_fixtures

LANDINGS = ("d525f53", "a91c7ed", "003aef6", "a6a369c")
"""Commits that ran in production, oldest first."""


def extract(commit, folder):
    """Writes the programs of a commit to a folder of their own.

    Returns:
        That folder, which takes the place of the repository's root.
    """
    root = folder / f"build-{commit}"
    archive = subprocess.run(
        ["git", "archive", commit, "src", "platform"],
        cwd=platform_fixtures.ROOT,
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(root, filter="data")
    return root
