"""View of the newest configuration in the store."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import CellConfig
from briarrun_cell.ports import Record, Topic
from briarrun_cell.tail import TopicListener
from briarrun_cell.unreadable import UnreadableRecords
from briarrun_wire.decode import DecodeError

_LOG = ComponentLog("config")


@dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """Request of the evacuation of a failure domain, or its withdrawal.

    ``defect`` says what is wrong with the value of a request, if anything.
    """

    failure_domain: str
    requested: bool
    defect: str = ""


class ConfigDecoder(ABC):
    """Decoder of the records of the configuration topic."""

    @abstractmethod
    def decode_config(self, record: Record) -> CellConfig | None:
        """Return the configuration, or None if the record is of another kind.

        Raises ``DecodeError`` if the configuration cannot be read.
        """

    @abstractmethod
    def decode_evacuation(self, record: Record) -> EvacuationRecord | None:
        """Return the request of an evacuation, or None if the record is of another kind.

        Raises ``DecodeError`` if the record names no failure domain.
        """


class ConfigView(TopicListener):
    """The configuration with the highest version in the config topic.

    One that cannot be read leaves the last readable one in force.
    """

    def __init__(self, decoder: ConfigDecoder) -> None:
        self._decoder = decoder
        self._unreadable = UnreadableRecords(Topic.CONFIG, _LOG)
        self._first_config = asyncio.Event()
        self.config = CellConfig(version=-1)

    @property
    def loaded(self) -> bool:
        """Whether a configuration has been loaded."""
        return self.config.version >= 0

    async def wait_loaded(self) -> None:
        """Wait until a configuration has been loaded."""
        await self._first_config.wait()

    def on_snapshot(self, records: Sequence[Record], sent_at: float) -> None:
        """Apply a snapshot; versions older than the loaded one are ignored."""
        self.on_records(records, sent_at)

    def on_records(self, records: Sequence[Record], sent_at: float) -> None:
        """Apply configurations of higher versions."""
        for record in records:
            if record.value is None:
                continue
            try:
                config = self._decoder.decode_config(record)
            except DecodeError as error:
                effect = f"version {self.config.version} stays in force"
                self._unreadable.add(record, error, effect)
                continue
            self._unreadable.clear(record.key)
            if config is not None and config.version > self.config.version:
                _LOG.info(
                    "new configuration in force",
                    version=config.version,
                    offset=record.offset,
                    replaced=self.config.version,
                    queues=len(config.queues_by_name),
                    customers=len(config.customers_by_name),
                )
                self.config = config
                self._first_config.set()
