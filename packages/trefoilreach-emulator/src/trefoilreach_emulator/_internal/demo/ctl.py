"""Runs ``trefoilctl`` as an operator or a caller would."""

import os
import subprocess
import sys
from typing import Any

import orjson

from trefoilreach_emulator._internal.demo.errors import StepFailed

_TIMEOUT_SECONDS = 120.0


class Ctl:
    """The command line with one key; prints each command that it runs."""

    def __init__(self, urls: list[str], key: str) -> None:
        self._environment = {
            **os.environ,
            "TREFOILREACH_URL": ",".join(urls),
            "TREFOILREACH_KEY": key,
        }

    def run(self, *arguments: str) -> Any:
        """Return the decoded JSON of a command.

        :raises StepFailed: when the command fails.
        """
        print(f"  $ trefoilctl {' '.join(arguments)}", flush=True)
        command = [sys.executable, "-m", "trefoilctl", *arguments, "--json"]
        try:
            done = subprocess.run(
                command,
                env=self._environment,
                capture_output=True,
                stdin=subprocess.DEVNULL,
                timeout=_TIMEOUT_SECONDS,
            )
        except subprocess.TimeoutExpired as error:
            raise StepFailed(f"trefoilctl took over {_TIMEOUT_SECONDS:g} s") from error
        if done.returncode != 0:
            raise StepFailed(done.stderr.decode(errors="replace").strip())
        return orjson.loads(done.stdout)
