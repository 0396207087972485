"""Run the property and stateful tests with several hypothesis seeds."""

import argparse
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds to run")
    parser.add_argument("--first-seed", type=int, default=1000, help="first seed")
    parser.add_argument("tests", nargs="*", default=["tests/unit"], help="tests to run")
    return parser.parse_args()


def main() -> int:
    """Run every seed and report those that fail."""
    arguments = parse_arguments()
    failed = []
    for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
        command = [sys.executable, "-m", "pytest", f"--hypothesis-seed={seed}", "-k", "fuzz"]
        environment = {**os.environ, "TREFOILREACH_FUZZ": "1"}
        done = subprocess.run([*command, *arguments.tests], cwd=ROOT, env=environment)
        if done.returncode not in (0, 5):
            failed.append(seed)
    print(f"{arguments.seeds - len(failed)} passed, {len(failed)} failed")
    for seed in failed:
        print(f"failed seed: {seed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
