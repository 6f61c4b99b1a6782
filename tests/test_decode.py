"""Tests of the decoding of documents that another process wrote."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarrun_wire.decode import MAX_DEPTH, DecodeError, check_address, decode_json

TEXT = st.text(st.sampled_from('[]{}"\\,:a'), max_size=12)


def _nested(value: Any, depth: int) -> Any:
    for level in range(depth):
        value = [value] if level % 2 else {"k": value}
    return value


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(texts=st.lists(TEXT, max_size=40), depth=st.integers(0, 2 * MAX_DEPTH))
def test_documents_are_read_up_to_the_maximum_depth(
    texts: list[str], depth: int
) -> None:
    """Guards against a depth that depends on the texts, or on many flat values."""
    document: Any = [*texts, *[[text] for text in texts], _nested(texts, depth)]
    data = json.dumps(document).encode()
    if depth + 2 <= MAX_DEPTH:
        assert decode_json(data, Any) == document
    else:
        with pytest.raises(DecodeError, match="nested"):
            decode_json(data, Any)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"[" * 100_000, "nested"),
        (b"]" * 100_000 + b"[" * 100_000, "malformed"),
        (b"\\" * 100_000 + b"[" * 100_000, "malformed|nested"),
        (b'"' + b"[" * 100_000, "truncated"),
        (b"9" * 5_000, "range"),
        (b"\xff", "malformed"),
        (b"", "truncated"),
        (b"[1,2,3,4]", "9 bytes; at most 8"),
    ],
)
def test_unreadable_document_is_one_error(data: bytes, message: str) -> None:
    """Guards against other errors, and against messages of any length."""
    max_bytes = 8 if data.startswith(b"[1") else 1_000_000
    with pytest.raises(DecodeError, match=message) as raised:
        decode_json(data, int if data[:1] == b"9" else Any, max_bytes=max_bytes)
    assert len(str(raised.value)) <= 250


def test_parser_that_recurses_too_deeply_is_the_same_error() -> None:
    """Guards against a document within the bounds that ends a deep call."""
    data = json.dumps(_nested(1, MAX_DEPTH)).encode()

    def at_depth(calls: int) -> Any:
        if calls:
            return at_depth(calls - 1)
        return decode_json(data, Any)

    errors = set()
    for calls in range(700, 1000):
        try:
            at_depth(calls)
        except DecodeError:
            errors.add("decode")
        except RecursionError:
            errors.add("stack")  # Raised before the decoder was reached.
            break
    assert errors == {"decode", "stack"}


@pytest.mark.parametrize("address", ["a", "a:", "a:0", "a:65536", "a b:1", "1.2.3:1"])
def test_addresses_that_can_not_be_reached_are_errors(address: str) -> None:
    """Guards against calls to an address that no socket accepts."""
    with pytest.raises(DecodeError):
        check_address(address)
