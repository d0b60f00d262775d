"""Settings shared by all tests: hypothesis gives the same verdict every run."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")
