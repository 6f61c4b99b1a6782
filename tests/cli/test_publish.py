"""Tests of publication with races, lost responses and outdated folders."""

import asyncio
import dataclasses
import json
from collections.abc import Sequence
from typing import Any

import pytest
from expression import Error, Ok, Result

from briarrun_adapters.log_service import LogEntry, LogPage, LogService
from briarrun_adapters.platform import PlatformFailure
from briarrun_cli.config_commands import document_of
from briarrun_cli.declarations import Declarations, from_config
from briarrun_cli.documents import (
    DomainDocument,
    FleetDocument,
    QueueDocument,
    TeamDocument,
)
from briarrun_cli.exits import CommandError, ExitStatus
from briarrun_cli.fleet_log import FleetLog
from briarrun_cli.key_changes import find_owner, grant_key, withdraw_key
from briarrun_core.configuration import parse_document
from briarrun_core.keys import verify_token


class FakeLog(LogService):
    """In-memory log that can lose responses."""

    def __init__(self) -> None:
        self.records: list[dict[str, Any]] = []
        self.lost_responses = 0
        self.is_down = False

    async def append(
        self,
        records: Sequence[dict[str, Any]],
        timeout_s: float = 1.0,
    ) -> Result[tuple[int, ...], PlatformFailure]:
        """Append records; fail afterwards if the response is to be lost."""
        if self.is_down:
            return Error(PlatformFailure(True, "down"))
        self.records.extend(records)
        if self.lost_responses:
            self.lost_responses -= 1
            return Error(PlatformFailure(False, "response lost"))
        return Ok((len(self.records) - 1,))

    async def read(
        self,
        from_offset: int,
        limit: int = 1000,
        wait_s: float = 0.0,
        timeout_s: float = 1.0,
    ) -> Result[LogPage, PlatformFailure]:
        """Return the records from an offset."""
        if self.is_down:
            return Error(PlatformFailure(True, "down"))
        entries = [
            LogEntry(offset, record)
            for offset, record in enumerate(self.records)
            if offset >= from_offset
        ]
        return Ok(LogPage(0, len(self.records), tuple(entries[:limit])))


def declarations(*teams: str) -> Declarations:
    fleet = FleetDocument(domains={"zagreb": DomainDocument(region="north")})
    documents = {
        team: TeamDocument.model_validate({"limit": {"cores": 1000}}) for team in teams
    }
    return Declarations(fleet, documents)


def publish(
    log: FakeLog, target: Declarations, base: int, timeout_s: float = 2.0
) -> int:
    service = FleetLog(log, timeout_s)
    published = asyncio.run(service.publish(document_of(target), "test", base))
    return published.version.generation


def test_second_of_two_racing_operators_gets_a_conflict() -> None:
    """Publishing from an old generation would revert the first operator's change."""
    log = FakeLog()
    assert publish(log, declarations("a"), 0) == 1
    with pytest.raises(CommandError) as caught:
        publish(log, declarations("b"), 0)
    assert caught.value.status is ExitStatus.CONFLICT
    current = asyncio.run(FleetLog(log, 1.0).current())
    assert list(current.document["teams_by_id"]) == ["a"]


def test_race_decided_by_the_log_is_reported() -> None:
    """Both operators read the same generation; the order in the log decides."""
    log = FakeLog()
    publish(log, declarations("a"), 0)

    async def race() -> list[Any]:
        targets = (declarations("a", "b"), declarations("a", "c"))
        return await asyncio.gather(
            *(FleetLog(log, 2.0).publish(document_of(t), "x", 1) for t in targets),
            return_exceptions=True,
        )

    results = asyncio.run(race())
    losers = [item for item in results if isinstance(item, CommandError)]
    assert [loser.status for loser in losers] == [ExitStatus.CONFLICT]


@pytest.mark.parametrize("lost", [1, 3])
def test_lost_append_response_is_resolved_by_reading(lost: int) -> None:
    """A lost response must not be reported as failure or apply the change twice."""
    log = FakeLog()
    log.lost_responses = lost
    assert publish(log, declarations("a"), 0) == 1
    assert asyncio.run(FleetLog(log, 1.0).current()).generation == 1


def test_log_that_is_down_is_unreachable() -> None:
    """An outage of the log must not be reported as a rejected configuration."""
    log = FakeLog()
    log.is_down = True
    with pytest.raises(CommandError) as caught:
        publish(log, declarations("a"), 0, timeout_s=0.3)
    assert caught.value.status is ExitStatus.UNREACHABLE


def test_unchanged_declarations_append_nothing() -> None:
    """Publishing twice must not use up generations."""
    log = FakeLog()
    target = dataclasses.replace(
        declarations("a"),
        queues_by_name={"q": QueueDocument(teams=["a"])},
    )
    publish(log, target, 0)
    log.records = json.loads(json.dumps(log.records))
    assert publish(log, target, 0) == 1
    assert len(log.records) == 1


def test_configuration_in_force_yields_the_same_declarations() -> None:
    """Publishing a folder written by 'config pull' must change nothing."""
    granted, _ = grant_key(declarations("a", "b"), "a", "k1", operator=True)
    config = parse_document(document_of(granted))
    assert document_of(from_config(config, 7)) == document_of(granted)


def test_granted_key_works_until_it_is_withdrawn() -> None:
    """A granted key must be valid, and invalid once it is withdrawn."""
    granted, new = grant_key(declarations("a"), "a", "k1")
    assert verify_token(new.token, granted.config().keys_by_id).is_ok()
    assert new.token not in str(document_of(granted))
    withdrawn = withdraw_key(granted, "k1")
    assert find_owner(withdrawn, "k1") is None
    assert verify_token(new.token, withdrawn.config().keys_by_id).is_error()


@pytest.mark.parametrize(
    ("team", "key_id"),
    [("nobody", "k2"), ("a", "k1"), ("a", "no such id!"), ("a", "Upper"), ("a", "")],
)
def test_invalid_key_grant_is_rejected(team: str, key_id: str) -> None:
    """An unknown team, a duplicate key id or a malformed one must be rejected."""
    granted, _ = grant_key(declarations("a"), "a", "k1")
    with pytest.raises(CommandError) as caught:
        grant_key(granted, team, key_id)
    assert caught.value.status is ExitStatus.INVALID
