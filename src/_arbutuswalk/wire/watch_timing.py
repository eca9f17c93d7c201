"""Timing of the watches that entries send to control processes."""

from _arbutuswalk.wire import link

MAX_WAIT_S = 0.4
"""Longest time a watch waits for an update; bounds the age of the loads."""
TIMEOUT_S = 3 * MAX_WAIT_S
"""Time-out of a watch."""
RETRY_INTERVAL_S = 0.2
"""Pause after a failed watch."""
MAX_LATENCY_S = link.CONNECT_TIMEOUTS_S[0] / 2
"""Longest time that a message takes while the first attempt to connect
succeeds."""
LOST_WATCH_S = MAX_WAIT_S + TIMEOUT_S + RETRY_INTERVAL_S + 4 * MAX_LATENCY_S
"""Longest time between two watches that arrive while one between them is lost.
The reply to the first, a new connection and the watch on it take four messages.
"""
FIRST_WATCHES_S = (
    link.CONNECT_TIMEOUTS_S[-1] + RETRY_INTERVAL_S + 3 * MAX_LATENCY_S
)
"""Longest time from the first watch that a control process receives after its
start until every running entry has sent one. The last entry may have begun an
attempt to connect just before the start, which times out."""
