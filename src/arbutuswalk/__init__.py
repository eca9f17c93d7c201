"""Coordination parts of arbutuswalk, for embedding.

Decision functions do no I/O, read no clock and draw no random numbers of their
own; the processes, the fuzzers and the benchmarks drive the same functions.
"""

from _arbutuswalk.agreement import lease
from _arbutuswalk.agreement import membership
from _arbutuswalk.agreement import raftlog
from _arbutuswalk.agreement import replica
from _arbutuswalk.agreement import replication
from _arbutuswalk.agreement import step
from _arbutuswalk.agreement import types
from _arbutuswalk.limits import budget
from _arbutuswalk.limits import fair
from _arbutuswalk.routing import choose
from _arbutuswalk.routing import prefixes
from _arbutuswalk.routing import upstreams
from _arbutuswalk.state import compare
from _arbutuswalk.storage import folder
from _arbutuswalk.storage import wal

__all__ = [
    "budget",
    "choose",
    "compare",
    "fair",
    "folder",
    "lease",
    "membership",
    "prefixes",
    "raftlog",
    "replica",
    "replication",
    "step",
    "types",
    "upstreams",
    "wal",
]
