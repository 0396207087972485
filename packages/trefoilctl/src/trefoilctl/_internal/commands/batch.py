"""Commands ``batch``: status, list, cancellation and results of batch jobs."""

import sys
from pathlib import Path
from urllib.parse import quote

from cleo.helpers import argument, option

from trefoilctl._internal.batches import describe_batch, flatten_batch
from trefoilctl._internal.client import Client
from trefoilctl._internal.command import ApiCommand, api_options, register
from trefoilctl._internal.errors import CtlError

_PATH = "/v1/batches"
_COLUMNS = ("id", "status", "total", "completed", "failed")


@register
class BatchStatusCommand(ApiCommand):
    """Shows one job."""

    name = "batch status"
    description = "Show the state and the counts of a batch job."
    arguments = [argument("id", "Id of the job.")]  # noqa: RUF012
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Print the job."""
        batch = client.call("GET", f"{_PATH}/{quote(self.argument('id'), safe='')}").json
        self.print_result(batch, describe_batch(batch))


@register
class BatchListCommand(ApiCommand):
    """Lists the jobs of the client account."""

    name = "batch list"
    description = "List the batch jobs of the client account."
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Print the list."""
        listed = client.call("GET", _PATH).json
        self.print_rows(listed, [flatten_batch(batch) for batch in listed["data"]], _COLUMNS)


@register
class BatchCancelCommand(ApiCommand):
    """Cancels a job."""

    name = "batch cancel"
    description = "Cancel a batch job; finished items stay readable."
    arguments = [argument("id", "Id of the job.")]  # noqa: RUF012
    options = api_options()

    def run_command(self, client: Client) -> None:
        """Send the cancellation."""
        path = f"{_PATH}/{quote(self.argument('id'), safe='')}/cancel"
        batch = client.call("POST", path).json
        self.print_result(batch, describe_batch(batch))


@register
class BatchResultCommand(ApiCommand):
    """Fetches the results of a job."""

    name = "batch result"
    description = "Fetch the results of a batch job as JSON lines."
    arguments = [argument("id", "Id of the job.")]  # noqa: RUF012
    options = api_options(
        option("errors", None, "Fetch the error file instead."),
        option("output", "o", "File to write; standard output by default.", flag=False),
    )

    def run_command(self, client: Client) -> None:
        """Write the result file."""
        batch = client.call("GET", f"{_PATH}/{quote(self.argument('id'), safe='')}").json
        field = "error_file_id" if self.option("errors") else "output_file_id"
        if not batch.get(field):
            raise CtlError(f"batch {batch['id']} ({batch['status']}) has no {field} yet")
        data = client.call("GET", f"/v1/files/{batch[field]}/content").data
        self._write(data)

    def _write(self, data: bytes) -> None:
        path = self.option("output")
        if path is None:
            sys.stdout.buffer.write(data)
            return
        try:
            Path(path).write_bytes(data)
        except OSError as error:
            raise CtlError(f"{path}: cannot be written: {error}") from error
