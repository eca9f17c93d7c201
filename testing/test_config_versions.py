"""Versions of route configurations that exceed the numbers of messages."""

import asyncio
import json

import pytest
import relay_fixtures
import test_duties
import test_watching

from _arbutuswalk.state import commands
from _arbutuswalk.state import route_publication
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import codec
from _arbutuswalk.wire import config_versions
from _arbutuswalk.wire.gen.arbutus import ttypes

INT64_LIMIT = 2**63
DATE_WITH_MICROSECONDS = 20261204205122123456
VERSIONS = {
    "negative": -5,
    "zero": 0,
    "date": 20261204,
    "largest-int64": INT64_LIMIT - 1,
    "first-above": INT64_LIMIT,
    "date-with-microseconds": DATE_WITH_MICROSECONDS,
    "4300-digits": 10**4299,
}
IN_FORCE_TIMEOUT_S = 2.0


class ControlLink:
    """Link of an entry to a control process; encodes all messages."""

    def __init__(self, discovery):
        self.discovery = discovery

    async def call(self, message, *, timeout_s):
        received = over_the_wire(message)
        if isinstance(received, ttypes.RoutesRequest):
            return over_the_wire(self.discovery.routes_part(received))
        return over_the_wire(await self.discovery.watch(received))

    def close(self, reason):
        raise AssertionError(reason)

    async def stop(self):
        pass


def over_the_wire(message):
    frame = codec.encode(1, message, reply=False)
    decoded = codec.decode(frame[codec.LENGTH_PREFIX.size :])
    assert not isinstance(decoded, codec.BadFrame), decoded
    return decoded[2]


def publish(components, version):
    config = relay_fixtures.make_config(version=version)
    values = json.loads(json.dumps(routeconfig.to_json(config)))
    route_publication.publish(
        components.member.tables,
        commands.PublishRoutes(version, values, "source"),
    )
    components.discovery.notify_watches()


class TestEntry:
    @pytest.mark.parametrize("version", VERSIONS.values(), ids=VERSIONS)
    async def test_puts_every_acknowledged_version_into_use(self, version):
        """Guards against versions that are acknowledged and never in force.

        No message could hold a version above 63 bits: the watches of the entry
        ended, and it lost all endpoints after their retention time. A first
        version below 1 was taken for none.
        """
        components = test_duties.make_components()
        watcher, feed = test_watching.make_watcher()
        relay = watcher.relay
        relay.route_table = None
        feed.link = ControlLink(components.discovery)
        feed.task = asyncio.ensure_future(watcher._watch(feed))
        try:
            async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
                for published in (version, version + 1):
                    publish(components, published)
                    while relay.routes_version != published:
                        assert not feed.task.done()
                        await asyncio.sleep(0.01)
            assert not feed.task.done()
        finally:
            await watcher.stop()


class TestMessages:
    @pytest.mark.parametrize(
        "version", [*VERSIONS.values(), -INT64_LIMIT - 1, None]
    )
    def test_versions_survive(self, version):
        limited, exact = config_versions.encode(version)
        received = over_the_wire(
            ttypes.RoutesPart(
                version=limited, size=0, data=b"", exact_version=exact
            )
        )
        assert (
            config_versions.decode(received.version, received.exact_version)
            == version
        )

    def test_a_message_of_a_former_version_is_understood(self):
        assert config_versions.decode(7, None) == 7
