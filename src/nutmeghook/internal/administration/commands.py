"""The `nutmeghook admin` commands."""

import secrets

from nutmeghook.internal.administration import arguments
from nutmeghook.internal.administration import command_runner
from nutmeghook.internal.administration import read_only_commands
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import schema as schema_module
from nutmeghook.internal.config import tokens

_TOKEN_BYTES = 32


async def _ready_edit(edit: edits.Edit) -> edits.Edit:
    """Returns an edit that needs no document from the API."""
    return edit


class AdministrationCommands(read_only_commands.ReadOnlyCommands):
    """Reads and changes the configuration.

    Reading: status, list, show, history, change, outcome, bills, draft, schema.
    Changing: set, put, load, withdraw, roll_out, advance, roll_back,
    remove_template, put_token, remove_token. Each explains itself:
    `nutmeghook admin COMMAND --help`.

    Documents are named `fleet`, `team/TEAM` and `template/TEAM/NAME`;
    templates also `TEAM/NAME`. Versions are written `MODEL@VERSION`. Every
    change needs a --reason. Exit codes: 0 done, 1 not done, 2 wrong
    arguments, 3 not known (ask with `outcome`).
    """

    __slots__ = ()

    @command_runner.command
    def put(self, file: str, reason: str, operation_id: str = "") -> None:
        """Replaces the document in a file that `show` printed.

        Args:
            file: The file, edited; `-` for standard input. It holds the
                revision that was read: if another change came first, this one
                is refused and the other is shown.
            reason: Why.
            operation_id: To repeat an earlier try; else a new one.
        """
        self._change(
            lambda c: _ready_edit(arguments.edit_in_file(file)),
            reason,
            operation_id,
        )

    @command_runner.command
    def load(self, file: str, reason: str, operation_id: str = "") -> None:
        """Replaces all documents named in a configuration file, at once.

        Args:
            file: See docs/configuration-format.md; `-` for standard input.
            reason: Why.
            operation_id: To repeat an earlier try; else a new one.
        """

        async def edit(client: command_runner.Client) -> edits.Edit:
            listed = await client.list_documents()
            found = arguments.read_file(file, schema_module.ConfigurationFile)
            return edits.ImportDocuments(
                expected_revision=listed.configuration_revision,
                fleet=found.fleet,
                teams=found.teams,
                templates=found.templates,
            )

        self._change(edit, reason, operation_id)

    @command_runner.command
    def set(
        self, template: str, reason: str, operation_id: str = "", **parameters
    ) -> None:
        """Sets parameters of a template, each by a flag of its name.

        For example --quality_target=0.9, or --roll_out='{"unrated_cap": 20}',
        which leaves the other parameters of the roll-out as they are.

        Args:
            template: TEAM/NAME.
            reason: Why.
            operation_id: To repeat an earlier try; else a new one.
            **parameters: See docs/configuration-format.md.
        """

        async def edit(client: command_runner.Client) -> edits.Edit:
            read = await client.document(arguments.document(template))
            return edits.PutTemplate(
                template=arguments.with_parameters(read.template, parameters),
                expected_revision=read.revision,
            )

        self._change(edit, reason, operation_id)

    @command_runner.command
    def withdraw(
        self,
        version: str,
        reason: str,
        template: str = "",
        allow_unusable: str = "false",
        operation_id: str = "",
    ) -> None:
        """Stops new work on a version, for the fleet or in one template.

        Args:
            version: MODEL@VERSION.
            reason: Why.
            template: TEAM/NAME; else the whole fleet (administrators).
            allow_unusable: Also where no serving version is left; requests
                that need the stage are refused then.
            operation_id: To repeat an earlier try; else a new one.
        """
        team, name = arguments.team_and_name(template) if template else ("", "")
        edit = edits.WithdrawVersion(
            model_version=arguments.model_version(version),
            team=team,
            template=name,
            allow_unusable=arguments.is_true(allow_unusable),
        )
        self._change(lambda c: _ready_edit(edit), reason, operation_id)

    @command_runner.command
    def roll_out(
        self, template: str, version: str, reason: str, operation_id: str = ""
    ) -> None:
        """Starts a roll-out at the template's first step.

        Args:
            template: TEAM/NAME.
            version: MODEL@VERSION.
            reason: Why.
            operation_id: To repeat an earlier try; else a new one.
        """
        team, name = arguments.team_and_name(template)
        edit = edits.RollOutVersion(
            team=team,
            template=name,
            model_version=arguments.model_version(version),
        )
        self._change(lambda c: _ready_edit(edit), reason, operation_id)

    @command_runner.command
    def advance(
        self,
        template: str,
        version: str,
        reason: str,
        share_percent: str = "",
        operation_id: str = "",
    ) -> None:
        """Moves a roll-out to its next step, or to a share.

        Args:
            template: TEAM/NAME.
            version: MODEL@VERSION.
            reason: Why.
            share_percent: 100 ends the roll-out; else the next step.
            operation_id: To repeat an earlier try; else a new one.
        """
        team, name = arguments.team_and_name(template)
        model_version = arguments.model_version(version)

        async def edit(client: command_runner.Client) -> edits.Edit:
            if share_percent:
                share = arguments.share_percent(share_percent)
            else:
                read = await client.document(arguments.document(template))
                share = arguments.next_share_percent(
                    read.template, model_version
                )
            return edits.SetRollOutShare(
                team=team,
                template=name,
                model_version=model_version,
                share_percent=share,
            )

        self._change(edit, reason, operation_id)

    @command_runner.command
    def roll_back(
        self, template: str, version: str, reason: str, operation_id: str = ""
    ) -> None:
        """Ends a roll-out: the version is withdrawn in this template.

        Args:
            template: TEAM/NAME.
            version: MODEL@VERSION.
            reason: Why.
            operation_id: To repeat an earlier try; else a new one.
        """
        team, name = arguments.team_and_name(template)
        edit = edits.RollBackVersion(
            team=team,
            template=name,
            model_version=arguments.model_version(version),
        )
        self._change(lambda c: _ready_edit(edit), reason, operation_id)

    @command_runner.command
    def remove_template(
        self, template: str, reason: str, operation_id: str = ""
    ) -> None:
        """Removes a template.

        Args:
            template: TEAM/NAME.
            reason: Why.
            operation_id: To repeat an earlier try; else a new one.
        """
        team, name = arguments.team_and_name(template)

        async def edit(client: command_runner.Client) -> edits.Edit:
            read = await client.document(arguments.document(template))
            return edits.RemoveTemplate(
                team=team, name=name, expected_revision=read.revision
            )

        self._change(edit, reason, operation_id)

    @command_runner.command
    def put_token(self, team: str, name: str, role: str, reason: str) -> None:
        """Mints a token, prints its text once, and adds or replaces it.

        Only its hash leaves this machine. To rotate without a gap, add one
        under a new name, hand it out, then remove the old one.

        Args:
            team: The team it acts for.
            name: Shown as the author of changes.
            role: caller, viewer, operator or administrator.
            reason: Why.
        """
        text = secrets.token_urlsafe(_TOKEN_BYTES)
        print(f"token (not shown again): {text}")
        entry = documents.TokenEntry(
            name=name, role=arguments.role(role), sha256=tokens.digest(text)
        )
        edit = edits.PutToken(team=team, token=entry)
        self._change(lambda c: _ready_edit(edit), reason, "")

    @command_runner.command
    def remove_token(
        self, team: str, name: str, reason: str, operation_id: str = ""
    ) -> None:
        """Removes a token.

        Args:
            team: Its team.
            name: Its name.
            reason: Why.
            operation_id: To repeat an earlier try; else a new one.
        """
        edit = edits.RemoveToken(team=team, name=name)
        self._change(lambda c: _ready_edit(edit), reason, operation_id)
