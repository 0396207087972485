"""Entry point of the emulators and tools."""

import sys

from trefoilreach_emulator._internal.main import run


def main() -> int:
    """Run the command line."""
    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
