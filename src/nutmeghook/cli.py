"""The `nutmeghook` command.

The experiment's modules are loaded by the commands that need them: a serving
instance has 128 MB, and would hold stand-ins and checks that it never uses.
"""

import importlib
import os
import sys

import fire
from fire import decorators

import nutmeghook
from nutmeghook.internal.administration import commands as admin_commands
from nutmeghook.internal.assembly import serving
from nutmeghook.internal.commands import log_reports
from nutmeghook.internal.commands import timeline
from nutmeghook.internal.foundation import event_loop
from nutmeghook.internal.observe import logs
from nutmeghook.internal.settings import flags as setting_flags
from nutmeghook.internal.settings import loading
from nutmeghook.platform import settings as platform_settings

EXIT_WRONG_SETTINGS = 2


class Commands:
    """A model-aware router for versions and cascades.

    Start an instance with `serve`, administer it with `admin`, and read what
    happened over all instances with `timeline`, or from their log files with
    `endings`, `story` and `slow_replicas`. Every command explains itself:
    `nutmeghook COMMAND --help`.
    """

    # fire shows a class as a group of commands, with its own help.
    admin = admin_commands.AdministrationCommands

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
        settings = _load_settings(flags)
        if print_settings.lower() in ("true", "1"):
            print("\n".join(settings.printable_lines()))
            return
        logs.start()
        sys.exit(event_loop.run(serving.serve(settings)))

    @setting_flags.with_setting_flags
    def check_settings(self, **flags: str) -> None:
        """Checks all settings and prints every fault, without starting.

        Args:
            **flags: One flag a setting.
        """
        settings = _load_settings(flags)
        print("\n".join(settings.printable_lines()))
        print("all settings are good")

    @decorators.SetParseFn(str)
    def check_platform_settings(self, file: str = "") -> None:
        """Checks the settings file of the users' platform.

        Prints every fault at once, with what is wanted; else what the router
        would use. Fields that it doesn't know are ignored.

        Args:
            file: The file; else the one that NUTMEGHOOK_NODE_FILE names.
        """
        environment = dict(os.environ)
        if file:
            environment[platform_settings.FILE_VARIABLE] = file
        try:
            settings = platform_settings.load_file(environment)
        except* platform_settings.SettingError as faults:
            for fault in faults.exceptions:
                print(f"wrong setting: {fault}", file=sys.stderr)
            sys.exit(EXIT_WRONG_SETTINGS)
        print("\n".join(platform_settings.printable_lines(settings)))
        print("all settings are good")

    @decorators.SetParseFn(str)
    def timeline(
        self, about: str = "", html: str = "", url: str = "", token: str = ""
    ) -> None:
        """Prints what happened on all instances, in order of time.

        Clocks are corrected by the time that asking each instance took. An
        instance keeps its newest events only; what fell out shows as a gap.

        Args:
            about: Only what concerns this request, operation or version.
            html: Also draw it, into this file.
            url: Any instance or the balancer; else NUTMEGHOOK_ADMIN_URL.
            token: An administrator's token; else NUTMEGHOOK_TOKEN.
        """
        timeline.run(about=about, html=html, url=url, token=token)

    @decorators.SetParseFn(str)
    def story(self, request: str, *log_files: str) -> None:
        """Prints a request's whole way, from the log lines of all instances.

        What each instance believed meanwhile stands beside what it did,
        behind a bar. Lines may have a time and the instance's name in front.

        Args:
            request: The request's id.
            log_files: Log files or folders of them, one instance a file.
        """
        log_reports.print_story(request=request, logs=log_files)

    @decorators.SetParseFn(str)
    def endings(self, *log_files: str) -> None:
        """Prints what became of requests, by route, code and reason.

        Answers that were cut come first. Each row names one request, whose
        way `story` tells.

        Args:
            log_files: Log files or folders of them, one instance a file.
        """
        log_reports.print_endings(logs=log_files)

    @decorators.SetParseFn(str)
    def slow_replicas(self, *log_files: str) -> None:
        """Prints which replicas were slow, from when to when, and how much.

        Each is compared with the others of its service and model at the same
        time. Names the requests that waited there, whose way `story` tells,
        and instances that saw all replicas slow.

        Args:
            log_files: Log files or folders of them, one instance a file.
        """
        log_reports.print_slow_replicas(logs=log_files)

    def load(
        self,
        template: str,
        addresses: str = "127.0.0.1:8080",
        token: str = "",
        rate_per_s: float = 10.0,
        duration_s: float = 10.0,
        streamed: bool = True,
        prompt_words: int = 40,
        max_tokens: int = 64,
    ) -> None:
        """Sends steady load and prints what its callers saw, as JSON.

        Ends with status 1 if a request was not answered.

        Args:
            template: The template that requests name as their model.
            addresses: Instances or a balancer, ip:port, with commas.
            token: A caller's token; else NUTMEGHOOK_TOKEN.
            rate_per_s: Requests started a second.
            duration_s: For how long.
            streamed: Ask for streams.
            prompt_words: Size of the prompts.
            max_tokens: Largest answer.
        """
        load = importlib.import_module("nutmeghook.experiment.load")
        load.main(
            load.LoadSettings(
                addresses=_split(addresses),
                token=token,
                template=template,
                rate_per_s=rate_per_s,
                duration_s=duration_s,
                streamed=streamed,
                prompt_words=prompt_words,
                max_tokens=max_tokens,
            )
        )

    def demo(
        self, folder: str = "out/demo", works: int = 2200, seed: int = 1
    ) -> None:
        """Runs the whole system on stand-ins, with faults, and judges it.

        Ends with one JSON line, and with status 1 if something that must
        hold did not.

        Args:
            folder: Where logs, the history and the time line go.
            works: How many pieces of work callers ask for.
            seed: Of the work drawn.
        """
        demo = importlib.import_module("nutmeghook.experiment.demo")
        demo.main(folder=folder, works=works, seed=seed)

    def platform_demo(self, seed: int = 1) -> None:
        """Runs routers on a stand-in of the users' platform, with faults.

        Ends with one JSON line, and with status 1 if something that must
        hold did not.

        Args:
            seed: Of the load and the replicas' faults.
        """
        trial = importlib.import_module("nutmeghook.experiment.platform_trial")
        sys.exit(trial.main(seed=seed))

    def soak(
        self,
        seed: int = 1,
        seconds: float = 12.0,
        routers: int = 4,
        keep: str = "",
    ) -> None:
        """Plays troubles drawn from a seed against routers as processes.

        Ends with one JSON line, and with status 1 if something that must
        hold did not.

        Args:
            seed: Of the troubles and of the load.
            seconds: For how long troubles begin.
            routers: Processes.
            keep: A folder for the routers' logs; empty to drop them.
        """
        soak = importlib.import_module("nutmeghook.experiment.soak")
        sys.exit(
            soak.main(seed=seed, seconds=seconds, routers=routers, keep=keep)
        )


def _split(addresses: object) -> list[str]:
    """Reads a list with commas, which fire may have made a tuple."""
    if isinstance(addresses, tuple):
        return [str(address) for address in addresses]
    return [part for part in str(addresses).split(",") if part]


def _load_settings(flags: dict[str, str]) -> loading.Settings:
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
    # fire shows long help in a pager, which it starts as a process.
    os.environ.setdefault("PAGER", "-")
    fire.Fire(Commands(), name="nutmeghook")
