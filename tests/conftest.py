"""Settings shared by all tests.

Hypothesis generates the same examples in every run. Tests with a known fault are marked
as expected to fail.
"""

import gc

import pytest
from hypothesis import HealthCheck, settings

from . import known_red

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


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    listed = known_red.read_list(config.rootpath)
    missing = known_red.missing_files(config.rootpath, listed)
    if missing:
        raise pytest.UsageError(f"{known_red.LIST}: there is no test {missing[0]}")
    known_red.expect_listed(items, listed)


def pytest_collection_finish():
    """Keep the garbage collector from examining the modules and tests again and again.

    Guards against pauses that tests of hosts in this process take for waits of the
    hosts. A daemon has only its own modules, and freezes them too.
    """
    gc.collect()
    gc.freeze()
