"""Tests of flamingovalve."""

from hypothesis import HealthCheck, settings

# The same examples every time, whatever the machine does meanwhile.
settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile('fixed')
