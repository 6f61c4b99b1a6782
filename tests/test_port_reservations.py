"""Guard the ports of daemons: two fleets, or one fleet twice, must not get one port."""

import asyncio
from collections.abc import Iterator

import pytest
import zmq

from tools.emulator import processes
from tools.emulator.processes import PortReservations


@pytest.fixture
def port(monkeypatch: pytest.MonkeyPatch) -> Iterator[int]:
    """Reserve a port and leave no other port to choose."""
    reservations = PortReservations()
    port = reservations.reserve()
    monkeypatch.setattr(processes, "DAEMON_PORTS", range(port, port + 1))
    yield port
    reservations.close()


async def _serve_once(port: int) -> bytes:
    async def answer(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"served")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", port)
    async with server:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        read = await reader.read()
        writer.close()
    return read


def test_reserved_port_is_not_reserved_again(port: int) -> None:
    """A port that is probed and released goes to a second daemon, which cannot bind."""
    with pytest.raises(RuntimeError):
        PortReservations().reserve()


async def test_daemon_serves_on_its_reserved_port_again_after_a_restart(
    port: int,
) -> None:
    """The reservation must not take the port from the daemon that it is meant for."""
    assert await _serve_once(port) == b"served"
    with pytest.raises(RuntimeError):
        PortReservations().reserve()
    assert await _serve_once(port) == b"served"


def test_peer_socket_binds_a_reserved_port(port: int) -> None:
    """Peer sockets bind through ZeroMQ, which sets its own socket options."""
    with zmq.Context() as context, context.socket(zmq.ROUTER) as peer:
        peer.bind(f"tcp://127.0.0.1:{port}")


def test_closed_reservations_leave_the_port_free() -> None:
    """A fleet that has stopped keeps no port."""
    reservations = PortReservations()
    port = reservations.reserve()
    reservations.close()
    with zmq.Context() as context, context.socket(zmq.ROUTER) as peer:
        peer.bind(f"tcp://127.0.0.1:{port}")
