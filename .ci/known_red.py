"""Runs the tests listed in KNOWN-RED.txt apart from all others.

An entry is a block of ``key: value`` lines with the keys in ``KEYS``; lines
that start with ``#`` are comments, blank lines separate entries. The exit
status is 0 whether the listed tests pass or fail, and 1 if the list is
malformed, or names no test that pytest finds.

    python .ci/known_red.py list   the listed node ids, one a line
    python .ci/known_red.py run    runs them and prints each outcome
"""

import pathlib
import subprocess
import sys

KEYS = ("test", "command", "seed", "seen", "issue")
LIST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
PYTEST_PASSED, PYTEST_FAILED = 0, 1


def parse(text: str) -> tuple[list[dict[str, str]], list[str]]:
    """Returns the entries of a list and what is wrong with it."""
    entries, problems = [], []
    lines = [line for line in text.split("\n") if not line.startswith("#")]
    for block in "\n".join(lines).split("\n\n"):
        if not block.strip():
            continue
        entry = {}
        for line in block.strip().split("\n"):
            key, colon, value = line.partition(":")
            if not colon or key not in KEYS or key in entry:
                problems.append(f"unexpected line: {line}")
            entry[key] = value.strip()
        problems += [
            f"{entry.get('test', 'entry')}: no value for {key}"
            for key in KEYS
            if not entry.get(key)
        ]
        if "::" not in entry.get("test", ""):
            problems.append(f"not the node id of one test: {entry}")
        entries.append(entry)
    listed = [entry.get("test") for entry in entries]
    problems += [
        f"listed twice: {t}" for t in set(listed) if listed.count(t) > 1
    ]
    return entries, problems


def run(node_id: str) -> int:
    """Runs one test; returns pytest's exit status."""
    done = subprocess.run(
        [sys.executable, "-m", "pytest", node_id], check=False
    )
    return done.returncode


def main(verb: str) -> int:
    """Lists or runs the known red tests; returns the exit status."""
    text = LIST.read_text(encoding="utf-8") if LIST.exists() else ""
    entries, problems = parse(text)
    for problem in problems:
        print(f"KNOWN-RED.txt: {problem}", file=sys.stderr)
    if problems:
        return 1
    for entry in entries:
        if verb == "list":
            print(entry["test"])
            continue
        status = run(entry["test"])
        if status not in {PYTEST_PASSED, PYTEST_FAILED}:
            print(
                f"KNOWN-RED.txt: {entry['test']} did not run: pytest ended"
                f" with status {status}",
                file=sys.stderr,
            )
            return 1
        outcome = "passed" if status == PYTEST_PASSED else "failed"
        print(f"Known red: {entry['test']} {outcome} (issue {entry['issue']})")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
