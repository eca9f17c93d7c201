"""No second group comes into being, whichever seeds the settings name.

The seeds of a later start may all be members outside of the group: there are
more control members than voters and standbys, and lost disks come back empty.
"""

import fakes
import pytest
from arbutuswalk_platform import control

from _arbutuswalk.state import commands

RECOVERY_S = 12.0
VOTERS = 5
SPARES = 6
SEEDS = pytest.mark.parametrize("seed", range(6))
COMMAND = commands.RegisterEntry("e1", 1, "a", "l", "d", 1, "r")


@pytest.fixture
def cluster(seed):
    new_cluster = fakes.Cluster(seed, spares=SPARES, target_voters=VOTERS)
    new_cluster.run(6)
    assert len(new_cluster.leader().core.replica.log.members.voters) == VOTERS
    return new_cluster


def outsiders(cluster):
    """Returns the members that never belonged to the group."""
    return [
        node
        for node in cluster.nodes.values()
        if not node.core.replica.log.members.group
    ]


def groups(cluster):
    found = {
        node.core.replica.log.members.group
        for node in cluster.nodes.values()
        if node.up
    }
    return found - {""}


def restart(cluster, nodes, seeds):
    """Starts members later than the first start of the system."""
    addresses = tuple(node.address for node in seeds)
    for node in nodes:
        node.peers = addresses
        node.may_bootstrap = False
        node.start()
    cluster.run(RECOVERY_S)


@SEEDS
class TestSeedsOutsideTheGroup:
    def test_a_restarted_member_founds_none(self, cluster):
        seeds = outsiders(cluster)[:3]
        for node in seeds:
            node.kill()
        restart(cluster, seeds, seeds)
        assert len(groups(cluster)) == 1

    def test_members_whose_disks_were_lost_found_none(self, cluster):
        """Two disks are lost and all others lose power after an ack."""
        leader = cluster.leader()
        assert cluster.propose(COMMAND, "tag")
        while not cluster.acked:
            cluster.run_round()
        wiped = [
            node
            for node in cluster.nodes.values()
            if node.core.replica.is_voter
        ][:2]
        seeds = [*wiped, outsiders(cluster)[0]]
        for node in cluster.nodes.values():
            if node in wiped:
                node.lose_disk()
            else:
                node.crash_with_all_unsynced_lost()
        restart(cluster, cluster.nodes.values(), seeds)
        assert len(groups(cluster)) == 1
        leader = cluster.leader()
        assert "e1" in leader.core.tables.entries


class TestFirstStart:
    def test_a_member_killed_before_the_bootstrap_may_still_take_part(self):
        cluster = fakes.Cluster(seed=1)
        for node in cluster.nodes.values():
            node.kill()
            node.may_bootstrap = False
            node.peers = ("127.0.0.1:7999",)
            node.start()
        cluster.run(4)
        assert cluster.leader() is not None

    @pytest.mark.parametrize("first", [True, False])
    def test_the_platform_says_which_start_is_the_first(self, tmp_path, first):
        values = {
            "data": str(tmp_path),
            "ip": "127.0.0.1",
            "internal_port": 7600,
            "seeds": ["127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"],
            "losses": 1,
            "bounds": {"catch_up_s": 4},
            "bootstrap": first,
        }
        replica = control.make_replica(values)
        assert replica.recover(0.0) is None
        seeds = tuple(f"127.0.0.{i}:7600" for i in (1, 2, 3))
        assert replica.replica.founders == (seeds if first else ())
        replica.data.close()
