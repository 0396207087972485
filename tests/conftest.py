"""Shared test settings: hypothesis runs the same examples each time unless fuzzing is asked for."""

import os
import re
from functools import cache
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, Phase, settings

# Shrinking a failed example of a state machine takes up to 300 s, beyond the limits of CI. The blob
# that is printed reproduces it, and a fuzz run shrinks it.
_CI_PHASES = (Phase.explicit, Phase.generate)

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
    phases=_CI_PHASES,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "fuzz",
    deadline=None,
    max_examples=300,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("fuzz" if os.environ.get("TREFOILREACH_FUZZ") else "ci")

_GROUP_MARK = re.compile(r"xdist_group\(\"([a-z]+)\"\)")


@cache
def find_group(path: str) -> str | None:
    """Return the group of a test file, whose tests run one after the other, or None."""
    file = Path(__file__).resolve().parents[1] / path
    found = _GROUP_MARK.search(file.read_text(encoding="utf-8")) if file.exists() else None
    return None if found is None else found.group(1)


def pytest_xdist_make_scheduler(config: Any, log: Any) -> Any:
    """Return a scheduler that sends the tests of a group to one process.

    pytest-xdist 3.8 appends the group to ``_nodeid``, which pytest 9.2 does not read any more.
    """
    from xdist.scheduler import LoadScopeScheduling

    class GroupScheduling(LoadScopeScheduling):
        def _split_scope(self, nodeid: str) -> str:
            return find_group(nodeid.split("::")[0]) or nodeid

    return GroupScheduling(config, log) if config.getvalue("dist") == "loadgroup" else None
