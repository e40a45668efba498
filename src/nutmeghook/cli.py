"""The `nutmeghook` command.

Modules of `experiment` are imported only by the commands that need them: a
serving instance has 128 MB, too little for stand-ins and checks without use.
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

    Start an instance with `serve`, administer it with `admin`, and see what
    happened on all instances with `timeline`, or from their log files with
    `endings`, `teams`, `story`, `slow_replicas` and `replica_speeds`. For the
    help of a command, see `nutmeghook COMMAND --help`.
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
            **flags: One flag per setting.
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
            **flags: One flag per setting.
        """
        settings = _load_settings(flags)
        print("\n".join(settings.printable_lines()))
        print("all settings are good")

    @decorators.SetParseFn(str)
    def check_platform_settings(self, file: str = "") -> None:
        """Checks the settings file of the users' platform.

        Prints every fault with what is expected, or else the settings that the
        router would use. Unknown fields are ignored.

        Args:
            file: The file; by default, the one that NUTMEGHOOK_NODE_FILE names.
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
        """Prints the events of all instances, in order of time.

        Clock offsets are estimated from the round trip to each instance. An
        instance keeps only its newest events; dropped ones are shown as a gap.

        Args:
            about: Only events about this request, operation or version.
            html: Also draw the timeline, as a page in this file.
            url: Any instance or the load balancer; by default,
                NUTMEGHOOK_ADMIN_URL.
            token: An administrator's token; by default, NUTMEGHOOK_TOKEN.
        """
        timeline.run(about=about, html=html, url=url, token=token)

    @decorators.SetParseFn(str)
    def story(self, request: str, *log_files: str) -> None:
        """Prints a request's history, from the log lines of all instances.

        Lines about an instance's own state at that time are marked by a bar.
        Log lines may have a time and the instance's name as a prefix.

        Args:
            request: The request's id.
            log_files: Log files or folders of them, one instance a file.
        """
        log_reports.print_story(request=request, logs=log_files)

    @decorators.SetParseFn(str)
    def endings(self, *log_files: str) -> None:
        """Prints how requests ended, by route, code and reason.

        Answers that were cut come first. Each row names one request, which
        `story` can show.

        Args:
            log_files: Log files or folders of them, one instance a file.
        """
        log_reports.print_endings(logs=log_files)

    @decorators.SetParseFn(str)
    def slow_replicas(self, *log_files: str) -> None:
        """Prints which replicas were slow, from when to when, and how much.

        Each is compared with the others of its service and model at the same
        time. Also names requests that waited there, which `story` can show,
        and instances on which all replicas seemed slow.

        Args:
            log_files: Log files or folders of them, one instance a file.
        """
        log_reports.print_slow_replicas(logs=log_files)

    @decorators.SetParseFn(str)
    def teams(self, *log_files: str) -> None:
        """Prints for each team what it asked for and what became of it.

        Durations are those of answered requests. The largest share is that of
        all requests in one second: far above the share over all logs, the team
        sent more than its usual load.

        Args:
            log_files: Log files or folders of them, one instance a file.
        """
        log_reports.print_teams(logs=log_files)

    @decorators.SetParseFn(str)
    def replica_speeds(self, *log_files: str) -> None:
        """Prints replicas by believed speed, beside the measured one.

        Believed is the last slowness that an instance logged; 1 is an average
        replica. Measured is the median of the time until an answer began over
        the time that was expected there.

        Args:
            log_files: Log files or folders of them, one instance a file.
        """
        log_reports.print_replica_speeds(logs=log_files)

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
            addresses: Instances or a load balancer, ip:port, comma-separated.
            token: A caller's token; by default, NUTMEGHOOK_TOKEN.
            rate_per_s: Requests started per second.
            duration_s: How long requests are started.
            streamed: Request streamed answers.
            prompt_words: Words in a prompt.
            max_tokens: The most tokens of an answer.
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
        """Runs the whole system on stand-ins, with faults, and checks it.

        Prints one JSON line at the end; the exit status is 1 if a check
        failed.

        Args:
            folder: Where logs, the history and the timeline are written.
            works: The number of pieces of work that callers request.
            seed: The random seed of the work.
        """
        demo = importlib.import_module("nutmeghook.experiment.demo")
        demo.main(folder=folder, works=works, seed=seed)

    def platform_demo(self, seed: int = 1) -> None:
        """Runs routers on a stand-in of the users' platform, with faults.

        Prints one JSON line at the end; the exit status is 1 if a check
        failed.

        Args:
            seed: The random seed of the load and the replicas' faults.
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
        """Runs router processes under faults drawn at random from a seed.

        Prints one JSON line at the end; the exit status is 1 if a check
        failed.

        Args:
            seed: The random seed of the faults and of the load.
            seconds: How long faults are started.
            routers: The number of router processes.
            rate_per_s: New calls of callers.
            repeats: How often a failed call is sent again, at once.
            keep: A folder for the routers' logs; empty to drop them.
        """
        soak = importlib.import_module("nutmeghook.experiment.soak")
        sys.exit(
            soak.main(seed=seed, seconds=seconds, routers=routers, keep=keep)
        )

    def fleet_restart(
        self,
        routers: int = 88,
        cores: int = 0,
        ended_peers: int = 0,
        is_restored: bool = False,
        store_away_s: float = 0.0,
        store_fault: str = "refusing",
        is_store_older: bool = False,
        are_replicas_lost: bool = False,
        second_loss_s: float = 0.0,
        rate_per_s: float = 40.0,
        repeats: int = 0,
        keep: str = "",
    ) -> None:
        """Loses all router processes at once and starts them together.

        Prints one JSON line at the end; the exit status is 1 if the fleet was
        not back in time.

        Args:
            routers: The number of router processes; each takes some 50 MB.
            cores: How many cores the routers share; 0 for all.
            ended_peers: Rows of instances that are gone for good.
            is_restored: The store was restored from an older copy before.
            store_away_s: The store is away until so long after the start.
            store_fault: How calls end meanwhile: refusing, busy or silent.
            is_store_older: The store is back from an older copy.
            are_replicas_lost: All replicas crash too, and get new ids.
            second_loss_s: All routers are lost again so long after the start.
            rate_per_s: New calls of callers.
            repeats: How often a failed call is sent again, at once.
            keep: A folder for the routers' logs; empty to drop them.
        """
        restart = importlib.import_module("nutmeghook.experiment.fleet_restart")
        load = importlib.import_module("nutmeghook.experiment.restart_load")
        store = importlib.import_module("nutmeghook.standins.users_store")
        sys.exit(
            restart.main(
                routers=routers,
                cores=cores,
                ended_peers=ended_peers,
                is_restored=is_restored,
                loss=restart.Loss(
                    store_away_s=store_away_s,
                    store_fault=store.StoreFault(store_fault),
                    is_store_older=is_store_older,
                    are_replicas_lost=are_replicas_lost,
                    second_loss_s=second_loss_s,
                ),
                load=load.Load(rate_per_s=rate_per_s, repeats=repeats),
                keep=keep,
            )
        )


def _split(addresses: object) -> list[str]:
    """Splits a comma-separated list, which fire may have parsed already."""
    if isinstance(addresses, tuple):
        return [str(address) for address in addresses]
    return [part for part in str(addresses).split(",") if part]


def _load_settings(flags: dict[str, str]) -> loading.Settings:
    """Loads settings; prints all faults, if any, and ends the process."""
    given = {name: text for name, text in flags.items() if text is not None}
    try:
        return loading.load(flags=given, environment=os.environ)
    except* loading.SettingError as faults:
        for fault in faults.exceptions:
            print(f"wrong setting: {fault}", file=sys.stderr)
    sys.exit(EXIT_WRONG_SETTINGS)


def main() -> None:
    """Runs the command line."""
    # Without it, fire starts a pager process for long help.
    os.environ.setdefault("PAGER", "-")
    fire.Fire(Commands(), name="nutmeghook")
