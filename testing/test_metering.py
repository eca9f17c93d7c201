"""Charges computed from bills and the entries' usage."""

from _arbutuswalk.control import metering
from _arbutuswalk.state import tables as rows

INTERVAL_S = 10.0


def make_report(used_ms):
    return {
        "usage": {"i": {"w": used_ms}},
        "upstreams": {"u": ["model", "v1", "i", "d", "c", 1, 0, True]},
    }


def charge(meter, reports, bill):
    tables = rows.Tables()
    return metering.compute_charge(
        meter, tables, reports, {"i": bill}, INTERVAL_S
    ).amounts


class TestMeter:
    def test_busy_time_of_an_interval_is_charged_to_its_workspace(self):
        meter = metering.Meter()
        charge(meter, {"e": make_report(0)}, 100)
        amounts = charge(meter, {"e": make_report(5_000)}, 200)
        assert amounts["workspace/w"] == (200 - 100) * 5 // 80

    def test_use_before_the_leader_knew_an_entry_is_not_charged(self):
        meter = metering.Meter()
        charge(meter, {"e": make_report(0)}, 100)
        reports = {"e": make_report(0), "late": make_report(50_000)}
        amounts = charge(meter, reports, 200)
        assert amounts.get("workspace/w", 0) == 0
