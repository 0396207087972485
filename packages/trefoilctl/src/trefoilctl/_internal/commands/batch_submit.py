"""Command ``batch submit``: uploads an input file, creates the job, optionally waits for it."""

import secrets
import time
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from trefoilctl._internal.batches import (
    FINISHED_STATUSES,
    describe_batch,
    encode_upload,
    flatten_batch,
)
from trefoilctl._internal.client import Client
from trefoilctl._internal.command import ApiCommand, api_options, register
from trefoilctl._internal.errors import CtlError

_POLL_SECONDS = 0.5


@register
class BatchSubmitCommand(ApiCommand):
    """Submits a batch job."""

    name = "batch submit"
    description = "Submit a batch job from a file of JSON lines."
    arguments = [argument("file", "Input file, one request a line.")]  # noqa: RUF012
    options = api_options(
        option(
            "endpoint", None, "Path of the requests.", flag=False, default="/v1/chat/completions"
        ),
        option("window", None, "Time to finish.", flag=False, default="24h"),
        option("idempotency-key", None, "Makes a resend the same job.", flag=False),
        option("wait", "w", "Wait until the job is finished."),
    )

    def run_command(self, client: Client) -> None:
        """Upload the file, create the job and, with ``--wait``, poll it until it is finished."""
        batch = self._create(client)
        if self.option("wait"):
            batch = self._wait(client, batch)
        self.print_result(batch, describe_batch(batch))
        if self.option("wait") and batch["status"] != "completed":
            raise CtlError(f"batch {batch['id']} ended as {batch['status']}")

    def _create(self, client: Client) -> dict[str, Any]:
        path = Path(self.argument("file"))
        try:
            data = path.read_bytes()
        except OSError as error:
            raise CtlError(f"{path}: cannot be read: {error}") from error
        idempotency_key = self.option("idempotency-key") or secrets.token_hex(16)
        content_type, form = encode_upload(path.name, data)
        # A resend must name the same file, or it would be a different request under the same
        # idempotency key. So the upload has a key of its own, derived from that of the job.
        headers = {"Content-Type": content_type, "Idempotency-Key": f"{idempotency_key}-file"}
        uploaded = client.call("POST", "/v1/files", form, headers).json
        body = {
            "input_file_id": uploaded["id"],
            "endpoint": self.option("endpoint"),
            "completion_window": self.option("window"),
        }
        created: dict[str, Any] = client.call(
            "POST", "/v1/batches", body, {"Idempotency-Key": idempotency_key}
        ).json
        return created

    def _wait(self, client: Client, batch: dict[str, Any]) -> dict[str, Any]:
        # The progress bar is written to standard error, so that the output of --json is valid JSON.
        bar = self.progress_bar()
        bar_visible = self.io.error_output.is_decorated()
        while batch["status"] not in FINISHED_STATUSES:
            if bar_visible:
                _show_progress(bar, batch)
            time.sleep(_POLL_SECONDS)
            batch = client.call("GET", f"/v1/batches/{batch['id']}").json
        if bar_visible:
            _show_progress(bar, batch)
            bar.finish()
            self.line_error("")
        return batch


def _show_progress(bar: Any, batch: dict[str, Any]) -> None:
    flat = flatten_batch(batch)
    total = flat.get("total", 0)
    if total and bar.get_max_steps() != total:
        bar.start(total)
    bar.set_progress(flat.get("completed", 0) + flat.get("failed", 0))
