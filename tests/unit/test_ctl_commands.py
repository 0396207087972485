"""Guards against wrong requests from generated commands and wrong shell completion."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from trefoilctl._internal import main
from trefoilctl._internal.client import Client
from trefoilctl._internal.command import ApiCommand, commands
from trefoilctl._internal.commands import load_commands


class FakeReply:
    def __init__(self, json: Any) -> None:
        self.json = json


class RecordedCalls:
    """Replaces :meth:`Client.call`: records changes; each list has one entry, at version 7."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, str, Any, Any]] = []

    def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> FakeReply:
        if method == "GET":
            entry = {"name": "x", "id": "x", "rate": 5.0, "routes": ["m"]}
            return FakeReply({"version": 7, "data": [entry]})
        self.sent.append((method, path, body, (headers or {}).get("If-Match")))
        return FakeReply({"version": 8})


@pytest.fixture
def calls(monkeypatch: pytest.MonkeyPatch) -> RecordedCalls:
    found = RecordedCalls()
    monkeypatch.setattr(Client, "call", lambda self, *arguments: found.call(*arguments))
    monkeypatch.setattr(main, "load_commands", load_commands)
    return found


@pytest.mark.parametrize(
    ("line", "sent", "printed"),
    [
        (
            "account set x --burst 9",
            ("PUT", "/v1/admin/accounts/x", {"burst": 9.0, "rate": 5.0}, '"7"'),
            "account x set in version 8",
        ),
        (
            "class set new --first-token 2 --if-version 3",
            ("PUT", "/v1/admin/classes/new", {"first_token_seconds": 2.0}, '"3"'),
            "class new set in version 8",
        ),
        (
            "route set new --account a --every-account --idempotent yes",
            ("PUT", "/v1/admin/routes/new", {"accounts": [], "idempotent": True}, '"7"'),
            "route new set in version 8",
        ),
        (
            "server add new 127.0.0.1:99 --slots 4",
            (
                "PUT",
                "/v1/admin/servers/new",
                {"slots": 4, "host": "127.0.0.1", "port": 99, "state": "live"},
                '"7"',
            ),
            "server new added in version 8",
        ),
        (
            "server leave x",
            ("POST", "/v1/admin/servers/x/leave", None, '"7"'),
            "server x leaving in version 8",
        ),
        (
            "server remove a/b",
            ("DELETE", "/v1/admin/servers/a%2Fb", None, '"7"'),
            "server a/b removed in version 8",
        ),
        (
            "route delete x --if-version 2",
            ("DELETE", "/v1/admin/routes/x", None, '"2"'),
            "route x deleted in version 8",
        ),
    ],
)
def test_change_sends_its_fields_against_the_version(
    calls: RecordedCalls,
    capfd: pytest.CaptureFixture[str],
    line: str,
    sent: tuple[str, str, dict[str, Any] | None, str],
    printed: str,
) -> None:
    """Guards against a command that sends fields of another kind or omits the base version."""
    assert main.run(line.split()) == 0
    method, path, body, version = calls.sent[0]
    assert (method, path, version) == (sent[0], sent[1], sent[3])
    kept = {} if body is None or line.split()[2] != "x" else {"name", "id", "routes"}
    fields = None if body is None else {k: v for k, v in body.items() if k not in kept}
    assert fields == sent[2]
    assert printed in capfd.readouterr().out


@pytest.mark.parametrize("word", ["account", "class", "route", "server", "key"])
def test_lists_print_their_columns(
    calls: RecordedCalls, capfd: pytest.CaptureFixture[str], word: str
) -> None:
    """Guards against a list command that prints no table or changes something."""
    assert main.run([word, "list"]) == 0
    header = capfd.readouterr().out.splitlines()[0]
    assert ("id" if word == "key" else "name") in header and calls.sent == []


def test_command_without_run_command_cannot_be_created() -> None:
    """Guards against a command without ``run_command`` that fails only when it is used."""
    with pytest.raises(TypeError, match="run_command"):
        type("Empty", (ApiCommand,), {"name": "empty"})()


_EXPECTED_WORDS = {
    "": {"account", "batch", "class", "config", "entrypoints", "server", "vm", "help"},
    "ac": {"account"},
    "account ": {"set", "list", "delete"},
    "server re": {"remove"},
    "--url http://127.0.0.1:8080 -k secret key ": {"grant", "list", "withdraw"},
    "account set x --bu": {"--burst"},
    "batch submit --idem": {"--idempotency-key"},
    "entrypoints --js": {"--json"},
    "account set --url ": set[str](),
    "account set ": set[str](),
}


@pytest.mark.parametrize(("line", "shown"), _EXPECTED_WORDS.items(), ids=list(_EXPECTED_WORDS))
def test_bash_completion_of_commands_of_two_words(
    tmp_path_factory: pytest.TempPathFactory, line: str, shown: set[str]
) -> None:
    """Guards against completion that misses the second word or the options of a command."""
    script = _completion_script(tmp_path_factory)
    # Bash splits the line at blanks, ":" and "=" before it calls the completion function.
    words = ["trefoilctl", *line.replace(":", " : ").split()]
    if line.endswith(" ") or not line:
        words.append("")
    quoted = " ".join(f"'{word}'" for word in words)
    program = (
        f"source {script}; COMP_WORDS=({quoted}); COMP_CWORD={len(words) - 1}; "
        "function=$(complete -p trefoilctl | sed 's/.*-F \\([^ ]*\\).*/\\1/'); "
        '$function; printf "%s\\n" "${COMPREPLY[@]}"'
    )
    process = subprocess.run(
        ["bash", "--norc", "-c", program], capture_output=True, text=True, check=True
    )
    found = set(process.stdout.split())
    assert process.stderr == ""
    assert shown <= found if not line else found == shown


def _completion_script(factory: pytest.TempPathFactory) -> Path:
    path = factory.getbasetemp() / "completion.bash"
    if not path.exists():
        process = subprocess.run(
            [sys.executable, "-m", "trefoilctl", "completions", "bash"],
            capture_output=True,
            text=True,
            check=True,
        )
        path.write_text(process.stdout)
    return path


def test_every_command_is_registered_once() -> None:
    """Guards against a builder that registers a command twice."""
    load_commands()
    names = [command.name for command in commands]
    assert len(names) == len(set(names))
