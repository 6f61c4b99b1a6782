"""Types of the peer layer: settings, addresses, counters, failures and the handler."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from briarrun_wire.messages import PeerMessage


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Settings of an instance's peer sockets; keys are Z85 text."""

    instance: str
    bind_host: str
    bind_port: int
    public_key: str
    secret_key: str
    max_queued_messages: int = 1000
    max_message_bytes: int = 64 * 1024 * 1024
    silence_s: float = 0.25


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address and location of a peer VM."""

    vm_id: str
    address: str
    domain: str
    region: str


@dataclass(slots=True)
class TrafficCount:
    """Traffic counters of one peer or region; sizes are in payload bytes."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0
    messages_dropped: int = 0


class CallFailureKind(StrEnum):
    """Reason why a call got no reply."""

    NOT_CONNECTED = "not-connected"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Call without a reply; if ``sent`` is false, it had no effect."""

    kind: CallFailureKind
    sent: bool
    detail: str = ""


class PeerHandler(ABC):
    """Handler of peer messages; ``sender`` is the sender's instance id."""

    @abstractmethod
    def on_message(self, sender: str, message: PeerMessage) -> None:
        """Process a message that expects no reply."""

    @abstractmethod
    async def on_call(self, sender: str, message: PeerMessage) -> PeerMessage | None:
        """Return the reply to a call; the peer layer sets its ``call_id``.

        If this returns None or raises, the caller's call times out.
        """
