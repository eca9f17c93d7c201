"""Generated interleavings of pauses, restarts and requests."""

import pause_cluster
import pytest

SEEDS = [*range(40), 1008]
MAX_REQUESTS_IN_PAUSE = 2
DURATION_S = 30.0
REQUESTS_PER_S = 60.0


@pytest.fixture
def make_world():
    clusters = []

    def make(seed):
        clusters.append(pause_cluster.Cluster(seed=seed))
        return clusters[-1]

    yield make
    for cluster in clusters:
        cluster.close()


class TestInterleavings:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_request_arrives_inside_a_pause_that_the_entry_knows(
        self, make_world, seed
    ):
        cluster = make_world(seed)
        cluster.run(DURATION_S, requests_per_s=REQUESTS_PER_S)
        inside = cluster.requests_in_pauses()
        assert all(len(r) <= MAX_REQUESTS_IN_PAUSE for r in inside.values())
        assert not inside.keys() & cluster.received
        assert any(arrival.pause_s is not None for arrival in cluster.arrivals)
        assert 200 in cluster.statuses
