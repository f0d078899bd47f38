"""Tests of the package; property tests use the same examples in every run."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same-every-run",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("same-every-run")
