"""Tests of flamingovalve."""

from hypothesis import HealthCheck, settings

# Deterministic examples, independent of the load of the machine.
settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile('fixed')
