"""Tests the validation of configuration entries and of references between them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from trefoilreach._internal.state.config import (
    Account,
    ConfigDocument,
    Key,
    Route,
    Server,
    WithdrawnKey,
    WorkClass,
)
from trefoilreach._internal.state.config_check import (
    RULES,
    FieldError,
    check_document,
    find_references,
    parse_entry,
)

DOCUMENT = ConfigDocument(
    version=1,
    classes=(WorkClass("chat"),),
    accounts=(Account("shop", 1.0, 1.0),),
    keys=(Key("k", "0" * 64, "caller", "shop"),),
    routes=(Route("m", "model", "chat", accounts=("shop",)), Route("s", "service")),
    servers=(Server("e", "engine", "127.0.0.1", 1, ("m",)),),
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=5,
)


@given(st.sampled_from(list(RULES)), st.data())
def test_any_json_is_parsed_or_rejected_by_field_fuzz(kind: type, data: st.DataObject) -> None:
    """Guards against input that raises any other error than one that names a field."""
    names = st.sampled_from([*RULES[kind], "unknown"])
    fields = data.draw(st.dictionaries(names, JSON, max_size=9))
    try:
        parse_entry(kind, fields)
    except FieldError as error:
        assert error.param in {*RULES[kind], "unknown"}
    except TypeError:
        # Only a key has required fields, its id and hash, that callers cannot set.
        assert kind is Key


@pytest.mark.parametrize(
    ("kind", "fields", "param"),
    [
        (Account, {"name": "a", "rate": 0, "burst": 1}, "rate"),
        (Account, {"name": "a", "rate": True, "burst": 1}, "rate"),
        (Account, {"name": "a", "rate": float("inf"), "burst": 1}, "rate"),
        (Account, {"name": "a", "rate": 1}, "burst"),
        (Account, {"name": "a/b", "rate": 1, "burst": 1}, "name"),
        (Account, {"name": "a", "rate": 1, "burst": 1, "weight": 2}, "weight"),
        (Server, {"name": "a", "kind": "engine", "host": "h", "port": 1, "routes": []}, "host"),
        (Route, {"name": "a", "accounts": ["x", "x"]}, "accounts"),
        (WorkClass, {"name": "a", "percentile": 100}, "percentile"),
    ],
)
def test_error_names_the_invalid_field(kind: type, fields: dict, param: str) -> None:
    """Guards against an invalid field that is accepted or not named in the error."""
    with pytest.raises(FieldError) as caught:
        parse_entry(kind, fields)
    assert caught.value.param == param
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("change", "param"),
    [
        ({"classes": ()}, "work_class"),
        ({"accounts": ()}, "accounts[0]"),
        ({"routes": DOCUMENT.routes[1:]}, "routes[0]"),
        ({"servers": (*DOCUMENT.servers, *DOCUMENT.servers)}, "name"),
        ({"servers": (*DOCUMENT.servers, DOCUMENT.servers[0]._replace(name="f"))}, "port"),
        ({"servers": (DOCUMENT.servers[0]._replace(routes=("s",)),)}, "routes[0]"),
        ({"keys": (Key("k", "0" * 64, "caller", "nobody"),)}, "account"),
        ({"keys": (Key("k", "0" * 64, "operator", "shop"),)}, "account"),
        ({"routes": (DOCUMENT.routes[0]._replace(open_to_all=True),)}, "accounts"),
    ],
)
def test_error_names_the_duplicate_or_dangling_reference(change: dict, param: str) -> None:
    """Guards against duplicate entries and references to entries that do not exist."""
    check_document(DOCUMENT)
    with pytest.raises(FieldError) as caught:
        check_document(DOCUMENT._replace(**change))
    assert caught.value.param == param


def test_references_list_the_entries_that_use_another() -> None:
    """Guards against the deletion of an entry that another one still uses."""
    assert find_references(DOCUMENT, "classes", "chat") == ["route 'm'"]
    assert find_references(DOCUMENT, "accounts", "shop") == ["key 'k'", "route 'm'"]
    assert find_references(DOCUMENT, "routes", "m") == ["backend server 'e'"]
    assert find_references(DOCUMENT, "servers", "e") == []


def test_withdrawn_key_does_not_block_deletion_of_its_account() -> None:
    """Guards against a client account that cannot be deleted because of a withdrawn key."""
    route = DOCUMENT.routes[0]._replace(accounts=())
    document = DOCUMENT._replace(routes=(route,), withdrawn=(WithdrawnKey("k", 0.0),))
    assert find_references(document, "accounts", "shop") == []
    check_document(document._replace(accounts=()))
