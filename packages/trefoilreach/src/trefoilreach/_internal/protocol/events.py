"""Events of streamed completions: their text, and joining them into one answer."""

from collections.abc import Iterable
from typing import Any

import orjson

from trefoilreach._internal.protocol.openai import CHAT_PATH

# Strings of these fields of a streamed message come whole, others piece by piece.
_WHOLE_FIELDS = {"role", "id", "type", "name"}


def read_text(payloads: Iterable[bytes]) -> str | None:
    """Return the text of streamed events, or None if it cannot be continued as one text."""
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
    """Return the text of one choice of a streamed event."""
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
            whole = choices.setdefault(index, _start_choice(index, chat))
            _add_choice(whole, choice)
    return {
        **{name: value for name, value in joined.items() if name != "usage"},
        "object": "chat.completion" if chat else "text_completion",
        "choices": [choices[index] for index in sorted(choices)],
        "usage": usage,
    }


def _start_choice(index: int, chat: bool) -> dict[str, Any]:
    content: dict[str, Any] = {"message": {"role": "assistant", "content": None}}
    return {"index": index, "finish_reason": None, **(content if chat else {"text": ""})}


def _add_choice(whole: dict[str, Any], part: dict[str, Any]) -> None:
    whole["finish_reason"] = part.get("finish_reason") or whole["finish_reason"]
    if part.get("delta"):
        _merge(whole["message"], part["delta"])
    if part.get("text"):
        whole["text"] += part["text"]
    if part.get("logprobs"):
        _merge(whole.setdefault("logprobs", {}), part["logprobs"])


def _merge(whole: dict[str, Any], part: dict[str, Any]) -> None:
    for name, value in part.items():
        known = whole.get(name)
        if value is None:
            whole.setdefault(name, None)
        elif known is None:
            whole[name] = _without_index(value) if name == "tool_calls" else value
        elif name == "tool_calls":
            _merge_calls(known, value)
        elif isinstance(known, dict):
            _merge(known, value)
        elif isinstance(known, list):
            known.extend(value)
        elif isinstance(known, str) and name not in _WHOLE_FIELDS:
            whole[name] = known + value


def _merge_calls(known: list[dict[str, Any]], parts: list[dict[str, Any]]) -> None:
    for part in parts:
        index = part.get("index", 0)
        while len(known) <= index:
            known.append({})
        _merge(known[index], _strip_index(part))


def _without_index(parts: list[dict[str, Any]]) -> list[dict[str, Any]]:
    calls: list[dict[str, Any]] = []
    _merge_calls(calls, parts)
    return calls


def _strip_index(part: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in part.items() if name != "index"}
