"""Endpoints that state that they are brittle."""

import brittle_cluster
import pytest

SEEDS = range(2)
DURATION_S = 12.0


@pytest.fixture
def make_cluster():
    clusters = []

    def make(**options):
        cluster = brittle_cluster.Cluster(**options)
        clusters.append(cluster)
        return cluster

    yield make
    for cluster in clusters:
        cluster.close()


class TestAllEntries:
    """All endpoints of an upstream are brittle."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("load", [0.9, 2.0, 4.0])
    @pytest.mark.parametrize("brittle", [1, 2, 5, 20])
    @pytest.mark.parametrize("entries", [8, 72])
    def test_they_do_not_fall_over_for_what_they_turn_away(
        self, make_cluster, entries, brittle, load, seed
    ):
        cluster = make_cluster(seed=seed, entries=entries, brittle=brittle)
        cluster.run_load(DURATION_S, load)
        assert cluster.falls() <= cluster.permitted_falls()
