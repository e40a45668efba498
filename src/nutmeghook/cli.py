"""The `nutmeghook` command."""

import os
import sys

import fire
import uvloop

import nutmeghook
from nutmeghook.internal.assembly import serving
from nutmeghook.internal.observe import logs
from nutmeghook.internal.settings import flags as setting_flags
from nutmeghook.internal.settings import loading

EXIT_WRONG_SETTINGS = 2


class Commands:
    """A model-aware router for versions and cascades.

    Start an instance with `serve`, administer it with `admin`, and read what
    happened over all instances with `timeline`. Every command explains
    itself: `nutmeghook COMMAND --help`.
    """

    def version(self) -> str:
        """Prints the version."""
        return nutmeghook.__version__

    @setting_flags.with_setting_flags
    def serve(self, print_settings: str = "false", **flags: str) -> None:
        """Runs one entry instance until SIGTERM, then drains it.

        Prints one JSON line with its addresses once it is ready.

        Args:
            print_settings: Print the settings in force, secrets masked.
            **flags: One flag a setting.
        """
        settings = _checked(flags)
        if print_settings.lower() in ("true", "1"):
            print("\n".join(settings.printable_lines()))
            return
        logs.start()
        sys.exit(uvloop.run(serving.serve(settings)))

    @setting_flags.with_setting_flags
    def check_settings(self, **flags: str) -> None:
        """Checks all settings and prints every fault, without starting.

        Args:
            **flags: One flag a setting.
        """
        settings = _checked(flags)
        print("\n".join(settings.printable_lines()))
        print("all settings are good")


def _checked(flags: dict[str, str]) -> loading.Settings:
    """Loads settings; on faults prints them all and ends the process."""
    given = {name: text for name, text in flags.items() if text is not None}
    try:
        return loading.load(flags=given, environment=os.environ)
    except* loading.SettingError as faults:
        for fault in faults.exceptions:
            print(f"wrong setting: {fault}", file=sys.stderr)
    sys.exit(EXIT_WRONG_SETTINGS)


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="nutmeghook")
