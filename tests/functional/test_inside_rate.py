"""Guards against refusals of an account that stays well inside its rate on a new fleet."""

import time
from pathlib import Path

from harness import call
from site_fixture import open_site

_SECONDS = 8.0
_PAUSE_SECONDS = 0.25


def test_no_refusal_inside_the_rate_on_a_new_fleet(tmp_path: Path) -> None:
    body = {"model": "m", "max_tokens": 1, "messages": [{"role": "user", "content": "hi"}]}
    with open_site(tmp_path) as site:
        statuses = []
        end = time.monotonic() + _SECONDS
        while time.monotonic() < end:
            for daemon in site.daemons:
                answer = call(daemon, "POST", "/v1/chat/completions", body, site.keys["shop"])
                statuses.append(answer.status)
            time.sleep(_PAUSE_SECONDS)
    refused = sum(status != 200 for status in statuses)
    assert refused == 0, f"{refused} of {len(statuses)} refused at 2% of the rate"
