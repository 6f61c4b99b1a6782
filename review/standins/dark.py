"""Addresses of machines that are gone."""

from __future__ import annotations

import socket


class DarkAddress:
    """An address whose machine is gone: connections to it hang."""

    def __init__(self, ip: str, port: int) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((ip, port))
        self._listener.listen(0)
        # Nobody accepts: once the queue is full, the kernel ignores new connections.
        self._queued = []
        for _ in range(4):
            each = socket.socket()
            each.setblocking(False)
            each.connect_ex((ip, port))
            self._queued.append(each)

    def close(self) -> None:
        """Free the address."""
        for each in (*self._queued, self._listener):
            each.close()
