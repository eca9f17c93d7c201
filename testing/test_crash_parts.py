"""Requests with one part in their prompts that crash endpoints."""

import crash_parts_cluster
import pytest

SEEDS = range(3)
WARM_UP_S = 5.0
CRASHING_S = 20.0
SOUND_PER_S = 40.0
MIN_SHARE_OF_BEFORE = 0.5


@pytest.fixture
def make_cluster():
    clusters = []

    def make(**values):
        clusters.append(crash_parts_cluster.Cluster(**values))
        return clusters[-1]

    yield make
    for cluster in clusters:
        cluster.close()


def play_crashes(cluster, duration_s=CRASHING_S, crashing_per_s=3.0, place=1):
    cluster.play(
        duration_s,
        sound_per_s=SOUND_PER_S,
        crashing_per_s=crashing_per_s,
        bad_position=place,
    )


def play_sound(cluster, duration_s):
    play_crashes(cluster, duration_s, crashing_per_s=0.0)


class TestCrashingPart:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("place", [0, 1, 2])
    @pytest.mark.parametrize("crashing_per_s", [1.0, 3.0, 10.0])
    def test_requests_with_it_reach_few_endpoints_after_five_ends(
        self, seed, place, crashing_per_s, make_cluster
    ):
        cluster = make_cluster(seed=seed)
        play_sound(cluster, WARM_UP_S)
        play_crashes(cluster, crashing_per_s=crashing_per_s, place=place)
        assert cluster.late_arrivals() <= crash_parts_cluster.MAX_LATE_REQUESTS

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("place", [0, 1, 2])
    def test_sound_requests_that_share_the_other_parts_are_served(
        self, seed, place, make_cluster
    ):
        cluster = make_cluster(seed=seed)
        play_sound(cluster, WARM_UP_S)
        before = cluster.served_fraction(0.0)
        play_crashes(cluster, place=place)
        assert len(cluster.crash_times) >= 3
        since = cluster.crash_times[:5][-1] + 2 * crash_parts_cluster.CONTACT_S
        for part in crash_parts_cluster.FIRST_PARTS:
            served = cluster.served_fraction(since, part)
            assert served >= MIN_SHARE_OF_BEFORE * before, part
