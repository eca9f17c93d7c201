"""Checks the invariants of a soak on the records of callers and endpoints."""

import collections
from typing import NamedTuple

from soak import endpoints

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses which guarantee that a request was not and will not be executed."""

LIMIT_WINDOW_S = 4.0
LIMIT_PROPAGATION_S = 0.5
"""Time after an entry's first answer with a limit until it must keep to it."""
CONTACT_THRESHOLD_S = 3.0
"""Time after a limit was first stated, or a fault of an entry has ended, until
the limit has to be kept."""


DRAIN_DEADLINE_S = 2.0
"""Time after an entry passed on that an endpoint leaves until it may not send
it any request that a caller sends from then on."""
PAUSE_GRACE_S = 0.5
"""Time after an endpoint's answer from which its pause has to be kept."""
MAX_REQUESTS_IN_PAUSE = 2


class LimitedPeriod(NamedTuple):
    """Time in which an endpoint stated a limit without interruption."""

    endpoint_id: str
    limit_per_s: float
    started_at: float
    ended_at: float


class LeavingPeriod(NamedTuple):
    """Time from which one start of an endpoint stated that it leaves."""

    endpoint_id: str
    started_at: float
    ended_at: float


class FaultPeriod(NamedTuple):
    """Time in which a fault was injected.

    Attributes:
        ip: IP address of the process, or id of the endpoint whose connections
            were disturbed.
        started_at: Event loop time of its begin, in seconds.
        ended_at: Event loop time of its end, in seconds.
        is_interruption: Whether the process was restarted or suspended.
    """

    ip: str
    started_at: float
    ended_at: float
    is_interruption: bool = True


def find_late_after_leaving(leaving_periods, attempts, arrivals, fault_periods):
    """Returns the late requests to endpoints that leave, one line each.

    A restart or suspension of the entry since the answer excuses it.
    """
    attempts_by_id = {attempt.request_id: attempt for attempt in attempts}
    violations = []
    for period in leaving_periods:
        told = [
            (attempt.entry_ip, attempt.answered_at)
            for attempt in attempts
            if attempt.leaving == period.endpoint_id
            and period.started_at <= attempt.answered_at <= period.ended_at
        ]
        for arrival in arrivals:
            if arrival.endpoint_id != period.endpoint_id:
                continue
            if not period.started_at <= arrival.received_at <= period.ended_at:
                continue
            attempt = attempts_by_id.get(arrival.request_id)
            if attempt is not None and _is_late(attempt, told, fault_periods):
                violations.append(
                    f"{period.endpoint_id} received {attempt.request_id}, sent"
                    f" at {attempt.sent_at:.3f}, although {attempt.entry_ip}"
                    " had passed on that it leaves"
                )
    return violations


def _is_late(attempt, told, fault_periods):
    return any(
        ip == attempt.entry_ip
        and attempt.sent_at > told_at + DRAIN_DEADLINE_S
        and not _is_interrupted(ip, told_at, attempt.sent_at, fault_periods)
        for ip, told_at in told
    )


def _is_interrupted(ip, since, until, fault_periods):
    return any(
        fault.is_interruption
        and fault.ip == ip
        and fault.started_at <= until
        and fault.ended_at >= since
        for fault in fault_periods
    )


def find_exceeded_limits(limited_periods, attempts, arrivals, fault_periods):
    """Returns the exceeded limits of endpoints, one line each."""
    entry_ips = {attempt.request_id: attempt.entry_ip for attempt in attempts}
    violations = []
    for period in limited_periods:
        told_at = _told_at(period, attempts)
        times = sorted(
            arrival.received_at
            for arrival in arrivals
            if arrival.endpoint_id == period.endpoint_id
            and period.started_at + CONTACT_THRESHOLD_S
            <= arrival.received_at
            <= period.ended_at
            for ip in [entry_ips.get(arrival.request_id, "")]
            if told_at.get(ip, period.ended_at) + LIMIT_PROPAGATION_S
            <= arrival.received_at
            and not _is_disturbed(ip, arrival.received_at, fault_periods)
        )
        most = max(
            (
                sum(start <= at < start + LIMIT_WINDOW_S for at in times)
                for start in times
            ),
            default=0,
        )
        if most > 1.5 * period.limit_per_s * LIMIT_WINDOW_S + 5:
            violations.append(
                f"{period.endpoint_id} received {most} requests in"
                f" {LIMIT_WINDOW_S} s with a limit of {period.limit_per_s}"
                f" a second since {period.started_at:.3f}"
            )
    return violations


