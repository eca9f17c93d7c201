"""The operators' command line: exit codes, errors and inventory differences."""

import pathlib
import subprocess
import sys

import entry_fixtures
import pytest

from _arbutuswalk.cli import inventory_diff

BIN_FOLDER = pathlib.Path(sys.executable).parent
ROOT = pathlib.Path(__file__).parent.parent
INVENTORY = ROOT / "examples" / "namib" / "inventory.toml"


def run_command(*arguments, program="arbutuswalk", control=""):
    return subprocess.run(
        [str(BIN_FOLDER / program), *map(str, arguments)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        env={"ARBUTUSWALK_CONTROL": control, "PATH": "/usr/bin:/bin"},
    )


class TestExitCodes:
    def test_no_address_is_bad_input(self):
        completed = run_command("status")
        assert completed.returncode == 2
        assert "ARBUTUSWALK_CONTROL" in completed.stderr

    @pytest.mark.parametrize("control", ["localhost:1", "127.0.0.1"])
    def test_bad_address_is_named(self, control):
        completed = run_command("status", "--control", control)
        assert completed.returncode == 2
        assert control in completed.stderr

    def test_bad_inventory_names_file_and_key(self, tmp_path):
        path = tmp_path / "inventory.toml"
        path.write_text('domains = ["d"]\nclasses = 3\n')
        completed = run_command("apply", path, control="127.0.0.1:1")
        assert completed.returncode == 2
        assert f"{path}: classes: 3" in completed.stderr
        assert "Traceback" not in completed.stderr

    def test_missing_inventory(self, tmp_path):
        completed = run_command(
            "apply", tmp_path / "none", control="127.0.0.1:1"
        )
        assert completed.returncode == 2

    def test_bad_dump_address(self):
        assert run_command("dump", "here").returncode == 2

    def test_completion_script(self):
        completed = run_command("completions", "bash")
        assert completed.returncode == 0
        assert "apply" in completed.stdout

    @pytest.mark.parametrize(
        "binary", ["arbutuswalk-control", "arbutuswalk-entry"]
    )
    def test_processes_refuse_invalid_settings(self, tmp_path, binary):
        path = tmp_path / "settings.toml"
        path.write_text("speed = 3\n")
        completed = run_command(path, "--check", program=binary)
        assert completed.returncode == 2
        assert "speed: unknown key" in completed.stderr
        assert "Traceback" not in completed.stderr


class TestDifferences:
    def test_change_is_reported_by_path(self):
        new = {**entry_fixtures.INVENTORY, "domains": ["d1"]}
        lines = inventory_diff.diff_inventories(entry_fixtures.INVENTORY, new)
        assert lines == ["~ domains: ['d1', 'd2'] -> ['d1']"]

    def test_rows_are_matched_by_name(self):
        upstreams = [dict(u) for u in entry_fixtures.INVENTORY["upstreams"]]
        upstreams[0]["version"] = "v2"
        new = {**entry_fixtures.INVENTORY, "upstreams": upstreams[::-1]}
        lines = inventory_diff.diff_inventories(entry_fixtures.INVENTORY, new)
        assert lines == ["~ upstreams.model.version: 'v1' -> 'v2'"]

    def test_first_inventory_is_reported_as_added(self):
        lines = inventory_diff.diff_inventories(None, entry_fixtures.INVENTORY)
        assert all(line.startswith("+ ") for line in lines)
