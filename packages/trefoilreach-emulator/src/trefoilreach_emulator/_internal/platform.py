"""Platform emulator: table, object and weight stores and the VM list, with faults."""

import threading
import time
from collections.abc import Callable
from typing import Any

from result import Err
from trefoilreach._internal.state.objects import MemoryObjectStore
from trefoilreach._internal.state.table import MemoryTable, RevisionConflict, Write

from trefoilreach_emulator._internal.server import Exchange

_OBJECTS_PREFIX = "/objects/"


class PlatformEmulator:
    """The platform; :meth:`handle` answers its HTTP requests.

    Faults are set with ``POST /faults`` and a JSON object: ``down`` (answers 503),
    ``delay_seconds`` (before each answer), ``lose_answers`` (how many of the next
    writes take effect without an answer), ``vm_list_down``.
    """

    def __init__(self) -> None:
        self._table = MemoryTable()
        self._objects = MemoryObjectStore()
        self._lock = threading.Lock()
        self._vms: dict[str, dict[str, Any]] = {}
        self._faults: dict[str, Any] = {}
        self._counts = {"reads": 0, "writes": 0}
        self._permit_free_at = 0.0
        self._permit_interval = 0.5
        self._routes: dict[tuple[str, str], Callable[[Exchange], None]] = {
            ("POST", "/table/get"): self._get,
            ("POST", "/table/scan"): self._scan,
            ("POST", "/table/commit"): self._commit,
            ("GET", "/objects"): self._list_objects,
            ("GET", "/vms"): self._list_vms,
            ("POST", "/weights/permit"): self._permit,
        }

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/faults":
            self._set_faults(exchange)
        elif exchange.path == "/counts":
            exchange.reply(self._counts)
        elif exchange.method in ("PUT", "DELETE") and exchange.path.startswith("/vms/"):
            self._change_vm(exchange)
        else:
            self._serve(exchange)

    def _serve(self, exchange: Exchange) -> None:
        time.sleep(self._faults.get("delay_seconds", 0.0))
        down = "vm_list_down" if exchange.path == "/vms" else "down"
        if self._faults.get(down):
            exchange.reply({"error": "unavailable"}, 503)
        elif exchange.path.startswith(_OBJECTS_PREFIX):
            self._serve_object(exchange)
        elif (exchange.method, exchange.path) in self._routes:
            self._routes[exchange.method, exchange.path](exchange)
        else:
            exchange.reply({"error": "not found"}, 404)

    def _count(self, kind: str) -> None:
        with self._lock:
            self._counts[kind] += 1

    def _take_lost_answer(self) -> bool:
        with self._lock:
            left = int(self._faults.get("lose_answers", 0))
            self._faults["lose_answers"] = max(0, left - 1)
            return left > 0

    def _get(self, exchange: Exchange) -> None:
        self._count("reads")
        row = self._table.get(exchange.json()["key"]).unwrap()
        exchange.reply({"row": None if row is None else row._asdict()})

    def _scan(self, exchange: Exchange) -> None:
        self._count("reads")
        body = exchange.json()
        rows = self._table.scan(body["prefix"], body["after"], body["limit"]).unwrap()
        exchange.reply({"rows": [row._asdict() for row in rows]})

    def _commit(self, exchange: Exchange) -> None:
        self._count("writes")
        writes = [Write(**write) for write in exchange.json()["writes"]]
        outcome = self._table.commit(writes)
        if self._take_lost_answer():
            exchange.drop()
        elif isinstance(outcome, Err):
            conflict = outcome.err_value
            key = conflict.key if isinstance(conflict, RevisionConflict) else ""
            exchange.reply({"conflict": key}, 409)
        else:
            exchange.reply({"revisions": outcome.ok_value})

    def _serve_object(self, exchange: Exchange) -> None:
        name = exchange.path[len(_OBJECTS_PREFIX) :]
        if exchange.method == "GET":
            self._count("reads")
            data = self._objects.get(name).unwrap()
            exchange.reply(data if data is not None else b"", 200 if data is not None else 404)
            return
        self._count("writes")
        if exchange.method == "PUT":
            self._objects.put(name, exchange.body)
        else:
            self._objects.delete(name)
        if self._take_lost_answer():
            exchange.drop()
        else:
            exchange.reply({})

    def _list_objects(self, exchange: Exchange) -> None:
        self._count("reads")
        query = exchange.query
        names = self._objects.list(query["prefix"], query["after"], int(query["limit"])).unwrap()
        exchange.reply({"names": names})

    def _list_vms(self, exchange: Exchange) -> None:
        with self._lock:
            vms = list(self._vms.values())
        exchange.reply_tagged({"vms": vms})

    def _change_vm(self, exchange: Exchange) -> None:
        name = exchange.path[len("/vms/") :]
        with self._lock:
            if exchange.method == "DELETE":
                self._vms.pop(name, None)
            else:
                self._vms[name] = {"name": name, **exchange.json()}
        exchange.reply({})

    def _permit(self, exchange: Exchange) -> None:
        with self._lock:
            now = time.monotonic()
            wait = max(0.0, self._permit_free_at - now)
            if wait == 0.0:
                self._permit_free_at = now + self._permit_interval
        exchange.reply({"wait_seconds": wait})

    def _set_faults(self, exchange: Exchange) -> None:
        with self._lock:
            self._faults = exchange.json()
        exchange.reply({})
