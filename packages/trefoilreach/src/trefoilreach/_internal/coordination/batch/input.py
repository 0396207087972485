"""Checks the JSONL input of a batch job and splits it into chunks."""

from collections.abc import Iterator
from typing import Any, NamedTuple

import orjson

from trefoilreach._internal.coordination.config.active_config import ConfigView
from trefoilreach._internal.protocol.openai import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    parse_completion,
)
from trefoilreach._internal.protocol.verdict import Refusal, build_bad_request_refusal
from trefoilreach._internal.state.config import Account

ENDPOINTS = (CHAT_PATH, COMPLETIONS_PATH)
_ITEM_LIMIT = 1_000_000


class Item(NamedTuple):
    """One request of a batch."""

    custom_id: str
    body: dict[str, Any]


class ChunkInput(NamedTuple):
    """Items of one chunk, all for one model."""

    model: str
    lines: list[bytes]


class _Line(NamedTuple):
    custom_id: str
    model: str
    body: dict[str, Any]


def split_input(
    data: bytes, endpoint: str, view: ConfigView, account: Account, chunk_items: int
) -> list[ChunkInput]:
    """Check every line of a batch's input and group the lines into chunks by model.

    :raises Refusal: names the first invalid line; nothing of the input is accepted.
    """
    seen: dict[str, int] = {}
    by_model: dict[str, list[bytes]] = {}
    for number, text in _read_lines(data):
        line = _check_line(number, text, endpoint, view, account)
        if line.custom_id in seen:
            message = f"'custom_id' {line.custom_id!r} was used in line {seen[line.custom_id]}"
            raise _refuse_line(number, build_bad_request_refusal(message, "custom_id"))
        seen[line.custom_id] = number
        item = {"custom_id": line.custom_id, "body": line.body}
        by_model.setdefault(line.model, []).append(orjson.dumps(item))
        if len(seen) > _ITEM_LIMIT:
            raise Refusal(413, "too_many_items", f"the input has over {_ITEM_LIMIT} lines")
    if not seen:
        raise build_bad_request_refusal("the input file has no lines", "input_file_id")
    return [
        ChunkInput(model, lines[start : start + chunk_items])
        for model, lines in by_model.items()
        for start in range(0, len(lines), chunk_items)
    ]


def decode_items(data: bytes) -> list[Item]:
    """Decode a chunk's input object."""
    return [Item(**orjson.loads(line)) for line in data.splitlines()]


def _read_lines(data: bytes) -> Iterator[tuple[int, bytes]]:
    for number, text in enumerate(data.split(b"\n"), start=1):
        if text.strip():
            yield number, text.strip()


def _check_line(
    number: int, text: bytes, endpoint: str, view: ConfigView, account: Account
) -> _Line:
    try:
        return _parse_line(text, endpoint, view, account)
    except Refusal as refusal:
        raise _refuse_line(number, refusal) from refusal


def _parse_line(text: bytes, endpoint: str, view: ConfigView, account: Account) -> _Line:
    try:
        line = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise build_bad_request_refusal(f"is not valid JSON: {error}") from error
    if not isinstance(line, dict):
        raise build_bad_request_refusal("must be a JSON object")
    custom_id, body = line.get("custom_id"), line.get("body")
    if not isinstance(custom_id, str) or not custom_id:
        raise build_bad_request_refusal("'custom_id' must be a non-empty string", "custom_id")
    if line.get("method", "POST") != "POST":
        raise build_bad_request_refusal("'method' must be 'POST'", "method")
    if line.get("url") != endpoint:
        raise build_bad_request_refusal(f"'url' must be the batch's endpoint {endpoint!r}", "url")
    if not isinstance(body, dict):
        raise build_bad_request_refusal("'body' must be an object", "body")
    completion = parse_completion(endpoint, body)
    if completion.stream:
        raise build_bad_request_refusal("'stream' must not be true in a batch", "body.stream")
    _check_model(completion.model, view, account)
    return _Line(custom_id, completion.model, body)


def _check_model(model: str, view: ConfigView, account: Account) -> None:
    route = view.routes.get(model)
    if route is None or route.kind != "model":
        raise Refusal(404, "model_not_found", f"the model {model!r} does not exist", param="model")
    if route.accounts and account.name not in route.accounts:
        message = f"account {account.name!r} may not use {model!r}"
        raise Refusal(403, "route_not_allowed", message, param="model")


def _refuse_line(number: int, refusal: Refusal) -> Refusal:
    message = f"line {number}: {refusal.message}"
    return Refusal(refusal.status, refusal.code, message, param=refusal.param)
