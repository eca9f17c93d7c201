"""A whole failure domain is lost at once: its control members and disks."""

import fakes
import pytest
from arbutuswalk_platform import control

from _arbutuswalk.agreement import types
from _arbutuswalk.state import commands

CATCH_UP_S = 6.0
RECOVERY_S = 15.0
TIMING = types.Timing(
    heartbeat_s=control.HEARTBEAT_INTERVAL_S,
    election_s=control.ELECTION_TIMEOUT_S,
    lease_s=control.LEADER_LEASE_S,
    replace_after_s=control.replace_after_s(CATCH_UP_S),
)
MAX_ELECTION_S = 3.0
"""Below the time in which operators expect an acknowledgement."""


class DomainCluster:
    """Members in three failure domains, by default nine of which five vote."""

    def __init__(self, seed, voters=5, domains="aaabbbccc"):
        self.cluster = fakes.Cluster(
            seed,
            spares=len(domains) - 3,
            target_voters=voters,
            timing=TIMING,
            domains=domains,
        )
        self.proposed = 0
        self.cluster.run(CATCH_UP_S)

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.propose()
            self.cluster.run(0.1)

    def propose(self):
        self.proposed += 1
        name = f"e{self.proposed}"
        command = commands.RegisterEntry(name, 1, "a", "l", "d", 1, "r")
        self.cluster.propose(command, self.proposed)

    def nodes(self, domain):
        return [n for n in self.cluster.nodes.values() if n.domain == domain]

    def voter_domains(self):
        leader = self.cluster.leader()
        assert leader is not None, "no leader"
        voters = leader.core.replica.log.members.voters
        return sorted(
            node.domain
            for node in self.cluster.nodes.values()
            if node.up and node.core.replica.member in voters
        )

    def lose(self, domain, *, disks):
        """Loses a domain right after an acknowledgement."""
        acked = len(self.cluster.acked)
        self.propose()
        for _ in range(200):
            self.cluster.run_round()
            self.cluster.now += 0.02
            if len(self.cluster.acked) > acked:
                break
        for node in self.nodes(domain):
            if disks:
                node.lose_disk()
            else:
                node.crash()

    def lost_commands(self):
        leader = self.cluster.leader()
        assert leader is not None, "no leader"
        known = leader.core.tables.entries
        return [n for n in self.cluster.acked if f"e{n}" not in known]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("voters", "domains"), [(5, "aaabbbccc"), (5, "abcaaabbbcc"), (3, "aabbcc")]
)
class TestLossOfADomain:
    def test_commands_are_acknowledged_soon_and_none_is_lost(
        self, seed, voters, domains
    ):
        """Each domain in turn, as soon as the one before is whole again."""
        group = DomainCluster(seed, voters, domains)
        for domain in "abc":
            group.run(1.0)
            group.lose(domain, disks=seed % 2 == 0)
            acked = len(group.cluster.acked)
            group.run(MAX_ELECTION_S)
            assert len(group.cluster.acked) > acked, domain
            for node in group.nodes(domain):
                node.start()
            group.run(CATCH_UP_S)
            assert group.lost_commands() == []

    def test_nothing_is_lost_if_all_others_lose_power(
        self, seed, voters, domains
    ):
        for domain in "abc":
            group = DomainCluster(seed, voters, domains)
            group.run(1.0)
            group.lose(domain, disks=True)
            for node in group.cluster.nodes.values():
                if node.up:
                    node.crash_with_all_unsynced_lost()
            group.cluster.in_transit = []
            group.cluster.run(1.2)
            for node in group.cluster.nodes.values():
                node.may_bootstrap = False
                node.start()
            group.cluster.run(RECOVERY_S)
            assert group.lost_commands() == []


class TestSpread:
    @pytest.mark.parametrize("seed", range(4))
    def test_no_domain_has_a_majority_with_the_others(self, seed):
        group = DomainCluster(seed)
        domains = group.voter_domains()
        assert len(domains) == 5
        assert max(map(domains.count, domains)) == 2
