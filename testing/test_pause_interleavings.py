"""Generated interleavings of pauses, restarts and requests."""

import pause_world
import pytest

SEEDS = [*range(40), 1008]
MAX_REQUESTS_IN_PAUSE = 2
DURATION_S = 30.0
REQUESTS_PER_S = 60.0


@pytest.fixture
def make_world():
    worlds = []

    def make(seed):
        worlds.append(pause_world.World(seed=seed))
        return worlds[-1]

    yield make
    for world in worlds:
        world.close()


class TestInterleavings:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_request_arrives_inside_a_pause_that_the_entry_knows(
        self, make_world, seed
    ):
        world = make_world(seed)
        world.run(DURATION_S, requests_per_s=REQUESTS_PER_S)
        inside = world.requests_in_pauses()
        assert all(len(r) <= MAX_REQUESTS_IN_PAUSE for r in inside.values())
        assert not inside.keys() & world.received
        assert any(arrival.pause_s is not None for arrival in world.arrivals)
        assert 200 in world.statuses
