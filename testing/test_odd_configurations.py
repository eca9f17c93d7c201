"""Odd configurations and rollouts of operators."""

import json

import platform_fixtures
import pytest
import test_odd_entries
from arbutuswalk_platform import operators


class TestConfigurations:
    LONE = "a\ud800"

    @pytest.mark.parametrize(
        "path",
        [
            ("routes", 0, "name"),
            ("routes", 0, "host"),
            ("routes", 0, "path_prefix"),
            ("routes", 0, "service"),
            ("services", 0, "name"),
            ("tenants", 0, "name"),
            ("tenants", 0, "api_keys", 0),
        ],
        ids=str,
    )
    def test_one_with_a_lone_surrogate_is_refused(self, path):
        """Guards against names that cannot be sent, or shown as metrics."""
        config = platform_fixtures.make_config(2, "/a/")
        *way, last = path
        fields = config
        for key in way:
            fields = fields[key]
        fields[last] = self.LONE
        found = operators.decode_config(json.dumps(config).encode())
        assert isinstance(found, str)

    @pytest.mark.parametrize("name", ["a\r\nX-Tenant: b", "a\x00", "a\n"])
    def test_a_tenant_that_no_header_can_name_is_refused(self, name):
        """Guards against a name that adds headers to the requests sent."""
        config = platform_fixtures.make_config(2, "/a/")
        config["tenants"][0]["name"] = name
        found = operators.decode_config(json.dumps(config).encode())
        assert isinstance(found, str)

    @pytest.mark.parametrize("name", ["ä", "日本", "a b", "a\u00a0b"])
    def test_other_names_are_accepted(self, name):
        config = platform_fixtures.make_config(2, "/a/")
        config["tenants"][0]["name"] = name
        found = operators.decode_config(json.dumps(config).encode())
        assert found.workspaces[0].name == name

    @pytest.mark.parametrize(
        "body",
        test_odd_entries.UNREADABLE.values(),
        ids=test_odd_entries.UNREADABLE,
    )
    def test_an_unreadable_one_is_refused(self, body):
        assert isinstance(operators.decode_config(body), str)
        assert isinstance(operators.decode_rollout(body), str)
