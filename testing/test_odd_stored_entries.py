"""Odd endpoints in what processes send each other and keep on disk."""

import json
import math
import pathlib
import zlib

import pytest
import test_crashes
import test_duties
import test_odd_entries
import test_watching

from _arbutuswalk.control import endpoint_cache
from _arbutuswalk.control import entry_count_cache
from _arbutuswalk.control import service as services
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire.gen.arbutus import ttypes

ENDPOINT_KEYS = {
    "service": "upstream",
    "address": "address",
    "zone": "domain",
    "version": "version",
    "slots": "slots",
    "state": "state",
    "cold_remaining_ms": "cold_s",
    "sequence": "sequence",
    "born": "born_ms",
}


def make_endpoint(endpoint_id="a", **changes):
    endpoint = test_crashes.make_endpoint(endpoint_id[0])
    return endpoint._replace(**{"id": endpoint_id, **changes})


def make_odd_rows():
    """Returns the lists of odd endpoints that no process may send."""
    rows = []
    for name, value in test_odd_entries.ODD_FIELDS:
        if name in ENDPOINT_KEYS and value not in ("leaving", "gone"):
            odd = make_endpoint("odd")._replace(**{ENDPOINT_KEYS[name]: value})
            rows.append(list(odd))
    rows += [
        list(make_endpoint("odd", id=value))
        for value in test_odd_entries.NO_TEXTS
    ]
    return rows


OTHER_SHAPES = (
    None,
    7,
    "x" * 11,
    {},
    dict.fromkeys(map(str, range(11))),
    [],
    [[]],
    list(make_endpoint("odd"))[:5],
    [*make_endpoint("odd"), 1],
)
ODD_ROWS = pytest.mark.parametrize(
    "row", make_odd_rows(), ids=test_odd_entries.name_case
)
ALL_ROWS = pytest.mark.parametrize(
    "row", [*make_odd_rows(), *OTHER_SHAPES], ids=test_odd_entries.name_case
)


class TestMembers:
    @ALL_ROWS
    async def test_an_odd_forwarded_one_holds_up_no_sound_one(self, row):
        components = test_duties.make_components()
        service = services.Service(
            member=components.member,
            name="c",
            discovery=components.discovery,
        )
        sound = [make_endpoint("a"), make_endpoint("b")]
        message = ttypes.UpstreamNews(
            announcements=[
                json.dumps(value).encode() for value in (sound[0], row)
            ]
            + [
                test_odd_entries.DEEP,
                b"\xff",
                b"",
                json.dumps(sound[1]).encode(),
            ]
        )
        await service.handle(message)
        rows = components.discovery.directory.rows
        assert [known.endpoint for known in rows.values()] == sound


class TestEntries:
    @ODD_ROWS
    def test_an_odd_one_in_a_reply_holds_up_no_sound_one(self, row):
        watcher, feed = test_watching.make_watcher()
        sound = [make_endpoint("a"), make_endpoint("b")]
        reply = test_watching.make_reply(
            endpoints=[sound[0], row, sound[1]], loads={"a": [3, 0]}
        )
        assert watcher._try_apply_reply(feed, reply) == ""
        rows = watcher.relay.directory.rows
        assert [known.endpoint for known in rows.values()] == sound
        assert watcher.relay.other_loads == {"a": (3, 0)}

    @pytest.mark.parametrize(
        "heartbeat",
        [
            [[], 1, 9, 0.0],
            ["a", None, 9, 0.0],
            ["a", "1", 9, 0.0],
            ["a", 1, "9", 0.0],
            ["a", 1, 2**62, 0.0],
            ["a", 1, 9, "x"],
            ["a", 1, 9, math.inf],
        ],
        ids=test_odd_entries.name_case,
    )
    def test_an_odd_heartbeat_in_a_reply_changes_nothing(self, heartbeat):
        watcher, feed = test_watching.make_watcher()
        sound = make_endpoint("a", born_ms=1, sequence=1)
        first = test_watching.make_reply(endpoints=[sound])
        assert watcher._try_apply_reply(feed, first) == ""
        reply = test_watching.make_reply(
            heartbeats=[heartbeat, ["a", 1, 2, 0.0]]
        )
        assert watcher._try_apply_reply(feed, reply) == ""
        row = watcher.relay.directory.rows["a"]
        assert row.endpoint == sound._replace(sequence=2)

    def test_a_deeply_nested_message_is_no_value(self):
        data = zlib.compress(test_odd_entries.DEEP)
        with pytest.raises(ValueError):
            compressed_json.decode(data)


class TestCaches:
    def write(self, folder, name, content):
        pathlib.Path(folder, name).write_bytes(content)
        return str(folder)

    @ALL_ROWS
    def test_sound_endpoints_are_restored_beside_an_odd_one(
        self, tmp_path, row
    ):
        sound = [make_endpoint("a"), make_endpoint("b")]
        content = json.dumps([sound[0], row, sound[1]]).encode()
        name = endpoint_cache.FILE_NAME
        folder = self.write(tmp_path, name, content)
        assert endpoint_cache.load(folder) == sound

    @pytest.mark.parametrize(
        "content",
        [*test_odd_entries.UNREADABLE.values(), b"{}", b"7", b"1e400", b"NaN"],
        ids=test_odd_entries.name_case,
    )
    def test_no_file_ends_a_starting_process(self, tmp_path, content):
        """Guards against a process that ends at each of its starts."""
        for name in (endpoint_cache.FILE_NAME, entry_count_cache.FILE_NAME):
            self.write(tmp_path, name, content)
        assert endpoint_cache.load(str(tmp_path)) == []
        assert entry_count_cache.load(str(tmp_path)) in (0, 1, 7)
