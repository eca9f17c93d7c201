"""``arbutuswalk-control``: one member of the control group."""

import asyncio
import random
import sys
from typing import Any

from _arbutuswalk.agreement import types
from _arbutuswalk.base import process
from _arbutuswalk.base import settings
from _arbutuswalk.control import durable_replica
from _arbutuswalk.control import process as processes
from _arbutuswalk.storage import folder


def _is_text(value: object) -> bool:
    return isinstance(value, str)


FIELDS = (
    settings.Field("id", "a name", settings.is_non_empty_string),
    settings.Field("address", "IP:port to listen on", settings.is_address),
    settings.Field(
        "data", "path of the data folder", settings.is_non_empty_string
    ),
    settings.Field(
        "peers",
        "a list of the IP:port of all members that found the group",
        settings.is_address_list,
    ),
    settings.Field(
        "voters", "a whole number of voters", settings.is_non_negative_int, 3
    ),
    settings.Field("domain", "a failure domain", _is_text, ""),
    settings.Field(
        "domain_losses", "a whole number", settings.is_non_negative_int, 0
    ),
    settings.Field("heartbeat_s", "seconds", settings.is_positive, 0.1),
    settings.Field("election_s", "seconds", settings.is_positive, 0.6),
    settings.Field("replace_after_s", "seconds", settings.is_positive, 10.0),
    settings.Field(
        "link_connections",
        "a whole number, 0 for half of the descriptors",
        settings.is_non_negative_int,
        0,
    ),
    settings.Field("leave_s", "seconds", settings.is_non_negative, 4.0),
    settings.Field(
        "platform",
        "IP:port of the platform's API, or nothing",
        lambda v: v == "" or settings.is_address(v),
        "",
    ),
    settings.Field(
        "interval_s", "seconds between charges", settings.is_positive, 10.0
    ),
    settings.Field(
        "log_level", "an absl log level", settings.is_non_empty_string, "info"
    ),
)

LEASE_FRACTION = 0.75
"""Leader lease as a fraction of the election timeout."""


def make_durable_replica(
    values: dict[str, Any],
) -> durable_replica.DurableReplica:
    """Returns the member's replica and its data folder, before recovery."""
    return durable_replica.DurableReplica(
        data=folder.Folder(path=values["data"]),
        identity=durable_replica.Identity(
            address=values["address"],
            peers=tuple(values["peers"]),
            target_voters=values["voters"],
            domain=values["domain"],
            domain_losses=values["domain_losses"],
        ),
        timing=types.Timing(
            heartbeat_s=values["heartbeat_s"],
            election_s=values["election_s"],
            lease_s=values["election_s"] * LEASE_FRACTION,
            replace_after_s=values["replace_after_s"],
        ),
        rng=random.SystemRandom(),
    )


def main() -> None:
    """Runs the control process from its settings file."""
    values = process.load_settings("arbutuswalk-control", FIELDS, sys.argv[1:])
    process.start_logging(values["log_level"])
    sys.exit(asyncio.run(processes.run(values, make_durable_replica(values))))
