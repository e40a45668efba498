"""The administration commands against a real HTTP server."""

import asyncio
import contextlib
import io
import json
import os
import pathlib
import random
import tempfile
import threading
import unittest
from unittest import mock

from aiohttp import web
import fire

from nutmeghook.internal.administration import application
from nutmeghook.internal.administration import commands
from nutmeghook.internal.administration import principals
from nutmeghook.internal.config import assembly
from nutmeghook.internal.config import tokens
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import local
from nutmeghook.internal.inner import peers
from nutmeghook.internal.ledger import bills
from nutmeghook.internal.ledger import overflow
from nutmeghook.internal.ledger import records
from nutmeghook.internal.membership import members
from nutmeghook.internal.observe import events
from nutmeghook.standins import memory_objects
from nutmeghook.standins import memory_table
from tests import ledger_cluster

EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"
BOOTSTRAP = "bootstrap-secret"


class Server:
    """One instance's administration API in a separate thread."""

    def __init__(self):
        self.clock = clock_module.SystemClock()
        self.table = memory_table.MemoryTable(clock=self.clock)
        self.objects = memory_objects.MemoryObjects(clock=self.clock)
        self.lose_replies = 0
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait()

    def stop(self) -> None:
        self._loop.call_soon_threadsafe(self._done.set)
        self._thread.join()

    def _run(self) -> None:
        self._loop.run_until_complete(self._serve())

    async def _serve(self) -> None:
        self._done = asyncio.Event()
        myself = members.Member(
            inner_address="10.0.0.1:7000",
            incarnation="i",
            region="r",
            data_centre="d",
        )
        handlers = peers.PeerHandlers()
        network = local.LocalNetwork(clock=self.clock)
        parts = assembly.build(
            table=self.table,
            members=members.FixedMemberView(myself=myself),
            caller=network.attach(myself.inner_address, handlers),
            handlers=handlers,
            clock=self.clock,
            events=events.EventRing(clock=self.clock),
            random=random.Random(1),
        )
        running = asyncio.ensure_future(parts.distributor.run())
        finder = principals.PrincipalFinder(
            tokens=tokens.TokenIndex(config=parts.replica),
            bootstrap_sha256=tokens.digest(BOOTSTRAP),
        )
        whole = web.Application(middlewares=[self._drop_replies])
        whole.add_subapp(
            application.PREFIX,
            application.build_application(
                config=parts,
                principals=finder,
                bills=bills.BillReader(table=self.table, objects=self.objects),
            ),
        )
        runner = web.AppRunner(whole)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        self.url = f"http://127.0.0.1:{port}"
        self._ready.set()
        await self._done.wait()
        running.cancel()
        await runner.cleanup()

    @web.middleware
    async def _drop_replies(self, request, handler):
        response = await handler(request)
        if self.lose_replies and request.method == "POST":
            self.lose_replies -= 1
            request.transport.abort()
        return response


