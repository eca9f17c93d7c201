"""Settings and inventories: every problem names key, value and the fix."""

import copy
import pathlib

import hypothesis
import hypothesis.strategies as st
import pytest

from _arbutuswalk.base import settings
from _arbutuswalk.control import main as control_main
from _arbutuswalk.entry import main as entry_main
from _arbutuswalk.load import workload
from _arbutuswalk.state import inventory

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLES = ["restwaarde", "namib"]
ENTRY = """
id = "e"
address = "127.0.0.1:1"
link_address = "127.0.0.1:2"
domain = "d"
control = ["127.0.0.1:3"]
"""


def write(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return str(path)


class TestSettings:
    def test_good_file(self, tmp_path):
        values = settings.load(write(tmp_path, ENTRY), entry_main.FIELDS)
        assert values["gap_s"] == 2.0

    @pytest.mark.parametrize(
        ("line", "named"),
        [
            pytest.param("gap_s = -1", "gap_s", id="impossible"),
            pytest.param('gap_s = "2"', "gap_s", id="wrong-type"),
            pytest.param("gap = 2", "gap", id="unknown-key"),
            pytest.param("weight = true", "weight", id="flag-for-number"),
        ],
    )
    def test_bad_value_is_named(self, tmp_path, line, named):
        path = write(tmp_path, ENTRY + line)
        bad = settings.load(path, entry_main.FIELDS)
        assert isinstance(bad, settings.BadSettings)
        assert path in bad.problems[0]
        assert named in bad.problems[0]

    def test_all_problems_are_told_at_once(self, tmp_path):
        path = write(tmp_path, 'address = "nowhere"\nx = 1')
        bad = settings.load(path, control_main.FIELDS)
        assert len(bad.problems) >= 4

    def test_not_toml(self, tmp_path):
        bad = settings.load(write(tmp_path, "= ="), entry_main.FIELDS)
        assert "not TOML" in bad.problems[0]

    def test_no_file(self, tmp_path):
        bad = settings.load(str(tmp_path / "none"), entry_main.FIELDS)
        assert isinstance(bad, settings.BadSettings)

    @pytest.mark.parametrize(
        "address",
        ["localhost:1", "127.0.0.1", "127.0.0.1:0", "1.2.3:4", "1.2.3.400:5"],
    )
    def test_bad_addresses(self, address):
        assert not settings.is_address(address)


def load_example(name):
    path = ROOT / "examples" / name / "inventory.toml"
    return settings.read_toml(str(path))


class TestInventory:
    @pytest.mark.parametrize("name", EXAMPLES)
    def test_examples_are_good(self, name):
        checked = inventory.check(load_example(name), where=name)
        assert not isinstance(checked, settings.BadSettings)
        assert len(checked["workspaces"]) == 5

    @pytest.mark.parametrize("name", EXAMPLES)
    def test_a_checked_inventory_checks_again(self, name):
        once = inventory.check(load_example(name), where=name)
        assert inventory.check(once, where=name) == once

    @pytest.mark.parametrize("name", EXAMPLES)
    def test_example_workloads_are_good(self, name):
        items = workload.load(str(ROOT / "examples" / name / "workload.jsonl"))
        assert len(items) > 200

    @pytest.mark.parametrize(
        ("change", "named"),
        [
            pytest.param(
                lambda raw: raw["upstreams"][0].update(domains=["moon"]),
                "moon",
                id="unknown-domain",
            ),
            pytest.param(
                lambda raw: raw["upstreams"][0].update(floor=50),
                "floor",
                id="floor-above-most",
            ),
            pytest.param(
                lambda raw: raw["upstreams"][0].update(rollout_deadline_s=1),
                "impossible",
                id="impossible-deadline",
            ),
            pytest.param(
                lambda raw: raw["upstreams"][1].update(routes=[]),
                "routes",
                id="service-without-routes",
            ),
            pytest.param(
                lambda raw: raw["workspaces"].append(raw["workspaces"][0]),
                "twice",
                id="doubled-name",
            ),
            pytest.param(
                lambda raw: raw["upstreams"][1]["routes"][0].update(
                    status="/no-key"
                ),
                "status",
                id="status-without-key",
            ),
        ],
    )
    def test_bad_inventory_is_explained(self, change, named):
        raw = copy.deepcopy(load_example("restwaarde"))
        change(raw)
        bad = inventory.check(raw, where="file.toml")
        assert isinstance(bad, settings.BadSettings)
        assert any(named in problem for problem in bad.problems)
        assert all(p.startswith("file.toml") for p in bad.problems)

    @hypothesis.given(
        st.recursive(
            st.none()
            | st.booleans()
            | st.integers()
            | st.text(max_size=5)
            | st.sampled_from(["domains", "upstreams"]),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        [
                            "domains",
                            "classes",
                            "rules",
                            "workspaces",
                            "upstreams",
                            "routes",
                            "name",
                        ]
                    ),
                    inner,
                    max_size=5,
                )
            ),
            max_leaves=12,
        ).filter(lambda value: isinstance(value, dict))
    )
    def test_any_table_gives_an_outcome(self, raw):
        checked = inventory.check(raw, where="x")
        assert isinstance(checked, dict | settings.BadSettings)


class TestWorkload:
    def test_problems_name_the_line(self, tmp_path):
        path = tmp_path / "w.jsonl"
        path.write_text('{"at_ms": 1}\nnot json\n[]\n')
        bad = workload.load(str(path))
        assert isinstance(bad, workload.BadWorkload)
        assert any(f"{path}:2" in problem for problem in bad.problems)
        assert any(f"{path}:3" in problem for problem in bad.problems)
