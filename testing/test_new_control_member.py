"""A control process at an address that entries learn only from its group."""

import test_duties

from _arbutuswalk.control import discovery as discoveries


class TestMemberThatEntriesLearnOfLater:
    def test_it_does_not_state_a_count_before_all_entries_watch_it(self):
        components = test_duties.make_components()
        discovery = components.discovery
        components.member.time += 2 * discoveries.SETTLING_TIME_S
        discovery._record_watch(test_duties.watch(discovery, "e1"), 0)
        update = discovery._build_update(0, has_share=True)
        assert not update["is_settled"]
        assert update["entries"] == 0
        discovery._record_watch(test_duties.watch(discovery, "e2"), 0)
        components.member.time += discoveries.SETTLING_TIME_S
        update = discovery._build_update(0, has_share=True)
        assert update["is_settled"]
        assert update["entries"] == 2
