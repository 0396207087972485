"""Fixture of a configured site that several functional tests share."""

from collections.abc import Iterator

import pytest
from site_fixture import Site, open_site


@pytest.fixture(scope="session")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    with open_site(tmp_path_factory.mktemp("site")) as opened:
        # Until then a new fleet may refuse requests; test_inside_rate.py covers that time.
        opened.wait_for_quota()
        yield opened
