"""TCP relay that can go silent, stall or cut, to stand for a faulty network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(eq=False, slots=True)
class _Pair:
    """Hold one relayed connection."""

    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    silent: bool = False


class Relay:
    """Pass bytes between clients and a target address."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.accepted = 0
        self.address = ""
        self.on_data: Callable[[bytes, bool], None] | None = None
        """Is shown what passes, before it passes, and whether it is a reply."""
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        self._running = asyncio.Event()
        self._running.set()
        self._refusing = False

    async def start(self, port: int = 0) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, bound = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{bound}"

    def silence_open_connections(self) -> None:
        """Swallow everything on open connections for ever; new ones work."""
        for pair in self._pairs:
            pair.silent = True

    def stall(self) -> None:
        """Stop reading from every connection."""
        self._running.clear()

    def resume(self) -> None:
        """Read again, and accept again after a cut."""
        self._refusing = False
        self._running.set()

    def cut(self) -> None:
        """Close every connection and each new one at once."""
        self._refusing = True
        for pair in list(self._pairs):
            for writer in pair.writers:
                writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        self.cut()
        self._running.set()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self._refusing:
            writer.transport.abort()
            return
        pair = _Pair([writer])
        self._pairs.add(pair)
        try:
            host, _, port = self.target.rpartition(":")
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
            pair.writers.append(back_writer)
            await asyncio.gather(
                self._copy(pair, reader, back_writer, False),
                self._copy(pair, back_reader, writer, True),
            )
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._pairs.discard(pair)
            for each in pair.writers:
                each.close()

    async def _copy(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_reply: bool,
    ) -> None:
        while data := await reader.read(64 * 1024):
            if self.on_data is not None:
                self.on_data(data, is_reply)
            await self._running.wait()
            if not pair.silent:
                writer.write(data)
                await writer.drain()
        if not pair.silent and writer.can_write_eof():
            writer.write_eof()