class AdministrationCommandsTest(unittest.TestCase):
    """An operator's work, from the first import to the hand-over."""

    def setUp(self):
        self.server = Server()
        self.addCleanup(self.server.stop)

    def admin(self, *words: str, token: str = BOOTSTRAP):
        """Runs a command; returns its exit code, output and error output."""
        out, err, code = io.StringIO(), io.StringIO(), 0
        environment = {
            "NUTMEGHOOK_ADMIN_URL": self.server.url,
            "NUTMEGHOOK_TOKEN": token,
        }
        with (
            mock.patch.dict(os.environ, environment),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                fire.Fire(commands.AdministrationCommands, command=list(words))
            except SystemExit as exit_:
                code = exit_.code
        return code, out.getvalue(), err.getvalue()

    def file(self, content: dict) -> str:
        """Writes a JSON file and returns its path."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "file.json"
        path.write_text(json.dumps(content))
        return str(path)

    def load_example(self, name: str = "agency") -> None:
        path = str(EXAMPLES / f"{name}.json")
        code, out, err = self.admin("load", path, "--reason=first import")
        self.assertEqual(code, 0, err)
        self.assertIn("in force on 1 of 1 instances", out)

    def test_an_operator_edits_rolls_out_withdraws_and_hands_over(self):
        self.load_example()
        template = "agency/dossier-review"
        done = [
            ("set", template, "--quality_target=0.9", "--reason=stricter"),
            ("roll_out", template, "inspector-large@1.10", "--reason=new"),
            ("advance", template, "inspector-large@1.10", "--reason=fine"),
            ("withdraw", "inspector-small@3.1", "--reason=wrong codes"),
        ]
        for words in done:
            code, _, err = self.admin(*words)
            self.assertEqual(code, 0, err)
        _, status, _ = self.admin("status")
        self.assertIn("inspector-large@1.10  5 %, next 25 %", status)
        self.assertIn("inspector-small@3.1  fleet", status)
        self.assertIn("platform/bootstrap: wrong codes", status)
        self.assertLessEqual(len(status.splitlines()), 24)
        _, change, _ = self.admin("change", "2")
        self.assertIn("quality_target: 0.95 -> 0.9", change)

    def test_a_put_of_a_stale_copy_shows_the_conflicting_change(self):
        """Two operators print the same template. The first sets its deadline;
        the second puts an edited copy, which would undo that change. It is
        refused, with the first one's reason and values.
        """
        self.load_example()
        _, printed, _ = self.admin("show", "agency/dossier-review")
        edited = json.loads(printed)
        edited["template"]["priority"] = 8
        path = self.file(edited)
        self.admin(
            "set",
            "agency/dossier-review",
            "--deadline_ms=9000",
            "--reason=storm",
        )
        _, draft, _ = self.admin("draft", path)
        code, _, err = self.admin("put", path, "--reason=calmer")
        self.assertEqual(code, 1)
        self.assertIn("5000 CONFLICT, refused", err)
        self.assertIn("platform/bootstrap", err)
        self.assertIn("storm", err)
        self.assertIn("deadline_ms: 60000 -> 9000", err)
        self.assertEqual(draft, "")

    def test_a_lost_answer_is_retried_and_the_change_made_once(self):
        """The change is committed, but the connection breaks before the
        answer. The client retries with the same operation id and gets the
        first outcome; the history shows one change.
        """
        self.load_example()
        self.server.lose_replies = 1
        code, out, err = self.admin(
            "set", "agency/dossier-review", "--priority=7", "--reason=r"
        )
        self.assertEqual(code, 0, err)
        self.assertIn("revision 2,", out)
        _, history, _ = self.admin("history")
        self.assertEqual(len(history.splitlines()), 2)

    def test_tokens_allow_what_their_role_and_team_permit(self):
        self.load_example()
        second = self.file({"teams": [{"name": "siamroster"}]})
        self.admin("load", second, "--reason=second customer")
        code, out, err = self.admin(
            "put_token", "agency", "day-shift", "operator", "--reason=new"
        )
        self.assertEqual(code, 0, err)
        secret = out.splitlines()[0].split(": ")[1]
        allowed = ("set", "agency/dossier-review", "--priority=7", "--reason=r")
        self.assertEqual(self.admin(*allowed, token=secret)[0], 0)
        for words in (
            ("show", "team/siamroster"),
            ("remove_token", "siamroster", "x", "--reason=r"),
            ("withdraw", "inspector-small@3.1", "--reason=r"),
            ("put_token", "siamroster", "x", "operator", "--reason=r"),
        ):
            code, _, err = self.admin(*words, token=secret)
            self.assertIn("2005 NOT_ALLOWED", err)
            self.assertEqual(code, 1)
        self.admin(
            "load", self.file({"teams": [{"name": "platform"}]}), "--reason=x"
        )
        _, out, _ = self.admin(
            "put_token", "platform", "o", "operator", "--reason=x"
        )
        secret_of_platform = out.splitlines()[0].split(": ")[1]
        code, _, err = self.admin(
            *("put_token", "platform", "me", "administrator", "--reason=r"),
            token=secret_of_platform,
        )
        self.assertIn("2005 NOT_ALLOWED", err)
        code, _, err = self.admin("status", token="wrong")
        self.assertIn("2003 BAD_TOKEN", err)
        _, listed, _ = self.admin("list", "--json", token=secret)
        names = [item["document"] for item in json.loads(listed)["documents"]]
        self.assertIn("team/agency", names)
        self.assertNotIn("team/siamroster", names)

    def test_wrong_values_and_unknown_fields_are_all_named(self):
        self.load_example()
        _, printed, _ = self.admin("show", "agency/dossier-review")
        document = json.loads(printed)
        document["template"]["prioritty"] = 3
        document["template"]["stages"][0]["modell"] = "x"
        code, _, err = self.admin("put", self.file(document), "--reason=r")
        self.assertEqual(code, 2)
        self.assertIn("$.template.prioritty", err)
        self.assertIn("$.template.stages[0].modell", err)
        code, _, err = self.admin(
            "set",
            "agency/dossier-review",
            "--priority=70",
            "--quality_target=2",
            "--reason=r",
        )
        self.assertEqual(code, 1)
        self.assertIn("priority is 70; give 0 to 9", err)
        self.assertIn("quality_target is 2.0; give 0 to 1", err)

    def put_bills(self, object_name: str, *keys: str) -> None:
        """Puts bills in the object store, as while the table service is out."""
        batch = records.BillBatch(
            partition=0,
            records=tuple(
                records.finish_record(ledger_cluster.bill(key), None)
                for key in keys
            ),
        )
        asyncio.run(
            self.server.objects.put_if_absent(
                f"{overflow.KEY_PREFIX}{object_name}",
                records.encoder.encode(batch),
            )
        )

    def test_bills_are_totalled_once_each_for_administrators_only(self):
        """A bill is in the object store twice, as after an in-doubt write. It
        counts once. While a store is unreachable the totals would lack bills,
        so they are refused.
        """
        self.load_example()
        self.put_bills("a/1", "k1", "k2")
        self.put_bills("b/1", "k2", "k3")
        code, out, err = self.admin("bills", "--json")
        self.assertEqual(code, 0, err)
        (team,) = json.loads(out)["teams"]
        self.assertEqual(
            (team["team"], team["requests"], team["cost_micros"]),
            ("agency", 3, 21),
        )
        _, shown, _ = self.admin("bills")
        self.assertIn("0.000021", shown)
        _, out, _ = self.admin(
            "put_token", "agency", "day", "operator", "--reason=r"
        )
        secret = out.splitlines()[0].split(": ")[1]
        code, _, err = self.admin("bills", token=secret)
        self.assertIn("2005 NOT_ALLOWED", err)
        self.server.objects.faults.down = True
        code, _, err = self.admin("bills")
        self.assertIn("3004 STORE_OUT", err)
        self.assertEqual(code, 1)
