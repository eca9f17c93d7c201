"""Profiles and fixtures shared by the tests."""

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


@pytest.fixture
def group(tmp_path):
    made = process_fixtures.Group(tmp_path)
    yield made
    made.end()


@pytest.fixture
async def world(group):
    made = process_fixtures.World(group)
    yield made
    await made.client.stop()
