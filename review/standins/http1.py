"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl


@dataclass(frozen=True)
class Request:
    """Received request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Return the decoded JSON body."""
        return json.loads(self.body)


@dataclass(frozen=True)
class Response:
    """Response with its body."""

    status: int
    body: bytes = b""

    @classmethod
    def of_json(cls, status: int, content: object) -> Response:
        """Return a response with a JSON body."""
        return cls(status, json.dumps(content, separators=(",", ":")).encode())

    def json(self):
        """Return the decoded JSON body."""
        return json.loads(self.body)


Handler = Callable[[Request], Awaitable["Response | None"]]


@dataclass(eq=False)
class Server:
    """HTTP server; a handler that returns None closes the connection unanswered."""

    handler: Handler
    host: str = "127.0.0.1"
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Address on which the server listens."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen; a second call listens on the same port again."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Reset all connections; new ones are refused, since nobody listens."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                response = await self.handler(request)
                if response is None:
                    return
                head = (
                    f"HTTP/1.1 {response.status} X\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(response.body)}\r\n\r\n"
                )
                writer.write(head.encode() + response.body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = await reader.readexactly(int(head[1].get("content-length", "0")))
    path, _, query = target.partition("?")
    return Request(method, path, dict(parse_qsl(query)), head[1], body)


async def call(
    address: str,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    content: object = None,
    timeout_s: float = 3.0,
) -> Response | None:
    """Send one request on a connection of its own; return None without an answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b"" if content is None else json.dumps(content).encode()
            lines = [f"{method} {target} HTTP/1.1"]
            named = {"Host": host, "Content-Length": str(len(body))}
            named["Content-Type"] = "application/json"
            named.update(headers or {})
            lines += [f"{name}: {value}" for name, value in named.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await _read_head(reader)
            if head is None:
                return None
            status = int(head[0].split(" ")[1])
            size = int(head[1].get("content-length", "0"))
            return Response(status, await reader.readexactly(size))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
