"""Guards against pages that name things that do not exist, or omit routes or settings."""

import re
from pathlib import Path
from typing import get_args, get_type_hints

import pytest
from trefoilctl._internal.command import commands
from trefoilctl._internal.commands import load_commands
from trefoilreach._internal.api import app  # noqa: F401 - registers the routes
from trefoilreach._internal.api.web import routes
from trefoilreach._internal.settings import Settings

ROOT = Path(__file__).resolve().parents[2]
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md"] + [
    ROOT / "docs" / f"{name}.md"
    for name in ("operators", "callers", "configuration", "protocol", "glossary")
]
SOURCES = ROOT / "packages/trefoilreach/src/trefoilreach/_internal"
# Paths on the protocol page that engines and the platform serve, not the daemon.
ENGINE_PATHS = {"/v1/cancel"}


def read_page(name: str) -> str:
    return (ROOT / "docs" / f"{name}.md").read_text()


def find_calls(text: str) -> set[tuple[str, str]]:
    found = re.findall(r"\b(GET|POST|PUT|DELETE) (/(?:v1/|healthz)[^\s`?]*)", text)
    return {(method, path.replace("{", "").replace("}", "")) for method, path in found}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_routes_targets_and_files_named_on_a_page_exist(page: Path) -> None:
    text = page.read_text()
    for method, path in find_calls(text):
        if path not in ENGINE_PATHS:
            routes.find_handler(method, path)
    targets = set(re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text(), re.MULTILINE))
    assert set(re.findall(r"`make ([a-z]+)", text)) <= targets
    for link in re.findall(r"\]\(([^)#]+)\)", text):
        assert (page.parent / link).exists(), link
    for path in re.findall(r"`((?:packages|docs|tests|\.ci)/[\w./-]+)`", text):
        assert (ROOT / path).exists(), path


def test_every_route_of_the_daemon_is_on_the_protocol_page() -> None:
    named = find_calls(read_page("protocol"))
    for entry in routes._entries:
        assert any(
            entry.pattern.fullmatch(path) and entry.method in (method, "*")
            for method, path in named
        ) or re.search(r"admin/(accounts|routes|servers)/\(", entry.pattern.pattern), entry


def test_every_command_is_on_a_page_and_every_named_one_exists() -> None:
    load_commands()
    existing = {str(command.name) for command in commands}
    text = "\n".join(page.read_text() for page in PAGES)
    named = set(re.findall(r"trefoilctl ([a-z]+ [a-z]+)\b", text))
    assert existing - {"audit", "entrypoints"} <= named
    assert {name for name in named if name.split()[0] not in ("completions",)} <= existing


def test_every_setting_is_on_the_configuration_page() -> None:
    text = read_page("configuration")
    for section, kind in get_type_hints(Settings).items():
        part = text.split(f"## `[{section}]`\n")[1].split("\n## ")[0]
        rows = {}
        for line in part.splitlines():
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            if cells[0].startswith("`"):
                rows[cells[0].strip("`")] = cells[1:]
        hints = get_type_hints(kind, include_extras=True)
        assert list(rows) == list(hints), section
        for key, hint in hints.items():
            option = get_args(hint)[1]
            default, allowed, meaning = rows[key]
            assert allowed == option.allowed, (section, key)
            assert meaning
            if default != "host name":
                shown = "" if default == "empty" else default.strip("`")
                assert option.parse(shown) == kind._field_defaults[key], (section, key)


def test_named_log_lines_and_metrics_are_written() -> None:
    source = "\n".join(path.read_text() for path in SOURCES.rglob("*.py"))
    text = read_page("operators")
    lines = re.findall(r"`((?:[a-z]+:[a-z-]+)|withdrawal)`", text)
    assert len(lines) > 15
    for name in lines:
        written = name.removeprefix("decision:")
        assert re.search(rf'log_(event|decision)\(\s*"{written}"', source), name
    for name in ("requests.answer", "config.version", "streams.open"):
        assert f"`{name}`" in text and f'"{name}"' in source
