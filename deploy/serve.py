"""Starts a router on the users' platform from a checkout."""

import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from nutmeghook.internal.foundation import event_loop
from nutmeghook.platform import router
from nutmeghook.platform import settings


def main() -> int:
    """Serves until SIGTERM; prints every fault of the settings first."""
    try:
        loaded = settings.load_file(os.environ)
    except* settings.SettingError as faults:
        for fault in faults.exceptions:
            print(f"wrong setting: {fault}", file=sys.stderr)
        sys.exit(2)
    return event_loop.run(router.serve(loaded))


if __name__ == "__main__":
    sys.exit(main())
