"""Set-up shared by all tests."""

from gevent import monkey

monkey.patch_all()

from hypothesis import HealthCheck, settings  # noqa: E402

# Every run draws the same examples and none fails for being slow.
settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")
