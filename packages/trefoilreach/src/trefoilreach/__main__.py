"""Entry point of the daemon."""

import signal
import sys


def main() -> int:
    """Run the daemon's command line."""
    if sys.argv[1:2] == ["serve"]:
        # Until the daemon handles it, a request to reload would end the process. Nothing is lost
        # while it is ignored, since the settings are read later.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported here, as it takes most of the time of a start.
    from trefoilreach._internal.main import run

    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
