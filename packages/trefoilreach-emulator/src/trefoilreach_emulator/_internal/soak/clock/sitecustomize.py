"""Steps the time of day of a process by ``CLOCK_STEP_SECONDS``.

Python loads this module at the start of a process whose ``PYTHONPATH`` names its folder.
"""

import os
import time

_STEP_SECONDS = float(os.environ["CLOCK_STEP_SECONDS"])
_true_time = time.time


def _stepped_time() -> float:
    return _true_time() + _STEP_SECONDS


time.time = _stepped_time
