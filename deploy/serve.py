"""Starts a router on the users' platform from a source checkout."""

import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from nutmeghook.internal.foundation import cheap_imports

with cheap_imports.cheap_imports():
    from nutmeghook.internal.assembly import router_process
    from nutmeghook.internal.foundation import event_loop
    from nutmeghook.platform import settings

EXIT_WRONG_SETTINGS = 2


def main() -> int:
    """Serves until SIGTERM, or prints all invalid settings."""
    try:
        return event_loop.run(
            router_process.serve(lambda: settings.load_file(os.environ))
        )
    except* settings.SettingError as faults:
        for fault in faults.exceptions:
            print(f"wrong setting: {fault}", file=sys.stderr)
    return EXIT_WRONG_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
