"""Guards against wrong results of operators' changes through two daemons.

Random changes through both daemons are compared with a simple model of the configuration.
"""

from types import SimpleNamespace
from typing import Any

import orjson
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from trefoilreach._internal.api import admin  # noqa: F401 - registers the routes
from trefoilreach._internal.api.web import WebRequest, routes
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.config.sync import ConfigSync
from trefoilreach._internal.protocol.verdict import Refusal
from trefoilreach._internal.settings import PlatformSettings, Settings
from trefoilreach._internal.state.config import ConfigDocument, hash_key
from trefoilreach._internal.state.config_check import check_document
from trefoilreach._internal.state.objects import MemoryObjectStore
from trefoilreach._internal.state.table import MemoryTable

OPERATOR_KEY = "operator"
NAMES = st.sampled_from(["a", "b", "c"])
DAEMONS = st.integers(0, 1)
SECTIONS = st.sampled_from(["classes", "accounts", "routes", "servers"])


def make_daemon_parts(table: MemoryTable, objects: MemoryObjectStore) -> Any:
    platform = PlatformSettings(bootstrap_operator_key_hash=hash_key(OPERATOR_KEY))
    clock, holder = ManualClock(), ActiveConfig()
    sync = ConfigSync(clock, table, objects, holder, 2.0)
    settings = Settings(platform=platform)
    return SimpleNamespace(settings=settings, clock=clock, config=holder, config_sync=sync)


class BodyInput:
    def __init__(self, data: bytes) -> None:
        self._data = data

    def read(self, length: int) -> bytes:
        return self._data[:length]


def send_request(
    daemon_parts: Any, method: str, path: str, base: int, body: Any = None
) -> tuple[int, Any]:
    data = b"" if body is None else orjson.dumps(body)
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "HTTP_AUTHORIZATION": f"Bearer {OPERATOR_KEY}",
        "HTTP_IF_MATCH": str(base),
        "CONTENT_LENGTH": str(len(data)),
        "wsgi.input": BodyInput(data),
    }
    handler, values = routes.find_handler(method, path)
    try:
        response = handler(daemon_parts, WebRequest(environ), **values)
    except Refusal as refusal:
        return refusal.status, refusal.code
    return response.status, orjson.loads(b"".join(response.body))


class AdminMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        table, objects = MemoryTable(), MemoryObjectStore()
        self.daemons = [make_daemon_parts(table, objects) for _ in range(2)]
        self.version = 0
        self.entries: dict[str, dict[str, dict[str, Any]]] = {
            section: {} for section in ("classes", "accounts", "routes", "servers")
        }
        self.keys: dict[str, str] = {}

    def expect(self, outcome: tuple[int, Any], allowed: bool) -> bool:
        assert (outcome[0] < 300) is allowed, outcome
        if allowed:
            self.version += 1
            assert outcome[1]["version"] == self.version
        return allowed

    def put(self, daemon: int, section: str, name: str, body: dict[str, Any], valid: bool) -> None:
        path = f"/v1/admin/{section}/{name}"
        if self.expect(send_request(self.daemons[daemon], "PUT", path, self.version, body), valid):
            self.entries[section][name] = body

    @rule(daemon=DAEMONS, name=NAMES, rate=st.sampled_from([-1, 1, 2, 3, 4, 5]))
    def put_account(self, daemon: int, name: str, rate: int) -> None:
        self.put(daemon, "accounts", name, {"rate": rate, "burst": 2}, rate > 0)

    @rule(daemon=DAEMONS, name=NAMES, percentile=st.sampled_from([50, 100]))
    def put_class(self, daemon: int, name: str, percentile: int) -> None:
        self.put(daemon, "classes", name, {"percentile": percentile}, percentile < 100)

    @rule(daemon=DAEMONS, name=NAMES, work_class=NAMES, account=NAMES)
    def put_route(self, daemon: int, name: str, work_class: str, account: str) -> None:
        valid = work_class in self.entries["classes"] and account in self.entries["accounts"]
        body = {"work_class": work_class, "accounts": [account]}
        self.put(daemon, "routes", name, body, valid)

    @rule(daemon=DAEMONS, name=NAMES, route=NAMES, state=st.sampled_from(["live", "leaving"]))
    def put_server(self, daemon: int, name: str, route: str, state: str) -> None:
        port = 1 + "abc".index(name)
        body = {"kind": "engine", "host": "127.0.0.1", "port": port, "routes": [route]}
        valid = route in self.entries["routes"]
        self.put(daemon, "servers", name, {**body, "state": state}, valid)

    @rule(daemon=DAEMONS, section=SECTIONS, name=NAMES)
    def delete(self, daemon: int, section: str, name: str) -> None:
        path = f"/v1/admin/{section}/{name}"
        outcome = send_request(self.daemons[daemon], "DELETE", path, self.version)
        if name not in self.entries[section]:
            assert outcome == (404, "not_found")
        elif self.in_use(section, name):
            assert outcome[0] == 409, outcome
        elif self.expect(outcome, True):
            del self.entries[section][name]

    def in_use(self, section: str, name: str) -> bool:
        other_routes, servers = self.entries["routes"].values(), self.entries["servers"]
        if section == "servers":
            return servers[name]["state"] == "live"
        if section == "routes":
            return any(name in server["routes"] for server in servers.values())
        if section == "classes":
            return any(route["work_class"] == name for route in other_routes)
        return name in self.keys.values() or any(name in r["accounts"] for r in other_routes)

    @rule(daemon=DAEMONS, account=NAMES)
    def grant(self, daemon: int, account: str) -> None:
        body = {"role": "caller", "account": account}
        outcome = send_request(self.daemons[daemon], "POST", "/v1/admin/keys", self.version, body)
        if self.expect(outcome, account in self.entries["accounts"]):
            self.keys[outcome[1]["entry"]["id"]] = account

    @rule(daemon=DAEMONS, data=st.data())
    def withdraw(self, daemon: int, data: st.DataObject) -> None:
        if self.keys:
            key_id = data.draw(st.sampled_from(sorted(self.keys)))
            self.daemons[daemon].config_sync.poll()
            path = f"/v1/admin/keys/{key_id}"
            status, _ = send_request(self.daemons[daemon], "DELETE", path, self.version)
            assert status == 200
            del self.keys[key_id]
            self.version += 1

    @rule(daemon=DAEMONS, name=NAMES, behind=st.integers(1, 3))
    def lose_race(self, daemon: int, name: str, behind: int) -> None:
        base = max(0, self.version - behind)
        if base != self.version:
            body = {"rate": 9, "burst": 9}
            path = f"/v1/admin/accounts/{name}"
            assert send_request(self.daemons[daemon], "PUT", path, base, body) == (
                409,
                "version_conflict",
            )

    @invariant()
    def both_daemons_hold_what_the_oracle_holds(self) -> None:
        for daemon_parts in self.daemons:
            daemon_parts.config_sync.poll()
            document: ConfigDocument = daemon_parts.config.view.document
            check_document(document)
            assert document.version == self.version
            for section, expected in self.entries.items():
                found = {entry.name: entry for entry in getattr(document, section)}
                assert set(found) == set(expected)
                for name, fields in expected.items():
                    actual = orjson.loads(orjson.dumps(found[name]._asdict()))
                    assert {key: actual[key] for key in fields} == fields
            withdrawn = {entry.key_id for entry in document.withdrawn}
            granted = {key.id: key.account for key in document.keys if key.id not in withdrawn}
            assert granted == self.keys


TestAdminFuzz = AdminMachine.TestCase
