"""Builds the commands that set, list and delete one kind of configuration entry."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from trefoilctl._internal.client import Client
from trefoilctl._internal.command import (
    ApiCommand,
    CommandClass,
    api_options,
    change_options,
    register,
)
from trefoilctl._internal.entries import Section, read_if_version

FieldReader = Callable[[ApiCommand], dict[str, Any]]


class EntryKind(NamedTuple):
    """One kind of named entry.

    :param word: first word of its commands.
    :param section: its place under ``/v1/admin``.
    :param noun: what descriptions call one entry.
    :param plural: what descriptions call several.
    :param columns: columns of its table.
    """

    word: str
    section: str
    noun: str
    plural: str
    columns: tuple[str, ...]


class Verb(NamedTuple):
    """Second word of a command, and the participle that its result line uses."""

    word: str
    done: str


SET = Verb("set", "set")
DELETE = Verb("delete", "deleted")


def add_list_command(kind: EntryKind, remark: str = "") -> CommandClass:
    """Register the command that lists the entries.

    :param remark: what the description says beyond the name of the entries.
    """

    def run_command(self: ApiCommand, client: Client) -> None:
        listed = Section(client, kind.section).list()
        self.print_rows(listed, listed["data"], kind.columns)

    description = f"List the {kind.plural}{remark}."
    return _add(kind, "list", description, run_command, (), api_options())


def add_set_command(
    kind: EntryKind,
    description: str,
    options: Sequence[Option],
    read: FieldReader,
    verb: Verb = SET,
    arguments: Sequence[Argument] = (),
) -> CommandClass:
    """Register the command that adds an entry or changes some fields of it.

    :param options: its own options.
    :param read: returns the fields to change.
    :param arguments: its arguments after the name.
    """

    def run_command(self: ApiCommand, client: Client) -> None:
        name, fields = self.argument("name"), read(self)
        changed = Section(client, kind.section).set(name, fields, read_if_version(self))
        _print_change(self, kind, name, verb, changed)

    own = (_name_argument(kind), *arguments)
    return _add(kind, verb.word, description, run_command, own, change_options(*options))


def add_delete_command(kind: EntryKind, description: str, verb: Verb = DELETE) -> CommandClass:
    """Register the command that removes an entry."""

    def run_command(self: ApiCommand, client: Client) -> None:
        name = self.argument("name")
        changed = Section(client, kind.section).delete(name, read_if_version(self))
        _print_change(self, kind, name, verb, changed)

    own = (_name_argument(kind),)
    return _add(kind, verb.word, description, run_command, own, change_options())


def _name_argument(kind: EntryKind) -> Argument:
    return argument("name", f"Name of the {kind.noun}.")


def _print_change(
    command: ApiCommand, kind: EntryKind, name: str, verb: Verb, changed: dict[str, Any]
) -> None:
    text = f"{kind.word} {name} {verb.done} in version {changed['version']}"
    command.print_result(changed, text)


def _add(
    kind: EntryKind,
    verb: str,
    description: str,
    run_command: Callable[[ApiCommand, Client], None],
    arguments: Sequence[Argument],
    options: Sequence[Option],
) -> CommandClass:
    members = {
        "__doc__": description,
        "name": f"{kind.word} {verb}",
        "description": description,
        "arguments": list(arguments),
        "options": list(options),
        "run_command": run_command,
    }
    return register(type(f"{kind.word}{verb}Command".title(), (ApiCommand,), members))
