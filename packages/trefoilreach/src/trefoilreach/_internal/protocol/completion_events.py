"""Extracts the text of streamed completions and joins their events into one answer."""

from collections.abc import Iterable
from typing import Any

import orjson

from trefoilreach._internal.protocol.openai import CHAT_PATH

# String fields that arrive complete; other strings arrive in fragments that are appended.
_COMPLETE_STRING_FIELDS = {"role", "id", "type", "name"}


def read_text(payloads: Iterable[bytes]) -> str | None:
    """Return the joined text of streamed events.

    None when it cannot be continued as one text: several choices, or calls of tools.
    """
    text: list[str] = []
    for payload in payloads:
        for choice in orjson.loads(payload).get("choices", ()):
            if choice.get("index", 0) != 0:
                return None
            delta = choice.get("delta") or {}
            if delta.get("tool_calls") or delta.get("function_call"):
                return None
            text.append(choice_text(choice))
    return "".join(text)


def choice_text(choice: dict[str, Any]) -> str:
    """Return the text of one choice of a streamed event, empty without one."""
    delta = choice.get("delta") or {}
    return delta.get("content") or choice.get("text") or ""


def join_events(path: str, payloads: Iterable[bytes]) -> dict[str, Any]:
    """Join streamed events into one completion object."""
    chat = path == CHAT_PATH
    joined: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    usage = None
    for payload in payloads:
        event = orjson.loads(payload)
        joined = joined or event
        usage = event.get("usage") or usage
        for choice in event.get("choices", ()):
            index = choice.get("index", 0)
            target = choices.setdefault(index, _start_choice(index, chat))
            _merge_choice(target, choice)
    return {
        **{name: value for name, value in joined.items() if name != "usage"},
        "object": "chat.completion" if chat else "text_completion",
        "choices": [choices[index] for index in sorted(choices)],
        "usage": usage,
    }


def _start_choice(index: int, chat: bool) -> dict[str, Any]:
    initial: dict[str, Any] = {"message": {"role": "assistant", "content": None}}
    return {"index": index, "finish_reason": None, **(initial if chat else {"text": ""})}


def _merge_choice(target: dict[str, Any], part: dict[str, Any]) -> None:
    target["finish_reason"] = part.get("finish_reason") or target["finish_reason"]
    if part.get("delta"):
        _merge(target["message"], part["delta"])
    if part.get("text"):
        target["text"] += part["text"]
    if part.get("logprobs"):
        _merge(target.setdefault("logprobs", {}), part["logprobs"])


def _merge(target: dict[str, Any], part: dict[str, Any]) -> None:
    for name, value in part.items():
        existing = target.get(name)
        if value is None:
            target.setdefault(name, None)
        elif existing is None:
            target[name] = _start_calls(value) if name == "tool_calls" else value
        elif name == "tool_calls":
            _merge_calls(existing, value)
        elif isinstance(existing, dict):
            _merge(existing, value)
        elif isinstance(existing, list):
            existing.extend(value)
        elif isinstance(existing, str) and name not in _COMPLETE_STRING_FIELDS:
            target[name] = existing + value


def _merge_calls(existing: list[dict[str, Any]], parts: list[dict[str, Any]]) -> None:
    for part in parts:
        index = part.get("index", 0)
        while len(existing) <= index:
            existing.append({})
        _merge(existing[index], _remove_index(part))


def _start_calls(parts: list[dict[str, Any]]) -> list[dict[str, Any]]:
    calls: list[dict[str, Any]] = []
    _merge_calls(calls, parts)
    return calls


def _remove_index(part: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in part.items() if name != "index"}
