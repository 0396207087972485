"""Submits batch jobs through the HTTP API and reads their progress."""

import uuid

import orjson

from trefoilreach_emulator._internal.bench.sites import MODEL, key_of
from trefoilreach_emulator._internal.http_call import Address, Answer, call

_COMPLETION_WINDOW = "24h"


class BatchLoadError(RuntimeError):
    """The daemon did not accept a job."""


def build_items(count: int, tokens: int, label: str) -> bytes:
    """Return a JSONL input of ``count`` items with ``tokens`` tokens each."""
    return b"\n".join(_build_item(index, tokens, label) for index in range(count)) + b"\n"


def _build_item(index: int, tokens: int, label: str) -> bytes:
    prompt = f"{label} item {index} " + "catalogue entry " * 8
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
    }
    item = {
        "custom_id": f"{label}-{index}",
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": body,
    }
    return orjson.dumps(item)


def submit_job(daemon: Address, account: str, items: bytes) -> str:
    """Upload an input file, create a job and return its id."""
    key = key_of(account)
    boundary = uuid.uuid4().hex
    form = (
        f'--{boundary}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        f'--{boundary}\r\nContent-Disposition: form-data; name="file"; filename="items.jsonl"\r\n'
        "Content-Type: application/jsonl\r\n\r\n"
    ).encode()
    data = form + items + f"\r\n--{boundary}--\r\n".encode()
    headers = {"Content-Type": f"multipart/form-data; boundary={boundary}"}
    uploaded = _require(call(daemon, "POST", "/v1/files", data, key, headers))
    body = {
        "input_file_id": uploaded.json()["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": _COMPLETION_WINDOW,
    }
    created = _require(call(daemon, "POST", "/v1/batches", body, key))
    return str(created.json()["id"])


def count_done(daemon: Address, account: str, job: str) -> int:
    """Return how many items of a job have ended."""
    answer = _require(call(daemon, "GET", f"/v1/batches/{job}", key=key_of(account)))
    counts = answer.json()["request_counts"]
    return int(counts["completed"]) + int(counts["failed"])


def _require(answer: Answer) -> Answer:
    if answer.status not in (200, 201):
        raise BatchLoadError(f"the daemon answered {answer.status}: {answer.data[:200]!r}")
    return answer
