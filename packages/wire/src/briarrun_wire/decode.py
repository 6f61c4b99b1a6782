"""Decoding of JSON and addresses that another process wrote."""

from __future__ import annotations

import re
from typing import Annotated, TypeVar

import msgspec

MAX_BYTES = 16 * 1024 * 1024
"""Maximum size of a document, unless its reader sets a smaller one."""

MAX_DEPTH = 32
"""Maximum nesting of objects and arrays in a document."""

MAX_DETAIL_CHARS = 200
"""Length above which a description of unreadable input is cut."""

MAX_INT64 = 2**63 - 1
"""Maximum of an integer."""

MAX_AMOUNT = 1_000_000_000
"""Maximum of an amount or a count, e.g. of millicores or mebibytes."""

MAX_DURATION_S = 366 * 24 * 3600.0
"""Maximum of a duration."""

Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=MAX_INT64)]
"""Integer of 64 bits."""

Unsigned = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
"""Offset, number or time in milliseconds since 1970."""

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
"""Amount of a resource, or a count."""

DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S * 1000)]
"""Duration in milliseconds."""

DurationS = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
"""Duration in seconds."""

_T = TypeVar("_T")

_OTHER_BYTES = bytes(each for each in range(256) if each not in b'"\\[]{}')
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_HOST_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_HOST = re.compile(rf"{_HOST_LABEL}(?:\.{_HOST_LABEL}){{0,31}}")
_IPV4_BYTE = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_IPV4 = re.compile(rf"{_IPV4_BYTE}(?:\.{_IPV4_BYTE}){{3}}")
_NUMERIC_HOST = re.compile(r"[0-9.]+")
_PORT = re.compile(r"[0-9]{1,5}")


class DecodeError(ValueError):
    """Input that cannot be read; the message names what failed, in bounded length."""

    def __init__(self, detail: str) -> None:
        super().__init__(shorten(detail))


def shorten(text: str) -> str:
    """Return a text with at most ``MAX_DETAIL_CHARS`` of its characters."""
    if len(text) <= MAX_DETAIL_CHARS:
        return text
    return f"{text[:MAX_DETAIL_CHARS]}... ({len(text)} characters)"


def decode_json(data: bytes, kind: type[_T], *, max_bytes: int = MAX_BYTES) -> _T:
    """Decode a JSON document into a type, or raise ``DecodeError``."""
    if len(data) > max_bytes:
        raise DecodeError(f"document of {len(data)} bytes; at most {max_bytes} allowed")
    _check_depth(data)
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise DecodeError(str(error)) from error


def _check_depth(data: bytes) -> None:
    """Raise ``DecodeError`` if a document is nested too deeply."""
    if _openers(data) <= MAX_DEPTH:
        return
    # A string without brackets leaves a pair of quotes. If all quotes vanish in pairs, no
    # bracket is inside a string.
    brackets = data.translate(None, _OTHER_BYTES).replace(b'""', b"")
    if b'"' in brackets or b"\\" in brackets:
        brackets = _STRING.sub(b"", data).translate(None, _OTHER_BYTES)
    # Rows of numbers and strings vanish; each replacement removes at most one level.
    if _openers(brackets.replace(b"[]", b"").replace(b"{}", b"")) + 2 <= MAX_DEPTH:
        return
    depth = 0
    for mark in brackets:
        if mark in b"[{":
            depth += 1
            if depth > MAX_DEPTH:
                raise DecodeError(f"document nested more than {MAX_DEPTH} levels deep")
        else:
            depth -= 1


def _openers(data: bytes) -> int:
    return data.count(b"[") + data.count(b"{")


def check_address(address: str) -> str:
    """Return an address of the form ``host:port``, or raise ``DecodeError``."""
    host, colon, port = address.rpartition(":")
    if not colon or not port:
        raise DecodeError(f"address {address!r} has no port")
    if _PORT.fullmatch(port) is None or not 1 <= int(port) <= 65535:
        raise DecodeError(f"port {port[:10]} is not in 1 to 65535: address {address!r}")
    form = _IPV4 if _NUMERIC_HOST.fullmatch(host) else _HOST
    if form.fullmatch(host) is None:
        raise DecodeError(
            f"address {address!r}: host {host!r} is no name or IPv4 address"
        )
    return address
