"""Odd announcements of upstreams at the chat front, beside sound ones."""

import random

import entry_fixtures
import pytest
import test_odd_entries
import virtual

from _arbutuswalk.entry import upstream_announcements
from _arbutuswalk.routing import announcements
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import upstreams


class TestAnnouncements:
    COUNTERS = ("incarnation", "sequence", "fence")
    AMOUNTS = ("slots", "running", "cache_tokens")
    TEXTS = ("id", "upstream", "version", "instance", "domain", "role")

    @pytest.mark.parametrize(
        ("key", "value"),
        [
            *(
                (key, value)
                for key in COUNTERS
                # Times in nanoseconds are of the size of 2**62.
                for value in (*test_odd_entries.NO_NUMBERS, 2**63)
                if value != 2**62
            ),
            *(
                (key, value)
                for key in AMOUNTS
                for value in test_odd_entries.NO_NUMBERS
            ),
            *(
                (key, value)
                for key in TEXTS
                for value in test_odd_entries.NO_TEXTS
            ),
            *(("address", value) for value in test_odd_entries.NO_ADDRESSES),
            *(("leave_in_s", value) for value in test_odd_entries.NO_WARM_UPS),
            *(("adapters", [value]) for value in test_odd_entries.NO_TEXTS),
        ],
        ids=test_odd_entries.name_case,
    )
    def test_an_odd_announcement_is_refused(self, key, value):
        raw = entry_fixtures.make_announcement("u", "model")
        found = announcements.check({**raw, key: value})
        assert isinstance(found, announcements.BadAnnouncement)
        assert key in found.problems[0]

    @pytest.mark.parametrize(
        "changes",
        [{"slots": 10**400}, {"id": "a\ud800"}],
        ids=test_odd_entries.name_case,
    )
    def test_no_announcement_ends_the_choice_of_sound_ones(self, changes):
        rows = []
        for name, odd in (("a", {}), ("b", {}), ("odd", changes)):
            raw = entry_fixtures.make_announcement(name, "model")
            checked = announcements.check({**raw, **odd})
            if isinstance(checked, dict):
                rows.append(
                    upstreams.Row(announcement=checked, announced_at=0.0)
                )
        features = choose.Features(
            blocks=(), prompt_tokens=10, affinity="affinity"
        )
        assert choose.choose(rows, features).announcement["id"] in ("a", "b")

    def test_an_upstream_of_no_inventory_takes_no_identity(self):
        """Guards against refusals for a sound upstream (STARVED)."""
        loop = virtual.VirtualLoop()
        control = entry_fixtures.Control(loop, random.Random(1))
        entry = entry_fixtures.make_entry(loop, control, "a")
        entry_fixtures.refresh(entry, control)
        sound = announcements.check(
            entry_fixtures.make_announcement("a", "model")
        )
        odd = {
            **sound,
            "upstream": "next",
            "incarnation": sound["incarnation"] + 1,
        }

        async def announce_all():
            for announcement in (odd, sound, odd):
                upstream_announcements.apply_announcement(
                    entry, announcement, age_s=0.0
                )

        loop.run_until_complete(announce_all())
        rows = entry.upstreams.rows_for("model")
        assert [row.announcement for row in rows] == [sound]
