"""What must hold in a soak, from what callers and endpoints saw."""

import collections

from soak import runners

REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


def broken(tried, runs, leaving):
    """Returns what was broken, one line each.

    Args:
        tried: Attempts of callers, ended or not.
        runs: Arrivals at endpoints.
        leaving: (endpoint, from, until) in which nothing may arrive.
    """
    by_id = {each.request_id: each for each in tried}
    count = collections.Counter(run.request_id for run in runs)
    lines = []
    for each in tried:
        lines += _check_answer(each)
        lines += _check_count(each, count[each.request_id])
    lines += _check_runs(runs, by_id)
    for name, since, until in leaving:
        late = [r for r in runs if r.endpoint == name and since < r.at < until]
        if late:
            lines.append(f"{name} got {late[0].request_id} after it left")
    return lines


def _check_answer(each):
    if each.status != 200:
        if each.status >= 500 or each.status in REFUSALS or not each.status:
            return []
        return [f"{each.request_id}: proper, answered {each.status}"]
    if each.kind != "stream":
        right = runners.answer_to(each.request_id, each.asked)
        if each.complete and each.body != right:
            return [f"{each.request_id}: answered {each.body!r}"]
        return []
    right = runners.whole_stream(each.request_id)
    if not right.startswith(each.body):
        return [f"{each.request_id}: stream {each.body!r}"]
    if each.complete and each.body != right:
        return [f"{each.request_id}: cut at {len(each.body)} looks complete"]
    return []


def _check_count(each, count):
    lines = []
    if each.kind == "once" and count > 1:
        lines.append(f"{each.request_id}: ran {count} times")
    if each.kind == "once" and count and each.status in REFUSALS:
        lines.append(f"{each.request_id}: ran, refused with {each.status}")
    return lines


def _check_runs(runs, by_id):
    lines = []
    for run in runs:
        sent = by_id.get(run.request_id)
        if sent is not None and sent.asked != run.asked:
            lines.append(f"{run.request_id}: {run.endpoint} ran {run.asked}")
    return lines
