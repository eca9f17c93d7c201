"""Tests of the script by which CI runs the tests of KNOWN-RED.txt apart."""

import importlib.util
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SCRIPT = ROOT / ".ci" / "known_red.py"
ENTRY = {
    "test": "testing/test_smoke.py::test_import",
    "command": "pytest testing/test_smoke.py",
    "seed": "none",
    "seen": "assert 3 <= 2",
    "issue": "9",
}


@pytest.fixture
def known_red():
    spec = importlib.util.spec_from_file_location("known_red", SCRIPT)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def format_entry(**changes):
    fields = {**ENTRY, **changes}
    return "\n".join(f"{k}: {v}" for k, v in fields.items() if v is not None)


class TestKnownRed:
    def test_entries_are_read(self, known_red):
        other_entry = format_entry(
            test="testing/test_wal.py::TestWal::test_one"
        )
        list_text = f"# a comment\n\n{format_entry()}\n\n{other_entry}\n"
        entries, problems = known_red.parse(list_text)
        assert problems == []
        assert [entry["test"] for entry in entries] == [
            "testing/test_smoke.py::test_import",
            "testing/test_wal.py::TestWal::test_one",
        ]

    def test_empty_list_has_no_entries(self, known_red):
        assert known_red.parse("# only a comment\n") == ([], [])

    @pytest.mark.parametrize(
        "text",
        [
            *(format_entry(**{key: None}) for key in ENTRY),
            *(format_entry(**{key: ""}) for key in ENTRY),
            format_entry(test="testing/test_smoke.py"),
            format_entry(reason="an unknown key"),
            f"{format_entry()}\nissue: 10",
            f"{format_entry()}\nno key",
            f"{format_entry()}\n\n{format_entry()}",
        ],
    )
    def test_malformed_entry_is_a_problem(self, known_red, text):
        _, problems = known_red.parse(text)
        assert problems

    @pytest.mark.parametrize(
        ("text", "status"),
        [
            (format_entry(seen=""), 1),
            (format_entry(test="testing/test_smoke.py::test_absent"), 1),
            (format_entry(test="testing/test_absent.py::test_absent"), 1),
        ],
        ids=["malformed", "no such test", "no such file"],
    )
    def test_unrunnable_list_fails(
        self, known_red, monkeypatch, tmp_path, text, status
    ):
        path = tmp_path / "KNOWN-RED.txt"
        path.write_text(text)
        monkeypatch.setattr(known_red, "LIST", path)
        assert known_red.main("run") == status

    @pytest.mark.parametrize(
        ("body", "outcome"), [("True", "passed"), ("False", "failed")]
    )
    def test_outcome_of_listed_test_is_printed(
        self, known_red, monkeypatch, tmp_path, capsys, body, outcome
    ):
        test = tmp_path / "test_red.py"
        test.write_text(f"def test_red():\n    assert {body}\n")
        path = tmp_path / "KNOWN-RED.txt"
        path.write_text(format_entry(test=f"{test}::test_red"))
        monkeypatch.setattr(known_red, "LIST", path)
        assert known_red.main("run") == 0
        assert f"test_red {outcome} (issue 9)" in capsys.readouterr().out

    def test_project_list_is_well_formed(self):
        result = subprocess.run(
            [sys.executable, str(SCRIPT), "list"], check=False
        )
        assert result.returncode == 0
