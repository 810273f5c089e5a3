"""Settings of all tests."""

from hypothesis import HealthCheck, settings

# Test results must not depend on the machine's speed or on random examples.
settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("fixed")
