"""The newest configuration, its age, and waiting for the first one."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

from briarrun_cell.logs import ComponentLog
from briarrun_cell.model import CellConfig
from briarrun_cell.ports import Record
from briarrun_cell.tail import TopicListener

_LOG = ComponentLog("config")


class ConfigDecoder(ABC):
    """Decode the operator's records."""

    @abstractmethod
    def decode_config(self, record: Record) -> CellConfig | None:
        """Return a configuration, or None if the record holds something else.

        Raises ``ValueError`` if it cannot be read.
        """


class ConfigView(TopicListener):
    """Fold the operator's stream; a version never goes back."""

    def __init__(self, decoder: ConfigDecoder) -> None:
        self._decoder = decoder
        self._known = asyncio.Event()
        self.config = CellConfig(version=-1)

    @property
    def loaded(self) -> bool:
        """Tell whether any configuration is known."""
        return self.config.version >= 0

    async def known(self) -> None:
        """Wait for the first configuration."""
        await self._known.wait()

    def on_snapshot(self, records: Sequence[Record], asked_at: float) -> None:
        """Take the newest records; an older version than the known one is ignored."""
        self.on_records(records, asked_at)

    def on_records(self, records: Sequence[Record], asked_at: float) -> None:
        """Take further records."""
        for record in records:
            if record.value is None:
                continue
            try:
                config = self._decoder.decode_config(record)
            except ValueError as error:
                _LOG.error("a configuration cannot be read", detail=str(error))
                continue
            if config is not None and config.version > self.config.version:
                _LOG.info(
                    "a configuration is in force",
                    version=config.version,
                    offset=record.offset,
                    replaced=self.config.version,
                    queues=len(config.queues_by_name),
                    customers=len(config.customers_by_name),
                )
                self.config = config
                self._known.set()
