"""Run the test suite; failures listed in KNOWN-RED.txt are printed but do not fail the run."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Test processes; each functional test starts a fleet of some ten processes of its own.
WORKERS = 4


def read_known_red() -> set[str]:
    """Return the test ids listed on the ``test:`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test:\s*(\S+)", KNOWN_RED.read_text(), re.MULTILINE))


def main() -> int:
    """Run pytest and compare its failures with the known ones."""
    known = read_known_red()
    command = [sys.executable, "-m", "pytest", "-rfE", f"-n{WORKERS}", "--dist=loadgroup"]
    command += sys.argv[1:]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    print(done.stdout, end="")
    print(done.stderr, end="", file=sys.stderr)
    if done.returncode == 0:
        return 0
    failed = set(re.findall(r"^(?:FAILED|ERROR) (\S+)", done.stdout, re.MULTILINE))
    unexpected = failed - known
    if done.returncode != 1 or not failed or unexpected:
        return done.returncode
    for test in sorted(failed):
        print(f"known failure, see KNOWN-RED.txt: {test}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
