"""The operators' command line: exit codes, errors, differences."""

import pathlib
import subprocess
import sys

import entry_fixtures
import pytest

from _arbutuswalk.cli import differences

BIN = pathlib.Path(sys.executable).parent
ROOT = pathlib.Path(__file__).parent.parent
INVENTORY = ROOT / "examples" / "namib" / "inventory.toml"


def run(*arguments, binary="arbutuswalk", control=""):
    return subprocess.run(
        [str(BIN / binary), *map(str, arguments)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        env={"ARBUTUSWALK_CONTROL": control, "PATH": "/usr/bin:/bin"},
    )


class TestExitCodes:
    def test_no_address_is_bad_input(self):
        done = run("status")
        assert done.returncode == 2
        assert "ARBUTUSWALK_CONTROL" in done.stderr

    @pytest.mark.parametrize("control", ["localhost:1", "127.0.0.1"])
    def test_bad_address_is_named(self, control):
        done = run("status", "--control", control)
        assert done.returncode == 2
        assert control in done.stderr

    def test_bad_inventory_names_file_and_key(self, tmp_path):
        path = tmp_path / "inventory.toml"
        path.write_text('domains = ["d"]\nclasses = 3\n')
        done = run("apply", path, control="127.0.0.1:1")
        assert done.returncode == 2
        assert f"{path}: classes: 3" in done.stderr
        assert "Traceback" not in done.stderr

    def test_missing_inventory(self, tmp_path):
        done = run("apply", tmp_path / "none", control="127.0.0.1:1")
        assert done.returncode == 2

    def test_bad_dump_address(self):
        assert run("dump", "here").returncode == 2

    def test_completion_script(self):
        done = run("completions", "bash")
        assert done.returncode == 0
        assert "apply" in done.stdout

    @pytest.mark.parametrize(
        "binary", ["arbutuswalk-control", "arbutuswalk-entry"]
    )
    def test_daemons_refuse_bad_settings(self, tmp_path, binary):
        path = tmp_path / "settings.toml"
        path.write_text("speed = 3\n")
        done = run(path, "--check", binary=binary)
        assert done.returncode == 2
        assert "speed: unknown key" in done.stderr
        assert "Traceback" not in done.stderr


class TestDifferences:
    def test_changes_are_named_by_path(self):
        new = {**entry_fixtures.INVENTORY, "domains": ["d1"]}
        lines = differences.describe(entry_fixtures.INVENTORY, new)
        assert lines == ["~ domains: ['d1', 'd2'] -> ['d1']"]

    def test_named_rows_are_compared_by_name(self):
        upstreams = [dict(u) for u in entry_fixtures.INVENTORY["upstreams"]]
        upstreams[0]["version"] = "v2"
        new = {**entry_fixtures.INVENTORY, "upstreams": upstreams[::-1]}
        lines = differences.describe(entry_fixtures.INVENTORY, new)
        assert lines == ["~ upstreams.model.version: 'v1' -> 'v2'"]

    def test_first_inventory_is_all_new(self):
        lines = differences.describe(None, entry_fixtures.INVENTORY)
        assert all(line.startswith("+ ") for line in lines)
