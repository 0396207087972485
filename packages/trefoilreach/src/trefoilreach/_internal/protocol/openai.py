"""Parses requests and encodes errors of the public chat-completions HTTP API."""

from typing import Any, NamedTuple

import orjson

from trefoilreach._internal.protocol.verdict import Refusal, build_bad_request_refusal

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"

_ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
}


class Completion(NamedTuple):
    """A validated completion request.

    :param path: API path of the request.
    :param body: decoded JSON body.
    """

    path: str
    model: str
    body: dict[str, Any]
    stream: bool


def parse_json_object(data: bytes) -> dict[str, Any]:
    """Decode a JSON object.

    :raises Refusal: when the bytes are not a JSON object.
    """
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise build_bad_request_refusal(f"the body is not valid JSON: {error}") from error
    if not isinstance(body, dict):
        raise build_bad_request_refusal("the body must be a JSON object")
    return body


def parse_completion(path: str, body: dict[str, Any]) -> Completion:
    """Validate a completion request.

    :raises Refusal: names the invalid field.
    """
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise build_bad_request_refusal("'model' must be a non-empty string", "model")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise build_bad_request_refusal("'stream' must be true or false", "stream")
    _check_max_tokens(body)
    if path == CHAT_PATH:
        _check_messages(body.get("messages"))
    else:
        _check_prompt(body.get("prompt"))
    return Completion(path, model, body, stream)


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not messages:
        raise build_bad_request_refusal("'messages' must be a non-empty list", "messages")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            param = f"messages[{index}]"
            raise build_bad_request_refusal(f"{param!r} must be an object with a 'role'", param)


def _check_prompt(prompt: Any) -> None:
    if not isinstance(prompt, str) or not prompt:
        raise build_bad_request_refusal("'prompt' must be a non-empty string", "prompt")


def _check_max_tokens(body: dict[str, Any]) -> None:
    for name in ("max_tokens", "max_completion_tokens"):
        value = body.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise build_bad_request_refusal(f"{name!r} must be a whole number above 0", name)


def render_prompt(completion: Completion) -> str:
    """Return the prompt as one text, for prefix matching."""
    if completion.path == COMPLETIONS_PATH:
        return str(completion.body["prompt"])
    parts = [f"{m['role']}:{m.get('content', '')}" for m in completion.body["messages"]]
    return "\n".join(parts)


def encode_error(refusal: Refusal) -> bytes:
    """Return the JSON error body for a refusal."""
    kind = _ERROR_TYPES.get(refusal.status, "server_error")
    error = {
        "message": refusal.message,
        "type": kind,
        "param": refusal.param,
        "code": refusal.code,
    }
    return orjson.dumps({"error": error})
