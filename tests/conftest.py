from hypothesis import HealthCheck, settings

# The verdict of a run must not depend on the machine's speed or on chance.
settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("fixed")
