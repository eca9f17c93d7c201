"""The list of known red tests, as CI reads it."""

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


def written(**changes):
    fields = {**ENTRY, **changes}
    return "\n".join(f"{k}: {v}" for k, v in fields.items() if v is not None)


class TestKnownRed:
    def test_entries_are_read(self, known_red):
        other = written(test="testing/test_wal.py::TestWal::test_one")
        text = f"# a comment\n\n{written()}\n\n{other}\n"
        entries, problems = known_red.parse(text)
        assert problems == []
        assert [e["test"] for e in entries] == [
            "testing/test_smoke.py::test_import",
            "testing/test_wal.py::TestWal::test_one",
        ]

    def test_an_empty_list_has_no_entries(self, known_red):
        assert known_red.parse("# only a comment\n") == ([], [])

    @pytest.mark.parametrize(
        "text",
        [
            *(written(**{key: None}) for key in ENTRY),
            *(written(**{key: ""}) for key in ENTRY),
            written(test="testing/test_smoke.py"),
            written(reason="an unknown key"),
            f"{written()}\nissue: 10",
            f"{written()}\nno key",
            f"{written()}\n\n{written()}",
        ],
    )
    def test_a_malformed_entry_is_a_problem(self, known_red, text):
        _, problems = known_red.parse(text)
        assert problems

    @pytest.mark.parametrize(
        ("text", "status"),
        [
            (written(seen=""), 1),
            (written(test="testing/test_smoke.py::test_absent"), 1),
            (written(test="testing/test_absent.py::test_absent"), 1),
        ],
        ids=["malformed", "no such test", "no such file"],
    )
    def test_a_list_that_cannot_be_run_fails(
        self, known_red, monkeypatch, tmp_path, text, status
    ):
        path = tmp_path / "KNOWN-RED.txt"
        path.write_text(text)
        monkeypatch.setattr(known_red, "LIST", path)
        assert known_red.main("run") == status

    @pytest.mark.parametrize(
        ("body", "outcome"), [("True", "passed"), ("False", "failed")]
    )
    def test_the_outcome_of_a_listed_test_is_printed(
        self, known_red, monkeypatch, tmp_path, capsys, body, outcome
    ):
        test = tmp_path / "test_red.py"
        test.write_text(f"def test_red():\n    assert {body}\n")
        path = tmp_path / "KNOWN-RED.txt"
        path.write_text(written(test=f"{test}::test_red"))
        monkeypatch.setattr(known_red, "LIST", path)
        assert known_red.main("run") == 0
        assert f"test_red {outcome} (issue 9)" in capsys.readouterr().out

    def test_the_list_of_this_project_is_well_formed(self):
        done = subprocess.run(
            [sys.executable, str(SCRIPT), "list"], check=False
        )
        assert done.returncode == 0
