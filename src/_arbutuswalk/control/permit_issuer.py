"""Issues the permits of all entries for endpoints that have a limit."""

import math

from _arbutuswalk.control import discovery as discoveries
from _arbutuswalk.limits import permits
from _arbutuswalk.routing import stated_limits
from _arbutuswalk.wire.gen.arbutus import ttypes

WARM_UP_RETENTION_S = 10.0
"""Time without requests after which the bucket of a warm-up is removed."""


class PermitIssuer:
    """Permits of a leader.

    Attributes:
        discovery: Endpoints and entries known to this process.
        buckets: Bucket of a stated limit, by endpoint id.
        warm_up_buckets: Bucket of an endpoint that warms up, by endpoint id.
            Some entries may know only its former start.
        term: Term that the buckets belong to.
    """

    def __init__(self, *, discovery: discoveries.Discovery):
        self.discovery = discovery
        self.buckets: dict[str, permits.PermitBucket] = {}
        self.warm_up_buckets: dict[str, permits.PermitBucket] = {}
        self.term = -1

    def issue(self, message: ttypes.PermitRequest) -> ttypes.PermitReply:
        """Decides on an entry's request for a permit."""
        member, now = self.discovery.member, self.discovery.now()
        if not member.holds_lease:
            return _reply(
                permits.Denied(wait_s=0.0), status=ttypes.Status.NOT_LEADER
            )
        if self.term != member.replica.term:
            self.term = member.replica.term
            self.buckets.clear()
            self.warm_up_buckets.clear()
        if message.warms_up:
            return self._issue_for_warm_up(message, now)
        statement = stated_limits.Statement(
            message.born_ms, message.rate_per_s, now - message.statement_age_s
        )
        self.discovery.record_limits({message.endpoint: statement})
        limits = self.discovery.stated_limits
        rate_per_s = limits.rate(message.endpoint, message.born_ms)
        if rate_per_s is None:
            # Another entry has a newer answer without a limit.
            return _reply(permits.Granted(wait_s=0.0))
        bucket = self.buckets.get(message.endpoint)
        if bucket is None:
            bucket = permits.PermitBucket(now=now)
            self.buckets[message.endpoint] = bucket
        return self._take(bucket, message, rate_per_s, now)

    def _issue_for_warm_up(
        self, message: ttypes.PermitRequest, now: float
    ) -> ttypes.PermitReply:
        """Decides by what the entry knows of the endpoint.

        An entry that has not heard of the end of a warm-up asks for a little
        longer than is needed.
        """
        bucket = self.warm_up_buckets.get(message.endpoint)
        if bucket is None:
            bucket = permits.PermitBucket(now=now)
            self.warm_up_buckets[message.endpoint] = bucket
        stated = self.discovery.stated_limits.rate(
            message.endpoint, message.born_ms
        )
        rate_per_s = min(
            message.rate_per_s, math.inf if stated is None else stated
        )
        return self._take(
            bucket, message, rate_per_s, now, permits.WARM_UP_BURST
        )

    def _take(
        self,
        bucket: permits.PermitBucket,
        message: ttypes.PermitRequest,
        rate_per_s: float,
        now: float,
        max_burst: float = math.inf,
    ) -> ttypes.PermitReply:
        decision = bucket.take(
            message.entry,
            rate_per_s * self._reachable_fraction(),
            message.max_wait_s,
            now,
            max_burst,
        )
        outcome = type(decision).__name__
        self.discovery.metrics.count("permits", f'outcome="{outcome}"')
        return _reply(decision, asking_entries=bucket.count_asking(now))

    def remove_unknown(self) -> None:
        """Removes the buckets of endpoints that have no limit any more."""
        statements = self.discovery.stated_limits.statements
        self.buckets = {
            endpoint_id: bucket
            for endpoint_id, bucket in self.buckets.items()
            if endpoint_id in statements
            and statements[endpoint_id].rate_per_s is not None
        }
        cutoff = self.discovery.now() - WARM_UP_RETENTION_S
        self.warm_up_buckets = {
            endpoint_id: bucket
            for endpoint_id, bucket in self.warm_up_buckets.items()
            if bucket.refilled_at >= cutoff
        }

    def _reachable_fraction(self) -> float:
        """Returns the share of the entries that ask this process.

        The others keep to their own shares of a limit.
        """
        known = self.discovery.known_entries()
        if not known or not self.discovery.is_settled():
            return 1.0
        reachable = known & self.discovery.reachable_entries().keys()
        return len(reachable) / len(known)


def _reply(
    decision: permits.Decision,
    *,
    status: int = ttypes.Status.OK,
    asking_entries: int = 0,
) -> ttypes.PermitReply:
    return ttypes.PermitReply(
        status=status,
        granted=isinstance(decision, permits.Granted),
        wait_s=decision.wait_s,
        asking_entries=asking_entries,
    )
