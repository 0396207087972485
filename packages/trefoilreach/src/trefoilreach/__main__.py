"""Entry point of the daemon."""

import sys

from trefoilreach._internal.main import run


def main() -> int:
    """Run the daemon's command line."""
    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
