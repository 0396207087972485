"""Guards against a list of VMs that a daemon keeps although the platform's has changed."""

from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok
from trefoilreach._internal.state.platform_http import HttpVmList
from trefoilreach_emulator._internal.http_call import Address, call
from trefoilreach_emulator._internal.platform import PlatformEmulator
from trefoilreach_emulator._internal.server import Exchange, run_server

VM = {"host": "127.0.0.1", "data_centre": "d", "region": "r", "state": "live"}


class Platform:
    """The emulator; ``fault`` names what happens to answers to ``GET /vms``."""

    def __init__(self) -> None:
        self.fault = ""
        self.tag = ""
        self.conditions: list[str] = []
        self._emulator = PlatformEmulator()

    def handle(self, exchange: Exchange) -> None:
        if exchange.path != "/vms":
            self._emulator.handle(exchange)
            return
        self.conditions.append(exchange.headers.get("If-None-Match", ""))
        if self.fault == "lost":
            exchange.drop()
        elif self.fault == "untagged":
            del exchange.headers["If-None-Match"]
            reply = exchange.reply
            exchange.reply = lambda value, headers: reply(value)  # type: ignore[method-assign]
            self._emulator.handle(exchange)
        elif self.fault:
            status, body = {"odd": (304, b""), "broken": (200, b"{"), "error": (404, b"{}")}[
                self.fault
            ]
            # The tag is that of the list which this answer fails to bring.
            exchange.reply(body, status, {"ETag": self.tag})
        else:
            self._emulator.handle(exchange)


@pytest.fixture
def site() -> Iterator[Any]:
    platform = Platform()
    with run_server("127.0.0.1", 0, platform.handle) as port:
        address = Address("127.0.0.1", port)

        def put(name: str, **fields: str) -> None:
            call(address, "PUT", f"/vms/{name}", {**VM, **fields})

        put("a")
        yield SimpleNamespace(
            platform=platform,
            put=put,
            delete=lambda name: call(address, "DELETE", f"/vms/{name}"),
            ask=lambda tag: call(address, "GET", "/vms", headers={"If-None-Match": tag}),
            vms=HttpVmList(f"http://127.0.0.1:{port}"),
        )


def read(site: Any) -> dict[str, str]:
    return {vm.name: vm.state for vm in site.vms.list().unwrap()}


def test_unchanged_list_has_a_short_answer_and_a_change_is_seen(site: Any) -> None:
    """The next read after a change must bring it, also when an earlier list comes back."""
    assert read(site) == read(site) == {"a": "live"}
    tag = site.platform.conditions[1]
    assert tag and site.ask(tag).status == 304 and site.ask(tag).data == b""
    site.put("b")
    assert read(site) == {"a": "live", "b": "live"}
    site.put("a", state="leaving")
    assert read(site) == {"a": "leaving", "b": "live"}
    site.put("a")
    site.delete("b")
    assert read(site) == read(site) == {"a": "live"}


@pytest.mark.parametrize("fault", ["lost", "broken", "error", "odd"])
@pytest.mark.parametrize("known", [False, True])
def test_answer_that_failed_changes_nothing(site: Any, fault: str, known: bool) -> None:
    """A change whose answer was lost must come with the next answer."""
    if known:
        assert read(site) == {"a": "live"}
    site.put("b")
    site.platform.tag = site.ask('""').headers["etag"]
    site.platform.fault = fault
    outcome = site.vms.list()
    assert isinstance(outcome, Ok if known and fault == "odd" else Err)
    site.platform.fault = ""
    assert read(site) == read(site) == {"a": "live", "b": "live"}


def test_platform_without_tags_gives_the_whole_list(site: Any) -> None:
    """A tag from before must not be sent to a platform that no longer gives tags."""
    assert read(site) == {"a": "live"}
    site.platform.fault = "untagged"
    site.put("b")
    assert read(site) == read(site) == {"a": "live", "b": "live"}
    assert [bool(tag) for tag in site.platform.conditions] == [False, True, False]


@pytest.mark.parametrize(
    ("form", "status"), [("{}", 304), ("W/{}", 304), ('"x", {}', 304), ("*", 304), ('"x"', 200)]
)
def test_condition_may_name_several_tags(site: Any, form: str, status: int) -> None:
    """A stand-in that answers conditions in another way than HTTP says would prove nothing."""
    tag = site.ask('""').headers["etag"]
    assert site.ask(form.format(tag)).status == status
