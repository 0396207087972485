"""Guards against missing replicas, failed requests in version changes, and stuck leases."""

import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from harness import Address, Answer, Fleet, call, hash_secret, publish, wait_until
from trefoilreach._internal.state.config import Account, ConfigDocument, Key, Route, Server

PATH, KEY = "/v1/chat/completions", "s1"
SETTINGS = {
    "placement": {"lease": "14s", "patience": "3s"},
    "routing": {"load_interval": "0.5s"},
}


class PlacementSite:
    """Daemons in front of engines that each load one of two models."""

    def __init__(self, fleet: Fleet, loaded: list[str], *options: str, daemons: int = 2) -> None:
        self.fleet = fleet
        fleet.start_emulator("platform", "platform")
        common = ("--token-interval", "0.02", "--load-time", "1", "--model-limit", "1", *options)
        self.engines = [
            fleet.start_emulator("engine", f"e{n}", "--models", models, *common)
            for n, models in enumerate(loaded)
        ]
        self.daemons = [
            fleet.start_daemon(f"vm{n}", n, extra=SETTINGS) for n in range(1, daemons + 1)
        ]
        self.document = ConfigDocument(
            version=1,
            accounts=(Account("a", 10000.0, 10000.0),),
            keys=(Key("k1", hash_secret(KEY), "caller", "a"),),
            routes=(Route("m", version="1"), Route("n", version="1")),
            servers=tuple(
                Server(f"e{n}", "engine", at.host, at.port, ("m", "n"), slots=4, model_limit=1)
                for n, at in enumerate(self.engines)
            ),
        )
        fleet.publish(self.document)
        # A new fleet refuses requests until its quota slots have spread: test_inside_rate.py.
        wait_until(self.is_quota_settled, 40, "quota slots of every daemon")
        for daemon in self.daemons:
            wait_until(lambda at=daemon: self.send_chat(at, "m", 1).status == 200, what="an answer")

    def read_row(self, key: str) -> Any:
        platform = self.fleet.addresses["platform"]
        return call(platform, "POST", "/table/get", {"key": key}).json()["row"]

    def is_quota_settled(self) -> bool:
        text = str(self.read_row("quota/slots"))
        return all(f"vm{n + 1}/" in text for n in range(len(self.daemons)))

    def send_chat(self, daemon: Address, model: str, tokens: int) -> Answer:
        body = {
            "model": model,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "hi"}],
        }
        return call(daemon, "POST", PATH, body, KEY)

    def send_long_chat(self, daemon: Address) -> None:
        with suppress(OSError):  # the daemon may be killed during the request
            self.send_chat(daemon, "m", 400)

    def set_version(self, version: str) -> None:
        routes = (Route("m", version=version), Route("n", version="1"))
        self.document = self.document._replace(version=self.document.version + 1, routes=routes)
        publish(self.fleet, self.document, self.document.version - 1)

    def versions(self, model: str) -> list[Any]:
        """Return the version of a model on each engine that serves it."""
        reports = [call(engine, "GET", "/load").json() for engine in self.engines]
        return [report["versions"].get(model) for report in reports]

    def orders(self) -> list[dict[str, Any]]:
        """Return the orders that the engines got, with the engine's number, oldest first."""
        found = [
            {**order, "engine": number}
            for number, engine in enumerate(self.engines)
            for order in call(engine, "GET", "/seen").json()["orders"]
        ]
        return sorted(found, key=lambda order: order["when"])

    def find_lease_holder(self, server: str) -> str:
        """Return the VM that holds the lease of a worker."""
        row = self.read_row(f"order/{server}")
        return "" if row is None else str(row["value"]["holder"]).split("/")[0]


class Callers:
    """Threads that each send one request after the other, and collect failures."""

    def __init__(self, site: PlacementSite, model: str, count: int, tokens: int = 10) -> None:
        self.failures: list[Any] = []
        self.answers = 0
        self._site, self._model, self._tokens = site, model, tokens
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def __enter__(self) -> "Callers":
        return self

    def __exit__(self, *details: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(20)

    def _run(self, number: int) -> None:
        daemons = self._site.daemons
        while not self._stop.is_set():
            try:
                answer = self._site.send_chat(
                    daemons[number % len(daemons)], self._model, self._tokens
                )
                if answer.status == 200:
                    self.answers += 1
                else:
                    self.failures.append((answer.status, answer.data))
            except OSError as error:
                self.failures.append(repr(error))


@pytest.mark.slow
def test_model_gets_a_second_replica_under_load(tmp_path: Path) -> None:
    """Guards against a model under load that gets no replica, or takes the last one of another."""
    with Fleet(tmp_path) as fleet:
        site = PlacementSite(fleet, ["m=1", "n=1", "n=1"])
        with Callers(site, "m", 6) as callers:
            wait_until(lambda: site.versions("m").count("1") == 2, 40, "a second replica")
        assert callers.failures == []
        assert site.versions("n").count("1") == 1
        assert [order["action"] for order in site.orders()] == ["unload", "load"]


@pytest.mark.slow
def test_version_is_rolled_without_a_failed_request(tmp_path: Path) -> None:
    """Guards against requests that fail while the engines load a new version one by one."""
    with Fleet(tmp_path) as fleet:
        site = PlacementSite(fleet, ["m=1", "m=1", "n=1"], "--check-fencing")
        with Callers(site, "m", 2) as callers:
            wait_until(lambda: callers.answers > 20, 20, "traffic")
            site.set_version("2")
            wait_until(lambda: site.versions("m").count("2") == 2, 60, "the new version")
            time.sleep(2.0)
        assert callers.failures == []
        loads = [order for order in site.orders() if order["model"] == "m"]
        assert [order["status"] for order in loads] == ["accepted"] * 2
        # A load takes 1 s, and the second engine's load begins after the first one has ended.
        assert loads[1]["when"] - loads[0]["when"] > 1.0
        assert {order["engine"] for order in loads} == {0, 1}


@pytest.mark.slow
def test_killed_holder_is_replaced(tmp_path: Path) -> None:
    """Guards against an order that is lost, or sent too early, after its daemon was killed.

    Another daemon sends the order once the lease of the killed one has expired.
    """
    with Fleet(tmp_path) as fleet:
        site = PlacementSite(fleet, ["m=1", "m=1", "n=1"], daemons=3)
        # Long answers keep each engine busy, so that the daemon waits before it sends its order.
        long_requests = [
            threading.Thread(target=site.send_long_chat, args=(site.daemons[n % 3],), daemon=True)
            for n in range(6)
        ]
        for thread in long_requests:
            thread.start()
        time.sleep(0.5)
        site.set_version("2")
        worker = wait_until(
            lambda: [e for e in ("e0", "e1") if site.find_lease_holder(e)], 20, "a holder"
        )[0]
        killed_vm = site.find_lease_holder(worker)
        killed_at = time.time()
        fleet.kill(killed_vm)
        assert site.find_lease_holder(worker) == killed_vm
        site.daemons = [
            at for vm, at in fleet.addresses.items() if vm[:2] == "vm" and vm != killed_vm
        ]
        wait_until(lambda: site.versions("m").count("2") == 2, 90, "the new version")
        first = next(order for order in site.orders() if order["engine"] == int(worker[1:]))
        assert first["when"] - killed_at > 10.0
        assert first["fencing"] > 1
        assert site.find_lease_holder(worker) != killed_vm
