"""Profiles and fixtures shared by the tests."""

import gc
import os

import hypothesis
import process_fixtures
import pytest

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=60,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
    print_blob=True,
)
hypothesis.settings.register_profile(
    "long",
    deadline=None,
    max_examples=2000,
    stateful_step_count=150,
    suppress_health_check=list(hypothesis.HealthCheck),
    print_blob=True,
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_collection_finish():
    """Keeps the collected tests out of garbage collections.

    Collections of several hundred milliseconds would count as lateness of the
    code under test, in whose processes these objects do not exist.
    """
    gc.collect()
    gc.freeze()


@pytest.fixture
def process_group(tmp_path):
    new_group = process_fixtures.ProcessGroup(tmp_path)
    yield new_group
    new_group.stop_all()


@pytest.fixture
async def cluster(process_group):
    new_cluster = process_fixtures.Cluster(process_group)
    yield new_cluster
    await new_cluster.client.stop()
