"""Reading and changing the configuration in force through the log."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from expression import Result
from msgspec import ValidationError

from briarrun_adapters.log_service import HttpLogService, LogPage, LogService
from briarrun_cli.exits import CommandError, ExitStatus
from briarrun_core.configuration import (
    ConfigVersion,
    diff_documents,
    digest_of,
    merge_patch,
)
from briarrun_core.events import ConfigChanged, FleetEvent, RecordIgnored
from briarrun_core.fleet import FleetState
from briarrun_core.records import ConfigRecord, decode_record, encode_record
from briarrun_core.sections import CONFIG_SECTION
from briarrun_wire.http_client import HttpPool

READ_LIMIT = 1000
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class VersionChanges:
    """Hold a generation and the changes that lead to it or on from it.

    Without changes nothing was, or has to be, appended.
    """

    version: ConfigVersion
    changes: dict[str, Any]


class FleetLog:
    """Follow the log and append configuration changes to it."""

    def __init__(self, service: LogService, timeout_s: float) -> None:
        self._service = service
        self._timeout_s = timeout_s
        self._fleet = FleetState()

    async def current(self) -> ConfigVersion:
        """Return the configuration at the end of the log."""
        await self._read_to_end()
        return self._version()

    async def compare(self, target: dict[str, Any]) -> VersionChanges:
        """Return the configuration in force and the changes that lead to ``target``."""
        current = await self.current()
        return VersionChanges(current, diff_documents(current.document, target))

    async def publish(
        self,
        target: dict[str, Any],
        author: str,
        base_generation: int,
    ) -> VersionChanges:
        """Make ``target`` the configuration in force.

        ``base_generation`` is the generation that the declarations were made from.
        Raises ``CommandError`` with ``CONFLICT`` if
        another publication came first.
        """
        compared = await self.compare(target)
        current, changes = compared.version, compared.changes
        if not changes:
            return compared
        if base_generation != current.generation:
            raise _conflict(base_generation, current.generation)
        record = ConfigRecord(
            record_id=f"config:{secrets.token_hex(16)}",
            base_generation=current.generation,
            changes=changes,
            digest=digest_of(merge_patch(current.document, changes)),
            author=author,
        )
        return VersionChanges(await self._append(record), changes)

    async def _append(self, record: ConfigRecord) -> ConfigVersion:
        """Append a record and return the generation that it made.

        Only reading the record back tells its fate, since the response can be lost. The
        append is repeated with the same record id, which has no second effect.
        """
        deadline = asyncio.get_running_loop().time() + self._timeout_s
        is_sent = False
        while asyncio.get_running_loop().time() < deadline:
            if not is_sent:
                appended = await self._service.append([encode_record(record)])
                is_sent = appended.is_ok()
            for event in await self._read_to_end(tolerate_failure=True):
                fate = self._fate(record, event)
                if fate is not None:
                    return fate
            await asyncio.sleep(POLL_INTERVAL_S)
        raise CommandError(
            ExitStatus.UNKNOWN,
            "the log did not confirm the change in time; it may still take effect",
        )

    def _fate(self, record: ConfigRecord, event: FleetEvent) -> ConfigVersion | None:
        if not isinstance(event, ConfigChanged | RecordIgnored):
            return None
        if event.record_id != record.record_id:
            return None
        if isinstance(event, ConfigChanged):
            return event.version
        if event.detail == "repeated record id":
            return None
        raise _conflict(record.base_generation, self._fleet.generation)

    async def _read_to_end(self, tolerate_failure: bool = False) -> list[FleetEvent]:
        events: list[FleetEvent] = []
        while True:
            start = self._fleet.next_offset
            match await self._service.read(start, limit=READ_LIMIT):
                case Result(tag="ok", ok=page):
                    events.extend(fold_page(self._fleet, page))
                case Result(error=failure):
                    if tolerate_failure:
                        return events
                    message = f"the log can't be read: {failure.detail}"
                    raise CommandError(ExitStatus.UNREACHABLE, message)
            if self._fleet.next_offset >= page.next or not page.records:
                return events

    def _version(self) -> ConfigVersion:
        if not self._fleet.is_section_known(CONFIG_SECTION):
            message = "the log holds no snapshot of the configuration yet; try again"
            raise CommandError(ExitStatus.FAILED, message)
        return self._fleet.config_version


def fold_page(fleet: FleetState, page: LogPage) -> list[FleetEvent]:
    """Fold a page of the log; records of unknown form are passed over."""
    events = fleet.start_at(page.first) if fleet.first_offset is None else []
    for entry in page.records:
        try:
            record = decode_record(entry.record)
        except ValidationError:
            events.extend(fleet.skip(entry.offset))
        else:
            events.extend(fleet.apply(entry.offset, record))
    return events


@asynccontextmanager
async def open_log(address: str, timeout_s: float) -> AsyncIterator[FleetLog]:
    """Open the log service at ``host:port`` for the length of a block."""
    pool = HttpPool()
    try:
        yield FleetLog(HttpLogService(address, pool), timeout_s)
    finally:
        await pool.close()


def _conflict(base: int, current: int) -> CommandError:
    message = (
        f"made from generation {base}, but {current} is in force; nothing changed."
        " 'briarrun config pull' brings the folder up to date"
    )
    return CommandError(ExitStatus.CONFLICT, message)
