"""Guards against differences between versions that lead to another document than the whole one."""

import zlib
from types import SimpleNamespace
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok
from test_config_machine import spoil_change
from trefoilreach._internal.clock import ManualClock
from trefoilreach._internal.coordination.config.store import CHANGE_SUFFIX
from trefoilreach._internal.coordination.config.sync import ConfigSync
from trefoilreach._internal.coordination.config.view import ConfigHolder
from trefoilreach._internal.coordination.membership.peers import LIVE, Member
from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    ConfigError,
    Server,
    Withdrawn,
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
    withdrawn=st.lists(st.builds(Withdrawn, NAMES, st.floats(0, 9))).map(tuple),
)


@given(base=DOCUMENTS, document=DOCUMENTS, where=st.integers(0, 400), value=st.integers(1, 255))
def test_fuzz_change_makes_the_document_or_fails(
    base: ConfigDocument, document: ConfigDocument, where: int, value: int
) -> None:
    """A spoiled change, or one for another base, must never make a third document."""
    document = document._replace(version=1)
    change = encode_change(base, document)
    assert apply_changes(base, [change]) == document
    plain = bytearray(zlib.decompress(change))
    plain[where % len(plain)] ^= value
    other = base._replace(accounts=(*base.accounts, Account("other", 1.0, 1.0)))
    for start, data in ((base, zlib.compress(bytes(plain))), (base, change[:-5]), (other, change)):
        try:
            assert apply_changes(start, [data]) == document
        except ConfigError:
            continue


def test_whole_replacement_of_a_large_section_is_exact() -> None:
    """Sections above the limit of the search take another path."""
    old, new = (
        ConfigDocument(n, accounts=tuple(Account(f"a{(n + 2) * i}", 1.0, n) for i in range(400)))
        for n in (1, 2)
    )
    assert apply_changes(old, [encode_change(old, new)]) == new


class CountedObjects(MemoryObjectStore):
    def __init__(self) -> None:
        super().__init__()
        self.read: list[bool] = []

    def get(self, name: str) -> Any:
        self.read.append(name.endswith(CHANGE_SUFFIX))
        return super().get(name)


class Daemons:
    """Two daemons that share stores; the second reaches the first as a peer."""

    def __init__(self) -> None:
        self.table, self.objects = MemoryTable(), CountedObjects()
        self.asked: list[int | None] = []
        own = Member("n", "::1", 1, 2, "d", "r", 1, LIVE)
        self.peers: Any = SimpleNamespace(self_member=own, members=lambda: [own], call=self.call)
        self.writer, self.reader = self.build(None), self.build(self.peers)
        self.change()
        self.reader.poll()
        self.objects.read.clear()

    def build(self, peers: Any) -> ConfigSync:
        return ConfigSync(ManualClock(), self.table, self.objects, ConfigHolder(), 2.0, peers)

    def call(self, vm: str, action: Any, timeout: float) -> Any:
        return Ok(action(self))

    def fetch_config(self, min_version: int, base_version: int | None) -> Any:
        self.asked.append(base_version)
        return self.writer.answer_fetch(min_version, base_version)

    def change(self) -> None:
        def edit(document: ConfigDocument) -> ConfigDocument:
            name = f"a{document.version:03}"
            return document._replace(accounts=(*document.accounts, Account(name, 1.0, 1.0)))

        assert isinstance(self.writer.change(None, edit), Ok)

    def assert_level(self) -> None:
        assert self.reader._copy.document == self.writer._copy.document


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
def test_daemon_that_missed_versions_reads_changes_or_the_whole(
    missed: int, fault: str, read: list[bool]
) -> None:
    """A daemon that stays behind, or reads whole documents for no reason."""
    daemons = Daemons()
    for _ in range(missed):
        daemons.change()
    for name in [name for name in daemons.objects._objects if name.endswith(CHANGE_SUFFIX)]:
        if fault == "missing":
            daemons.objects.delete(name)
        elif fault == "wrong":
            daemons.objects.put(name, spoil_change(daemons.objects._objects[name]))
    assert daemons.reader.poll()
    assert daemons.objects.read == read
    daemons.assert_level()


@pytest.mark.parametrize(
    ("missed", "wrong", "asks"), [(1, 0, 1), (16, 0, 1), (17, 0, 1), (3, 1, 2)]
)
def test_peer_gives_the_changes_or_the_whole(missed: int, wrong: int, asks: int) -> None:
    """A daemon without the store that a peer's wrong change keeps behind."""
    daemons = Daemons()
    for _ in range(missed):
        daemons.change()
    kept = daemons.writer._copy.changes._changes
    if wrong:
        kept.update({version: spoil_change(data) for version, data in kept.items()})
    reply = daemons.writer.answer_fetch(2, 1)
    assert len(reply.changes) == (missed if missed <= 16 else 0)
    assert bool(reply.document) is (missed > 16)
    assert daemons.writer.answer_fetch(2).document, "a daemon of an earlier release gets the whole"
    assert daemons.reader._exchange.fetch("n") == Ok(1 + missed)
    assert len(daemons.asked) == asks
    daemons.assert_level()


def test_change_of_one_entry_is_small_in_a_large_document() -> None:
    """A change whose size grows with the document would bring the traffic back."""
    accounts = tuple(Account(f"a{number:04}", 1.0, 1.0) for number in range(2000))
    old = ConfigDocument(1, accounts=accounts)
    new = old._replace(version=2, accounts=(*accounts[:7], Account("x", 9.0, 9.0), *accounts[8:]))
    change = encode_change(old, new)
    assert len(change) < 300
    assert orjson.loads(zlib.decompress(change))["sections"]["accounts"][0][:2] == [7, 1]
