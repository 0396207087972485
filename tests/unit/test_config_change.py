"""Tests configuration changes: applying them must give the same document as the whole one."""

import zlib
from types import SimpleNamespace
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok
from test_config_machine import corrupt_change
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.config.active_config import ActiveConfig
from trefoilreach._internal.coordination.config.store import CHANGE_SUFFIX
from trefoilreach._internal.coordination.config.sync import ConfigSync
from trefoilreach._internal.coordination.membership.peers import LIVE, Member
from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    ConfigError,
    Server,
    WithdrawnKey,
)
from trefoilreach._internal.state.config_change import apply_changes, encode_change
from trefoilreach._internal.state.objects import MemoryObjectStore
from trefoilreach._internal.state.table import MemoryTable

NAMES = st.sampled_from("abcdefgh")
SERVERS = st.tuples(NAMES, st.integers(1, 3)).map(
    lambda entry: Server(entry[0], "engine", "::1", entry[1], ("m",))
)
ACCOUNTS = st.tuples(NAMES, st.sampled_from([1, 1.5])).map(lambda entry: Account(*entry, 2.0))
DOCUMENTS = st.builds(
    ConfigDocument,
    version=st.just(0),
    classes=st.just(()),
    keys=st.just(()),
    routes=st.just(()),
    accounts=st.lists(ACCOUNTS).map(tuple),
    servers=st.lists(SERVERS).map(tuple),
    withdrawn=st.lists(st.builds(WithdrawnKey, NAMES, st.floats(0, 9))).map(tuple),
)


@given(
    base=DOCUMENTS, document=DOCUMENTS, offset=st.integers(0, 400), flipped_bits=st.integers(1, 255)
)
def test_fuzz_change_gives_the_document_or_fails(
    base: ConfigDocument, document: ConfigDocument, offset: int, flipped_bits: int
) -> None:
    """Guards against a corrupted change, or one for another base, that gives a wrong document."""
    document = document._replace(version=1)
    change = encode_change(base, document)
    assert apply_changes(base, [change]) == document
    plain = bytearray(zlib.decompress(change))
    plain[offset % len(plain)] ^= flipped_bits
    other = base._replace(accounts=(*base.accounts, Account("other", 1.0, 1.0)))
    for start, data in ((base, zlib.compress(bytes(plain))), (base, change[:-5]), (other, change)):
        try:
            assert apply_changes(start, [data]) == document
        except ConfigError:
            continue


def test_large_region_is_replaced_as_a_whole() -> None:
    """Guards against a wrong document from the code path for large regions."""
    old, new = (
        ConfigDocument(n, accounts=tuple(Account(f"a{(n + 2) * i}", 1.0, n) for i in range(400)))
        for n in (1, 2)
    )
    assert apply_changes(old, [encode_change(old, new)]) == new


class RecordingObjectStore(MemoryObjectStore):
    """Records for each read whether it was of a change (True) or of a whole document."""

    def __init__(self) -> None:
        super().__init__()
        self.reads: list[bool] = []

    def get(self, name: str) -> Any:
        self.reads.append(name.endswith(CHANGE_SUFFIX))
        return super().get(name)


class DaemonPair:
    """Two daemons that share the stores; the second can call the first as a peer."""

    def __init__(self) -> None:
        self.table, self.objects = MemoryTable(), RecordingObjectStore()
        self.requested_bases: list[int | None] = []
        own_member = Member("n", "::1", 1, 2, "d", "r", 1, LIVE)
        self.peers: Any = SimpleNamespace(
            own_member=own_member, members=lambda: [own_member], call=self.call
        )
        self.writer, self.reader = self.build(None), self.build(self.peers)
        self.change()
        self.reader.poll()
        self.objects.reads.clear()

    def build(self, peers: Any) -> ConfigSync:
        return ConfigSync(ManualClock(), self.table, self.objects, ActiveConfig(), 2.0, peers)

    def call(self, vm: str, action: Any, timeout: float) -> Any:
        return Ok(action(self))

    def fetch_config(self, min_version: int, base_version: int | None) -> Any:
        self.requested_bases.append(base_version)
        return self.writer.answer_fetch(min_version, base_version)

    def change(self) -> None:
        def edit(document: ConfigDocument) -> ConfigDocument:
            name = f"a{document.version:03}"
            return document._replace(accounts=(*document.accounts, Account(name, 1.0, 1.0)))

        assert isinstance(self.writer.change(None, edit), Ok)

    def assert_same_document(self) -> None:
        assert self.reader._replica.document == self.writer._replica.document


@pytest.mark.parametrize(
    ("missed", "fault", "read"),
    [
        (1, "", [True]),
        (4, "", [True] * 4),
        (5, "", [False]),
        (2, "wrong", [True, True, False]),
        (2, "missing", [True, False]),
    ],
)
def test_outdated_daemon_reads_changes_or_the_whole_document(
    missed: int, fault: str, read: list[bool]
) -> None:
    """Guards against a daemon that stays outdated, or reads whole documents without need."""
    daemons = DaemonPair()
    for _ in range(missed):
        daemons.change()
    for name in [name for name in daemons.objects._objects if name.endswith(CHANGE_SUFFIX)]:
        if fault == "missing":
            daemons.objects.delete(name)
        elif fault == "wrong":
            daemons.objects.put(name, corrupt_change(daemons.objects._objects[name]))
    assert daemons.reader.poll()
    assert daemons.objects.reads == read
    daemons.assert_same_document()


@pytest.mark.parametrize(
    ("missed", "wrong", "asks"), [(1, 0, 1), (16, 0, 1), (17, 0, 1), (3, 1, 2)]
)
def test_peer_sends_changes_or_the_whole_document(missed: int, wrong: int, asks: int) -> None:
    """Guards against a daemon that stays outdated when a peer sends a wrong change.

    It depends on the peer while it cannot read the store.
    """
    daemons = DaemonPair()
    for _ in range(missed):
        daemons.change()
    kept_changes = daemons.writer._replica.changes._changes
    if wrong:
        kept_changes.update(
            {version: corrupt_change(data) for version, data in kept_changes.items()}
        )
    reply = daemons.writer.answer_fetch(2, 1)
    assert len(reply.changes) == (missed if missed <= 16 else 0)
    assert bool(reply.document) is (missed > 16)
    assert daemons.writer.answer_fetch(2).document, (
        "a daemon of an earlier release gets the whole document"
    )
    assert daemons.reader._exchange.fetch("n") == Ok(1 + missed)
    assert len(daemons.requested_bases) == asks
    daemons.assert_same_document()


def test_change_of_one_entry_is_small_in_a_large_document() -> None:
    """Guards against changes that grow with the document, and with them the network traffic."""
    accounts = tuple(Account(f"a{number:04}", 1.0, 1.0) for number in range(2000))
    old = ConfigDocument(1, accounts=accounts)
    new = old._replace(version=2, accounts=(*accounts[:7], Account("x", 9.0, 9.0), *accounts[8:]))
    change = encode_change(old, new)
    assert len(change) < 300
    assert orjson.loads(zlib.decompress(change))["sections"]["accounts"][0][:2] == [7, 1]
