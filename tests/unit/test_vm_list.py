"""Tests the VM list over HTTP: a daemon must not keep an outdated list."""

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


class FaultyPlatform:
    """The platform emulator with an optional ``fault`` in its answers to ``GET /vms``."""

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
            # The tag belongs to the current list, which this faulty answer does not contain.
            exchange.reply(body, status, {"ETag": self.tag})
        else:
            self._emulator.handle(exchange)


@pytest.fixture
def env() -> Iterator[Any]:
    platform = FaultyPlatform()
    with run_server("127.0.0.1", 0, platform.handle) as port:
        address = Address("127.0.0.1", port)

        def put(name: str, **fields: str) -> None:
            call(address, "PUT", f"/vms/{name}", {**VM, **fields})

        put("a")
        yield SimpleNamespace(
            platform=platform,
            put=put,
            delete=lambda name: call(address, "DELETE", f"/vms/{name}"),
            fetch=lambda tag: call(address, "GET", "/vms", headers={"If-None-Match": tag}),
            vms=HttpVmList(f"http://127.0.0.1:{port}"),
        )


def read_states(env: Any) -> dict[str, str]:
    return {vm.name: vm.state for vm in env.vms.list().unwrap()}


def test_unchanged_list_is_not_sent_again_and_changes_are_read(env: Any) -> None:
    """Guards against a change that is not read, also when the list returns to an earlier state."""
    assert read_states(env) == read_states(env) == {"a": "live"}
    tag = env.platform.conditions[1]
    assert tag and env.fetch(tag).status == 304 and env.fetch(tag).data == b""
    env.put("b")
    assert read_states(env) == {"a": "live", "b": "live"}
    env.put("a", state="leaving")
    assert read_states(env) == {"a": "leaving", "b": "live"}
    env.put("a")
    env.delete("b")
    assert read_states(env) == read_states(env) == {"a": "live"}


@pytest.mark.parametrize("fault", ["lost", "broken", "error", "odd"])
@pytest.mark.parametrize("known", [False, True])
def test_failed_answer_loses_no_change(env: Any, fault: str, known: bool) -> None:
    """Guards against a change that is missed for good because the answer with it failed."""
    if known:
        assert read_states(env) == {"a": "live"}
    env.put("b")
    env.platform.tag = env.fetch('""').headers["etag"]
    env.platform.fault = fault
    outcome = env.vms.list()
    assert isinstance(outcome, Ok if known and fault == "odd" else Err)
    env.platform.fault = ""
    assert read_states(env) == read_states(env) == {"a": "live", "b": "live"}


def test_platform_without_tags_sends_the_whole_list(env: Any) -> None:
    """Guards against an old tag that is still sent after the platform stopped sending tags."""
    assert read_states(env) == {"a": "live"}
    env.platform.fault = "untagged"
    env.put("b")
    assert read_states(env) == read_states(env) == {"a": "live", "b": "live"}
    assert [bool(tag) for tag in env.platform.conditions] == [False, True, False]


@pytest.mark.parametrize(
    ("form", "status"), [("{}", 304), ("W/{}", 304), ('"x", {}', 304), ("*", 304), ('"x"', 200)]
)
def test_condition_may_name_several_tags(env: Any, form: str, status: int) -> None:
    """Guards against an emulator that does not follow HTTP's rules for If-None-Match.

    The other tests of this file would then prove nothing.
    """
    tag = env.fetch('""').headers["etag"]
    assert env.fetch(form.format(tag)).status == status
