"""Calls from a front end to the holders of failure domains."""

from __future__ import annotations

import asyncio

from expression import Error, Result

from briarrun_daemon.clock import Clock
from briarrun_daemon.directory import Directory
from briarrun_daemon.peers import Peers
from briarrun_wire.messages import PeerMessage
from briarrun_wire.peer import CallFailure, CallFailureKind

HOLDER_CHECK_INTERVAL_S = 0.1
"""Interval at which a pending call checks that the called VM is still the holder."""


class HolderClient:
    """Client that calls the current holder of a failure domain."""

    def __init__(self, peers: Peers, directory: Directory, clock: Clock) -> None:
        self.instance = peers.instance
        self._peers = peers
        self._directory = directory
        self._clock = clock

    async def call(
        self, domain: str, message: PeerMessage, timeout_s: float
    ) -> Result[PeerMessage, CallFailure]:
        """Return the holder's reply.

        A pending call is abandoned when another VM becomes the holder; whether it took
        effect is then unknown.
        """
        vm_id = self._directory.holder_vm(domain, self._clock.now())
        if vm_id is None:
            detail = f"no holder of {domain} is known"
            return Error(CallFailure(CallFailureKind.NOT_CONNECTED, False, detail))
        if vm_id == self._peers.vm_id:
            # A holder on this VM answers all pending calls when its authority ends.
            return await self._peers.call(vm_id, message, timeout_s)
        task = asyncio.ensure_future(self._peers.call(vm_id, message, timeout_s))
        try:
            while True:
                done, _ = await asyncio.wait([task], timeout=HOLDER_CHECK_INTERVAL_S)
                if done:
                    return task.result()
                if self._directory.holder_vm(domain, self._clock.now()) != vm_id:
                    detail = f"{vm_id} no longer holds {domain}"
                    return Error(CallFailure(CallFailureKind.TIMEOUT, True, detail))
        finally:
            task.cancel()

    def send(self, domain: str, message: PeerMessage) -> bool:
        """Send a message to the holder; return False if it was certainly not sent."""
        vm_id = self._directory.holder_vm(domain, self._clock.now())
        return vm_id is not None and self._peers.send(vm_id, message)