def _told_at(period, attempts):
    """Returns when each entry first passed on the limit, by IP address."""
    told_at = {}
    for attempt in attempts:
        if (
            attempt.limited_by == period.endpoint_id
            and period.started_at <= attempt.answered_at <= period.ended_at
        ):
            earliest = told_at.get(attempt.entry_ip, attempt.answered_at)
            told_at[attempt.entry_ip] = min(earliest, attempt.answered_at)
    return told_at


def _is_disturbed(ip, at, fault_periods):
    return any(
        fault.ip == ip
        and fault.started_at <= at <= fault.ended_at + CONTACT_THRESHOLD_S
        for fault in fault_periods
    )


def find_requests_in_pauses(turned_away, attempts, arrivals, fault_periods):
    """Returns the pauses that entries did not keep, one line each.

    A fault of the entry or of the endpoint's connections during the pause
    excuses the entry.
    """
    entry_ips = {attempt.request_id: attempt.entry_ip for attempt in attempts}
    times = collections.defaultdict(list)
    for arrival in [*arrivals, *turned_away]:
        ip = entry_ips.get(arrival.request_id, "")
        key = ip, arrival.endpoint_id, arrival.incarnation
        times[key].append(arrival.received_at)
    violations = []
    for told in turned_away:
        ip = entry_ips.get(told.request_id, "")
        first = told.received_at + PAUSE_GRACE_S
        last = told.received_at + told.pause_s
        key = ip, told.endpoint_id, told.incarnation
        count = sum(first < at < last for at in times[key])
        excused = not ip or any(
            fault.ip in (ip, told.endpoint_id)
            and fault.started_at <= last
            and fault.ended_at >= told.received_at
            for fault in fault_periods
        )
        if count > MAX_REQUESTS_IN_PAUSE and not excused:
            violations.append(
                f"{told.endpoint_id} received {count} requests of {ip} in a"
                f" pause of {told.pause_s} s since {told.received_at:.3f}"
                f" ({told.request_id})"
            )
    return violations


def find_violations(attempts, arrivals, no_traffic_windows):
    """Returns the violated invariants, one line each.

    Args:
        attempts: Attempts of callers, ended or not.
        arrivals: Arrivals of requests at endpoints.
        no_traffic_windows: (endpoint, from, until) without any arrival.
    """
    attempts_by_id = {attempt.request_id: attempt for attempt in attempts}
    arrival_counts = collections.Counter(
        arrival.request_id for arrival in arrivals
    )
    violations = []
    for attempt in attempts:
        violations += _check_response(attempt)
        violations += _check_arrival_count(
            attempt, arrival_counts[attempt.request_id]
        )
    violations += _check_signatures(arrivals, attempts_by_id)
    for endpoint_id, window_start, window_end in no_traffic_windows:
        late_arrivals = [
            a
            for a in arrivals
            if a.endpoint_id == endpoint_id
            and window_start < a.received_at < window_end
        ]
        if late_arrivals:
            violations.append(
                f"{endpoint_id} received {late_arrivals[0].request_id}"
                " after its drain was acknowledged"
            )
    return violations


def _check_response(attempt):
    if attempt.status != 200:
        if (
            attempt.status >= 500
            or attempt.status in NOT_EXECUTED_STATUSES
            or not attempt.status
        ):
            return []
        return [
            f"{attempt.request_id}: valid request answered with"
            f" {attempt.status}"
        ]
    if attempt.kind != "stream":
        expected = endpoints.expected_body(
            attempt.request_id, attempt.signature
        )
        if attempt.complete and attempt.body != expected:
            return [f"{attempt.request_id}: unexpected body {attempt.body!r}"]
        return []
    expected = endpoints.expected_stream(attempt.request_id)
    if not expected.startswith(attempt.body):
        return [f"{attempt.request_id}: unexpected stream {attempt.body!r}"]
    if attempt.complete and attempt.body != expected:
        return [
            f"{attempt.request_id}: truncated at {len(attempt.body)} bytes"
            " but ended as complete"
        ]
    return []


def _check_arrival_count(attempt, arrival_count):
    violations = []
    if attempt.kind == "once" and arrival_count > 1:
        violations.append(
            f"{attempt.request_id}: executed {arrival_count} times"
        )
    if (
        attempt.kind == "once"
        and arrival_count
        and attempt.status in NOT_EXECUTED_STATUSES
    ):
        violations.append(
            f"{attempt.request_id}: executed although refused with"
            f" {attempt.status}"
        )
    return violations


def _check_signatures(arrivals, attempts_by_id):
    violations = []
    for arrival in arrivals:
        attempt = attempts_by_id.get(arrival.request_id)
        if attempt is not None and attempt.signature != arrival.signature:
            violations.append(
                f"{arrival.request_id}: {arrival.endpoint_id} executed"
                f" a different request: {arrival.signature}"
            )
    return violations
