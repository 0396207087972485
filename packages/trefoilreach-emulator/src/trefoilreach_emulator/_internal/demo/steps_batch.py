"""Steps with batch jobs."""

import time
from pathlib import Path
from typing import Any

import orjson

from trefoilreach_emulator._internal.demo.ctl import Ctl
from trefoilreach_emulator._internal.demo.errors import StepFailed, expect
from trefoilreach_emulator._internal.demo.http import call, chat_body
from trefoilreach_emulator._internal.demo.plan import MODEL, OVERNIGHT
from trefoilreach_emulator._internal.demo.steps import Sample, step
from trefoilreach_emulator._internal.engine import IMPOSSIBLE_MARK

_ITEMS = 200
_IMPOSSIBLE_ITEM = 77
_CANCELLED_ITEMS = 2000
_CANCEL_SECONDS = 30.0
_QUIET_SECONDS = 1.5
_POLL_SECONDS = 0.2


@step(40, f"Batch of {_ITEMS} items, one of which can never be done")
def run_batch(sample: Sample) -> str:
    """Run a batch job to its end and read its results."""
    path = sample.folder / "batch.jsonl"
    _write_items(path, _ITEMS, 4)
    ctl = Ctl(sample.fleet.urls, sample.keys[OVERNIGHT.name])
    batch = ctl.run("batch", "submit", str(path), "--wait")
    counts = batch["request_counts"]
    wanted = {"total": _ITEMS, "completed": _ITEMS - 1, "failed": 1}
    expect(counts == wanted, f"counts are {counts}")
    done = [line["custom_id"] for line in _read_file(sample, batch["output_file_id"])]
    failed = [line["custom_id"] for line in _read_file(sample, batch["error_file_id"])]
    expect(failed == [f"item-{_IMPOSSIBLE_ITEM}"], f"the error file names {failed}")
    expect(len(done) == len(set(done)) == _ITEMS - 1, f"{len(done)} results")
    expect(not set(failed) & set(done), "an item is in both files")
    return f"{counts['completed']} completed once each, {counts['failed']} failed"


@step(50, "Cancelled batch")
def run_cancelled_batch(sample: Sample) -> str:
    """Cancel a batch job while it runs, and see it stop."""
    path = sample.folder / "cancelled.jsonl"
    _write_items(path, _CANCELLED_ITEMS, 64)
    ctl = Ctl(sample.fleet.urls, sample.keys[OVERNIGHT.name])
    batch = ctl.run("batch", "submit", str(path))
    time.sleep(1.0)
    ctl.run("batch", "cancel", batch["id"])
    stopped = _wait_until_cancelled(sample, batch["id"])
    time.sleep(_QUIET_SECONDS)
    later = _read_batch(sample, batch["id"])
    before, after = stopped["request_counts"], later["request_counts"]
    expect(before == after, f"items went on after the cancellation: {before}, then {after}")
    expect(after["completed"] < _CANCELLED_ITEMS, "the job was finished, not cancelled")
    return f"stopped after {after['completed']} of {_CANCELLED_ITEMS} items"


def _wait_until_cancelled(sample: Sample, batch_id: str) -> dict[str, Any]:
    end = time.monotonic() + _CANCEL_SECONDS
    while time.monotonic() < end:
        batch = _read_batch(sample, batch_id)
        if batch["status"] == "cancelled":
            return batch
        time.sleep(_POLL_SECONDS)
    raise StepFailed(f"status {batch['status']} after {_CANCEL_SECONDS:g} s")


def _read_batch(sample: Sample, batch_id: str) -> dict[str, Any]:
    key = sample.keys[OVERNIGHT.name]
    answer = call(sample.fleet.urls[0], "GET", f"/v1/batches/{batch_id}", key)
    expect(answer.status == 200, f"status {answer.status}: {answer.data!r}")
    found: dict[str, Any] = answer.json
    return found


def _read_file(sample: Sample, file_id: str) -> list[dict[str, Any]]:
    key = sample.keys[OVERNIGHT.name]
    answer = call(sample.fleet.urls[1], "GET", f"/v1/files/{file_id}/content", key)
    expect(answer.status == 200, f"status {answer.status}: {answer.data!r}")
    return [orjson.loads(line) for line in answer.data.splitlines() if line]


def _write_items(path: Path, count: int, tokens: int) -> None:
    lines = []
    for number in range(count):
        text = IMPOSSIBLE_MARK if number == _IMPOSSIBLE_ITEM else f"Sum up document {number}."
        item = {
            "custom_id": f"item-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": chat_body(MODEL, text, max_tokens=tokens),
        }
        lines.append(orjson.dumps(item) + b"\n")
    path.write_bytes(b"".join(lines))
