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
    :param section: last segment of its path under ``/v1/admin``.
    :param noun: name of one entry in descriptions.
    :param plural: name of several entries in descriptions.
    :param columns: fields that the table of entries shows.
    """

    word: str
    section: str
    noun: str
    plural: str
    columns: tuple[str, ...]


class Verb(NamedTuple):
    """Second word of a command, and the participle for its result line."""

    word: str
    done: str


SET = Verb("set", "set")
DELETE = Verb("delete", "deleted")


def add_list_command(kind: EntryKind, remark: str = "") -> CommandClass:
    """Register the command that lists the entries.

    :param remark: text after the name of the entries in the description.
    """

    def run_command(self: ApiCommand, client: Client) -> None:
        listed = Section(client, kind.section).list()
        self.print_rows(listed, listed["data"], kind.columns)

    description = f"List the {kind.plural}{remark}."
    return _register_command(kind, "list", description, run_command, (), api_options())


def add_set_command(
    kind: EntryKind,
    description: str,
    options: Sequence[Option],
    read: FieldReader,
    verb: Verb = SET,
    arguments: Sequence[Argument] = (),
) -> CommandClass:
    """Register the command that adds an entry or changes some of its fields.

    :param options: options of this command only.
    :param read: returns the fields to set, from the options and arguments.
    :param arguments: arguments after the name of the entry.
    """

    def run_command(self: ApiCommand, client: Client) -> None:
        name, fields = self.argument("name"), read(self)
        changed = Section(client, kind.section).set(name, fields, read_if_version(self))
        _print_change(self, kind, name, verb, changed)

    own_arguments = (_name_argument(kind), *arguments)
    return _register_command(
        kind, verb.word, description, run_command, own_arguments, change_options(*options)
    )


def add_delete_command(kind: EntryKind, description: str, verb: Verb = DELETE) -> CommandClass:
    """Register the command that deletes an entry."""

    def run_command(self: ApiCommand, client: Client) -> None:
        name = self.argument("name")
        changed = Section(client, kind.section).delete(name, read_if_version(self))
        _print_change(self, kind, name, verb, changed)

    own_arguments = (_name_argument(kind),)
    return _register_command(
        kind, verb.word, description, run_command, own_arguments, change_options()
    )


def _name_argument(kind: EntryKind) -> Argument:
    return argument("name", f"Name of the {kind.noun}.")


def _print_change(
    command: ApiCommand, kind: EntryKind, name: str, verb: Verb, changed: dict[str, Any]
) -> None:
    text = f"{kind.word} {name} {verb.done} in version {changed['version']}"
    command.print_result(changed, text)


def _register_command(
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
