"""Fetches a new route configuration from control in parts.

All members announce a new version to an entry at the same time, and a large
configuration takes longer to transfer over an entry's link than a watch may
last. It is therefore fetched from one member only, in parts that let other
messages pass in between. If the member fails, another one continues at the same
offset, since all members encode a version to the same bytes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from _arbutuswalk.base import events
from _arbutuswalk.state import routeconfig
from _arbutuswalk.wire import codec
from _arbutuswalk.wire import compressed_json
from _arbutuswalk.wire import config_versions
from _arbutuswalk.wire.gen.arbutus import ttypes

PART_TIMEOUT_S = 0.5
"""Time-out for one part: ten times its transfer time at 5 Mbit/s."""
MAX_CONFIG_BYTES = codec.MAX_FRAME_BYTES
"""Largest compressed configuration: control commits none that needs more."""
RETRY_INTERVAL_S = 0.1
"""Pause after all members have failed to send a part."""


class ControlMember(Protocol):
    """A watched member of the control group.

    Attributes:
        address: Link address of the member.
        link: Link to the member.
        connected: Whether the last watch succeeded.
        routes_version: Newest configuration version announced by the member,
            None if it has none.
    """

    address: str
    link: Any
    connected: bool
    routes_version: int | None


class PartialConfig:
    """Parts of one version received so far."""

    def __init__(self):
        self.version: int | None = None
        self.data = b""

    def add_part(
        self, part: ttypes.RoutesPart, version: int, offset: int
    ) -> bool:
        """Adds the part at ``offset``; returns whether all were received."""
        if version != self.version:
            self.version = version
            self.data = b""
        if offset == len(self.data):
            self.data += part.data
        return len(self.data) >= part.size


def _is_sound(part: ttypes.RoutesPart, offset: int) -> bool:
    """Returns whether a part brings the configuration closer to its end."""
    end = offset + len(part.data)
    return end <= part.size <= MAX_CONFIG_BYTES and (
        bool(part.data) or end == part.size
    )


async def fetch(
    members: Callable[[], Sequence[ControlMember]],
    version_in_use: Callable[[], int | None],
    apply_config: Callable[[Any, str], None],
) -> None:
    """Fetches until the newest version announced by any member is in use.

    Args:
        members: Returns the watched members.
        version_in_use: Returns the version in use, None if there is none.
        apply_config: Applies a configuration, given the address it came from.
    """
    partial = PartialConfig()
    failed_addresses: set[str] = set()
    while True:
        newer_members = [
            member
            for member in members()
            if member.connected
            and routeconfig.is_newer(member.routes_version, version_in_use())
        ]
        if not newer_members:
            return
        untried_members = [
            member
            for member in newer_members
            if member.address not in failed_addresses
        ]
        if not untried_members:
            failed_addresses.clear()
            await asyncio.sleep(RETRY_INTERVAL_S)
            continue
        chosen_member = max(
            untried_members, key=lambda member: member.routes_version
        )
        offset = len(partial.data)
        part = await chosen_member.link.call(
            ttypes.RoutesRequest(offset=offset), timeout_s=PART_TIMEOUT_S
        )
        version = _version_of(part)
        continues = offset == 0 or version == partial.version
        if version is not None and continues and not _is_sound(part, offset):
            reason = f"part of {len(part.data)} bytes of {part.size}"
            events.record(
                events.Event.ROUTES_UNREADABLE, chosen_member.address, reason
            )
            partial.data, version = b"", None
        if not routeconfig.is_newer(version, version_in_use()):
            failed_addresses.add(chosen_member.address)
            continue
        if partial.add_part(part, version, offset):
            _apply_complete(
                partial, chosen_member.address, apply_config, failed_addresses
            )


def _version_of(reply: object) -> int | None:
    """Returns the version that a part belongs to, None if there is no part."""
    if not isinstance(reply, ttypes.RoutesPart):
        return None
    return config_versions.decode(reply.version, reply.exact_version)


def _apply_complete(
    partial: PartialConfig,
    address: str,
    apply_config: Callable[[Any, str], None],
    failed_addresses: set[str],
) -> None:
    data, partial.data = partial.data, b""
    try:
        values = compressed_json.decode(data)
    except ValueError as error:
        reason = str(error)
    else:
        # A member of a former version announces version 0 if it has none.
        reason = "no configuration" if values is None else ""
    if reason:
        failed_addresses.add(address)
        events.record(events.Event.ROUTES_UNREADABLE, address, reason)
        return
    apply_config(values, address)
