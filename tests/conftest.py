"""Shared test settings: hypothesis runs the same examples each time unless fuzzing is asked for."""

import os

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
