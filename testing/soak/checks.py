"""Checks the invariants of a soak on the records of callers and endpoints."""

import collections

from soak import endpoints

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses which guarantee that a request was not and will not be executed."""


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
