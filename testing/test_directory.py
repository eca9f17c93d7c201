"""Directory of endpoints, with announcements in any order."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies

from _arbutuswalk.routing import deregistrations
from _arbutuswalk.routing import directory


def make_endpoint(**changes):
    values = {
        "id": "a",
        "born_ms": 1000,
        "sequence": 1,
        "upstream": "llm",
        "address": "10.0.0.1:80",
        "domain": "d1",
        "version": "v1",
        "slots": 4,
        "state": directory.READY,
    }
    return directory.Endpoint(**{**values, **changes})


def state_of(endpoints, name="a"):
    return endpoints.rows[name].endpoint.state


class TestAnnounce:
    def test_a_late_announcement_does_not_undo_leaving(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(sequence=1), 0.0)
        leaving = make_endpoint(sequence=3, state=directory.LEAVING)
        directory.announce(endpoints, leaving, 1.0)
        directory.announce(endpoints, make_endpoint(sequence=2), 2.0)
        directory.announce(endpoints, make_endpoint(sequence=4), 2.0)
        assert state_of(endpoints) == directory.LEAVING

    def test_leaving_applies_despite_a_lower_sequence(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(sequence=5), 0.0)
        leaving = make_endpoint(sequence=4, state=directory.LEAVING)
        assert directory.announce(endpoints, leaving, 1.0)
        assert state_of(endpoints) == directory.LEAVING

    def test_a_new_start_under_the_same_id_is_ready_again(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        directory.deregister(endpoints, "a", None, 1.0)
        directory.announce(endpoints, make_endpoint(born_ms=2000), 2.0)
        assert state_of(endpoints) == directory.READY

    def test_an_announcement_of_a_former_start_is_ignored(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(born_ms=2000), 0.0)
        late = make_endpoint(born_ms=1000, sequence=99, version="v0")
        assert not directory.announce(endpoints, late, 1.0)
        assert endpoints.rows["a"].endpoint.version == "v1"
        assert endpoints.rows["a"].announced_at == 0.0

    def test_an_address_belongs_to_the_latest_start(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        directory.announce(endpoints, make_endpoint(id="b", born_ms=2000), 1.0)
        assert state_of(endpoints) == directory.GONE
        late = make_endpoint(id="c", born_ms=1500)
        assert not directory.announce(endpoints, late, 2.0)
        assert "c" not in endpoints.rows

    def test_a_higher_sequence_alone_is_no_change(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        revision = endpoints.revision
        assert not directory.announce(endpoints, make_endpoint(sequence=2), 1.0)
        assert endpoints.rows["a"].announced_at == 1.0
        assert not directory.has_changes_since(endpoints, revision)
        assert directory.updated_since(endpoints, revision)

    @hypothesis.given(
        order=strategies.permutations(range(5)),
    )
    def test_any_order_ends_in_the_same_state(self, order):
        said = [
            make_endpoint(sequence=1),
            make_endpoint(sequence=2),
            make_endpoint(sequence=3, state=directory.LEAVING),
            make_endpoint(born_ms=2000, sequence=1, version="v2"),
            make_endpoint(born_ms=2000, sequence=2, version="v2"),
        ]
        found = directory.Directory()
        for index in order:
            directory.announce(found, said[index], 0.0)
        assert found.rows["a"].endpoint == said[4]


class TestDeregister:
    @pytest.mark.parametrize("born_ms", [None, 1000, 1500])
    def test_a_deregistration_is_final_for_the_start(self, born_ms):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        assert directory.deregister(endpoints, "a", born_ms, 1.0)
        assert state_of(endpoints) == directory.GONE
        assert not directory.deregister(endpoints, "a", born_ms, 1.0)

    def test_a_deregistration_of_a_former_start_is_ignored(self):
        endpoints = directory.Directory()
        directory.announce(endpoints, make_endpoint(), 0.0)
        assert not directory.deregister(endpoints, "a", 999, 1.0)
        assert state_of(endpoints) == directory.READY


class TestExpire:
    def test_silent_rows_are_removed_with_their_address(self):
        endpoints = directory.Directory()
        for number, at in itertools.product([1], [0.0]):
            directory.announce(endpoints, make_endpoint(sequence=number), at)
        assert directory.expire(endpoints, 5.0, 4.0) == ["a"]
        assert not endpoints.rows
        assert not endpoints.ids_by_address


class TestUnconfiguredUpstreams:
    """Guards against odd reports that displace sound endpoints (STARVED)."""

    OTHER = {"upstream": "next", "born_ms": 2000, "sequence": 9}

    def make_directory(self):
        return directory.Directory(upstream_names=frozenset({"llm"}))

    @pytest.mark.parametrize("name", ["a", "w"], ids=["id", "address"])
    @pytest.mark.parametrize("is_first", [False, True])
    def test_they_displace_no_sound_endpoint(self, name, is_first):
        endpoints = self.make_directory()
        sound, odd = make_endpoint(), make_endpoint(id=name, **self.OTHER)
        for announcement in (odd, sound) if is_first else (sound, odd):
            directory.announce(endpoints, announcement, 1.0)
        directory.announce(endpoints, sound._replace(sequence=2), 2.0)
        assert endpoints.rows["a"].endpoint.upstream == "llm"
        assert state_of(endpoints) == directory.READY
        assert endpoints.rows["a"].announced_at == 2.0
        assert endpoints.ids_by_address["10.0.0.1:80"] == "a"

    def test_they_displace_none_before_the_first_configuration(self):
        endpoints = directory.Directory(upstream_names=frozenset())
        sound = make_endpoint()
        odd = make_endpoint(id="w", **self.OTHER)
        for announcement in (sound, odd):
            directory.announce(endpoints, announcement, 1.0)
        endpoints.upstream_names = frozenset({"llm"})
        directory.announce(endpoints, sound._replace(sequence=2), 2.0)
        assert state_of(endpoints) == directory.READY
        assert endpoints.ids_by_address["10.0.0.1:80"] == "a"

    def test_a_later_configuration_may_name_them(self):
        endpoints = self.make_directory()
        directory.announce(endpoints, make_endpoint(), 1.0)
        odd = make_endpoint(id="w", state=directory.LEAVING, **self.OTHER)
        directory.announce(endpoints, odd, 1.0)
        endpoints.upstream_names = frozenset({"llm", "next"})
        late = odd._replace(sequence=1, state=directory.READY)
        directory.announce(endpoints, late, 2.0)
        assert state_of(endpoints, "w") == directory.LEAVING
        directory.announce(endpoints, odd._replace(sequence=10), 3.0)
        assert state_of(endpoints) == directory.GONE

    @pytest.mark.parametrize("born_ms", [None, 1000])
    def test_an_endpoint_deregisters_though_they_have_its_id(self, born_ms):
        receiver, member = self.make_directory(), self.make_directory()
        directory.announce(member, make_endpoint(), 0.0)
        directory.announce(receiver, make_endpoint(**self.OTHER), 0.0)
        gone = deregistrations.make_gone(receiver, "a", born_ms, 1500)
        directory.announce(receiver, gone, 1.0)
        directory.announce(member, gone, 1.0)
        late = make_endpoint(sequence=3)
        directory.announce(receiver, late, 2.0)
        directory.announce(member, late, 2.0)
        assert state_of(receiver) == state_of(member) == directory.GONE
