"""Guards against operators' changes that are lost, partly applied or made without permission."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from harness import OPERATOR_KEY, Address, Answer, Fleet, call

ACCOUNT = {"rate": 5, "burst": 10}


@pytest.fixture
def daemon(tmp_path: Path) -> Iterator[Address]:
    with Fleet(tmp_path) as fleet:
        fleet.start_emulator("platform", "platform")
        yield fleet.start_daemon("vm1", 1)


def send_change(
    daemon: Address, method: str, path: str, base: Any = None, body: Any = None
) -> Answer:
    headers = {} if base is None else {"If-Match": f'"{base}"'}
    return call(daemon, method, f"/v1/admin{path}", body, OPERATOR_KEY, headers)


def read_version(daemon: Address) -> int:
    return int(call(daemon, "GET", "/v1/admin/config", key=OPERATOR_KEY).json()["version"])


def test_racing_operators_have_one_winner(daemon: Address) -> None:
    """Guards against a lost update when operators change the same version concurrently."""
    with ThreadPoolExecutor(6) as pool:
        answers = list(
            pool.map(
                lambda number: send_change(daemon, "PUT", f"/accounts/a{number}", 0, ACCOUNT),
                range(6),
            )
        )
    assert sorted(answer.status for answer in answers) == [200, 409, 409, 409, 409, 409]
    losers = [answer.json()["error"] for answer in answers if answer.status == 409]
    assert all("version 1 is in force" in error["message"] for error in losers)
    assert len(call(daemon, "GET", "/v1/admin/accounts", key=OPERATOR_KEY).json()["data"]) == 1


def test_refused_change_leaves_no_trace(daemon: Address) -> None:
    """Guards against a refused change that is partly applied or does not name the wrong field."""
    assert send_change(daemon, "PUT", "/accounts/a", None, ACCOUNT).status == 428
    assert send_change(daemon, "PUT", "/accounts/a", "x", ACCOUNT).status == 400
    invalid = send_change(daemon, "PUT", "/accounts/a", 0, {**ACCOUNT, "rate": -1})
    assert (invalid.status, invalid.json()["error"]["param"]) == (400, "rate")
    unknown_field = send_change(daemon, "PUT", "/accounts/a", 0, {**ACCOUNT, "weight": 2})
    assert (unknown_field.status, unknown_field.json()["error"]["param"]) == (400, "weight")
    dangling = send_change(daemon, "PUT", "/routes/m", 0, {"work_class": "none"})
    assert (dangling.status, dangling.json()["error"]["param"]) == (400, "work_class")
    assert send_change(daemon, "DELETE", "/accounts/a", 0).status == 404
    assert read_version(daemon) == 0


def test_only_operators_change_the_configuration(daemon: Address) -> None:
    """Guards against access without an operator key, and against responses that reveal a key."""
    assert send_change(daemon, "PUT", "/accounts/a", 0, ACCOUNT).status == 200
    granted = send_change(daemon, "POST", "/keys", 1, {"role": "caller", "account": "a"}).json()
    secret, key_id = granted["entry"]["key"], granted["entry"]["id"]
    refused = call(daemon, "GET", "/v1/admin/accounts", key=secret)
    assert refused.status == 403
    assert call(daemon, "GET", "/v1/admin/accounts").status == 401
    shown = call(daemon, "GET", "/v1/admin/config", key=OPERATOR_KEY).data
    listed = call(daemon, "GET", "/v1/admin/keys", key=OPERATOR_KEY).data
    assert secret.encode() not in shown + listed
    assert b"hash" not in shown + listed
    assert send_change(daemon, "DELETE", f"/keys/{key_id}").status == 428
    any_version = {"If-Match": "*"}
    path = f"/v1/admin/keys/{key_id}"
    assert call(daemon, "DELETE", path, None, OPERATOR_KEY, any_version).status == 200
    assert call(daemon, "GET", "/v1/models", key=secret).status == 401


def test_referenced_entries_and_live_servers_stay(daemon: Address) -> None:
    """Guards against deleting entries in use, and against lost states or versions."""
    server = {"kind": "engine", "host": "127.0.0.1", "port": 9, "routes": ["m"]}
    assert send_change(daemon, "PUT", "/routes/m", 0, {}).status == 200
    assert send_change(daemon, "PUT", "/servers/e", 1, server).status == 200
    refused = send_change(daemon, "DELETE", "/routes/m", 2)
    assert (refused.status, refused.json()["error"]["code"]) == (409, "still_referenced")
    assert send_change(daemon, "DELETE", "/servers/e", 2).json()["error"]["code"] == "server_live"
    assert send_change(daemon, "POST", "/servers/e/leave", 2).json()["entry"]["state"] == "leaving"
    kept = send_change(daemon, "PUT", "/servers/e", 3, {**server, "slots": 4})
    assert kept.json()["entry"]["state"] == "leaving"
    assert send_change(daemon, "DELETE", "/servers/e", 4).status == 200
    assert send_change(daemon, "DELETE", "/routes/m", 5).status == 200
    history = call(daemon, "GET", "/v1/admin/config/history", key=OPERATOR_KEY).json()["data"]
    assert [entry["version"] for entry in history] == [6, 5, 4, 3, 2, 1]
    old = call(daemon, "GET", "/v1/admin/config?version=2", key=OPERATOR_KEY).json()
    assert [entry["name"] for entry in old["config"]["servers"]] == ["e"]
    unknown = call(daemon, "GET", "/v1/admin/config?version=9", key=OPERATOR_KEY)
    assert unknown.status == 404
