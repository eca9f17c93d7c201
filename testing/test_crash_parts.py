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


class TestRefusalOfAPart:
    """A refusal outlasts restarts, and ends when such requests no longer come.

    Requests that crash endpoints come all the time, also during the changes.
    """

    def start(self, make_cluster, seed):
        cluster = make_cluster(seed=seed)
        play_sound(cluster, WARM_UP_S)
        play_crashes(cluster, 12.0)
        assert self.refused(cluster) == {crash_parts_cluster.BAD_KEY}
        return cluster

    def refused(self, cluster):
        return {
            key
            for service in cluster.controls
            for key in service.discovery.crash_reports.refusals.rows
        }

    def restart_entries(self, cluster):
        for index in range(len(cluster.entries)):
            cluster.stop_entry(index)
            cluster.start_entry(index)
            play_crashes(cluster, 1.0)

    def restart_control(self, cluster):
        for index in range(len(cluster.controls)):
            cluster.stop_control(index)
            play_crashes(cluster, 1.0)
            cluster.start_control(index)
            play_crashes(cluster, 2.0)

    def restart_all_control(self, cluster):
        for index in range(len(cluster.controls)):
            cluster.stop_control(index)
        for index in range(len(cluster.controls)):
            cluster.start_control(index)
        play_crashes(cluster, 4.0)

    def cut_off_entries(self, cluster):
        cluster.cut_off = {0, 1, 2}
        play_crashes(cluster, 5.0)
        cluster.cut_off = set()
        play_crashes(cluster, 3.0)

    def come_for_two_minutes(self, cluster):
        play_crashes(cluster, 120.0)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(
        "change",
        [
            restart_entries,
            restart_control,
            restart_all_control,
            cut_off_entries,
            come_for_two_minutes,
        ],
        ids=lambda change: change.__name__,
    )
    def test_no_such_request_reaches_an_endpoint_any_more(
        self, change, seed, make_cluster
    ):
        cluster = self.start(make_cluster, seed)
        arrived = len(cluster.crasher_arrivals)
        change(self, cluster)
        assert len(cluster.crasher_arrivals) == arrived
        assert self.refused(cluster) == {crash_parts_cluster.BAD_KEY}

    def test_it_ends_when_such_requests_no_longer_come(self, make_cluster):
        cluster = self.start(make_cluster, 0)
        play_sound(cluster, 70.0)
        assert self.refused(cluster) == set()


class TestSoundParts:
    """Endpoints end for other reasons, and nothing is refused."""

    def end_one_after_the_other(self, cluster):
        for _ in range(15):
            cluster.end_endpoint(cluster.choose_endpoint())
            play_sound(cluster, 0.7)

    def end_a_third_at_once(self, cluster):
        for _ in range(3):
            for _ in range(3):
                cluster.end_endpoint(cluster.choose_endpoint())
            play_sound(cluster, 6.0)

    def end_all_at_once(self, cluster):
        for _ in range(3):
            while cluster.living_endpoints():
                cluster.end_endpoint(cluster.choose_endpoint())
            play_sound(cluster, 6.0)

    def end_all_in_turn(self, cluster):
        while cluster.living_endpoints():
            cluster.end_endpoint(cluster.choose_endpoint())
            play_sound(cluster, 0.1)
        play_sound(cluster, 6.0)

    def restart_entries_meanwhile(self, cluster):
        for index in range(len(cluster.entries)):
            cluster.stop_entry(index)
            cluster.start_entry(index)
            cluster.end_endpoint(cluster.choose_endpoint())
            play_sound(cluster, 0.5)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(
        "change",
        [
            end_one_after_the_other,
            end_a_third_at_once,
            end_all_at_once,
            end_all_in_turn,
            restart_entries_meanwhile,
        ],
        ids=lambda change: change.__name__,
    )
    def test_no_part_is_refused(self, change, seed, make_cluster):
        cluster = make_cluster(seed=seed)
        play_sound(cluster, WARM_UP_S)
        change(self, cluster)
        for service in cluster.controls:
            assert not service.discovery.crash_reports.refusals.rows
