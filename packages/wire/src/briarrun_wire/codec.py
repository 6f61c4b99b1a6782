"""MessagePack codec of the peer messages."""

from __future__ import annotations

import msgspec

from briarrun_wire.decode import DecodeError
from briarrun_wire.messages import PeerMessage

__all__ = ["DecodeError", "decode_message", "encode_message"]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as MessagePack."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """Decode a message, or raise ``DecodeError`` if ``data`` is not a valid one."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise DecodeError(
            f"invalid peer message of {len(data)} bytes: {error}"
        ) from error
