"""Validation of settings, inventories and workloads."""

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


def write_settings(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return str(path)


class TestSettings:
    def test_valid_file(self, tmp_path):
        values = settings.load(
            write_settings(tmp_path, ENTRY), entry_main.FIELDS
        )
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
        path = write_settings(tmp_path, ENTRY + line)
        result = settings.load(path, entry_main.FIELDS)
        assert isinstance(result, settings.BadSettings)
        assert path in result.problems[0]
        assert named in result.problems[0]

    def test_all_problems_are_reported(self, tmp_path):
        path = write_settings(tmp_path, 'address = "nowhere"\nx = 1')
        result = settings.load(path, control_main.FIELDS)
        assert len(result.problems) >= 4

    def test_invalid_toml(self, tmp_path):
        result = settings.load(
            write_settings(tmp_path, "= ="), entry_main.FIELDS
        )
        assert "not TOML" in result.problems[0]

    def test_missing_file(self, tmp_path):
        result = settings.load(str(tmp_path / "none"), entry_main.FIELDS)
        assert isinstance(result, settings.BadSettings)

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
    def test_examples_are_valid(self, name):
        checked = inventory.check(load_example(name), where=name)
        assert not isinstance(checked, settings.BadSettings)
        assert len(checked["workspaces"]) == 5

    @pytest.mark.parametrize("name", EXAMPLES)
    def test_validated_inventory_validates_unchanged(self, name):
        validated = inventory.check(load_example(name), where=name)
        assert inventory.check(validated, where=name) == validated

    @pytest.mark.parametrize("name", EXAMPLES)
    def test_example_workloads_are_valid(self, name):
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
    def test_problem_of_an_invalid_inventory_is_named(self, change, named):
        raw = copy.deepcopy(load_example("restwaarde"))
        change(raw)
        result = inventory.check(raw, where="file.toml")
        assert isinstance(result, settings.BadSettings)
        assert any(named in problem for problem in result.problems)
        assert all(p.startswith("file.toml") for p in result.problems)

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
        result = workload.load(str(path))
        assert isinstance(result, workload.BadWorkload)
        assert any(f"{path}:2" in problem for problem in result.problems)
        assert any(f"{path}:3" in problem for problem in result.problems)
