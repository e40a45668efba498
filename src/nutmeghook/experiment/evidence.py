"""Collects the input of the checks from the stand-ins of a run."""

import datetime

import msgspec

from nutmeghook.experiment import checks
from nutmeghook.experiment import history
from nutmeghook.experiment import system as system_module
from nutmeghook.internal.config import documents
from nutmeghook.internal.ledger import bills as bills_module
from nutmeghook.internal.ledger import records
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.standin_http import http_objects
from nutmeghook.internal.standin_http import http_table
from nutmeghook.standins import engine_runs
from nutmeghook.standins import memory_plain


async def read_runs(system: system_module.System) -> list[checks.Run]:
    """Returns all executions, as the backend servers logged them."""
    runs: list[checks.Run] = []
    for served in system.addresses.stand_ins:
        if served.role == system_module.ENGINE_ROLE:
            content = await system.read_control(served.name, "runs")
            runs += [
                _engine_run(record)
                for record in msgspec.json.decode(
                    content, type=list[engine_runs.RunRecord]
                )
            ]
        elif served.role == system_module.PLAIN_ROLE:
            content = await system.read_control(served.name, "runs")
            runs += [
                _plain_run(record)
                for record in msgspec.json.decode(
                    content, type=list[memory_plain.CallRecord]
                )
            ]
    return runs


def _engine_run(record: engine_runs.RunRecord) -> checks.Run:
    return checks.Run(
        request_id=record.attempt_id.partition("/")[0],
        marker=record.marker,
        started_ms=record.started_ms,
        model_version=record.model_version,
    )


def _plain_run(record: memory_plain.CallRecord) -> checks.Run:
    return checks.Run(
        request_id=record.request_id,
        marker=record.marker,
        started_ms=record.started_ms,
    )


async def read_bill_records(
    system: system_module.System,
) -> list[records.FinishRecord]:
    """Returns every bill record with its copies, straight from the stores."""
    session = http_exchange.open_session()
    try:
        reader = bills_module.BillReader(
            table=http_table.HttpTable(
                exchange=http_exchange.HttpExchange(
                    session=session,
                    address=system.addresses.named("table").address,
                )
            ),
            objects=http_objects.HttpObjects(
                exchange=http_exchange.HttpExchange(
                    session=session,
                    address=system.addresses.named("objects").address,
                )
            ),
        )
        return [record async for record in reader.all_records()]
    finally:
        await session.close()


def observed_bills(
    found: list[records.FinishRecord],
) -> list[checks.ObservedBill]:
    """Returns the bills; copies of one record are one bill.

    A bill that is being moved from the overflow to the log is in both for a
    moment, so equal records count once. Two different records with one
    identity are two bills, which the checks report.
    """
    distinct = {
        (record.team, record.key, record.request_id, record.cost_micros)
        for record in found
    }
    return [
        checks.ObservedBill(request_id=request_id, team=team, key=key)
        for team, key, request_id, _ in sorted(distinct)
    ]


async def read_withdrawals(
    system: system_module.System,
    *,
    through: system_module.RunningInstance,
    bound: datetime.timedelta,
) -> list[checks.Withdrawal]:
    """Returns the withdrawals and when each must be in force.

    Args:
        system: The running system.
        through: The instance whose history is read.
        bound: Time within which a change must be in force everywhere.
    """
    found: list[checks.Withdrawal] = []
    async with system.administration(through) as client:
        status = await client.status()
        for item in status.withdrawn:
            accepted = await _accepted_at(client, item.document)
            found.append(
                checks.Withdrawal(
                    document=item.document,
                    model_version=item.model_version,
                    in_force_ms=(accepted + bound).timestamp() * 1000,
                )
            )
    return found


async def _accepted_at(client, document: str) -> datetime.datetime:
    answer = await client.history(document=document, before=0, limit=1)
    return answer.changes[0].accepted_at


def build_evidence(
    *,
    works: list[history.Work],
    runs: list[checks.Run],
    bills: list[checks.ObservedBill],
    withdrawals: list[checks.Withdrawal],
    teams: tuple[documents.Team, ...],
) -> checks.Evidence:
    """Builds the input of the checks."""
    return checks.Evidence(
        works=works,
        runs=runs,
        bills=bills,
        withdrawals=withdrawals,
        allowed={team.name: set(team.allowed_models) for team in teams},
    )
