"""Tests of the peer codec with complete, truncated and arbitrary messages."""

import typing

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarrun_core.model import JobKind, JobSpec, Urgency
from briarrun_core.resources import Resources
from briarrun_wire import messages
from briarrun_wire.codec import DecodeError, decode_message, encode_message
from briarrun_wire.messages import DomainLoad, PeerMessage, SlotGrantInfo

VALUES_BY_TYPE: dict[object, object] = {
    str: "text",
    int: 7,
    float: 1.5,
    float | None: 2.5,
    bool: True,
    bytes | None: b"\x00answer",
    tuple[str, ...]: ("a", "b"),
    list[typing.Any]: [{"event": 1}, None],
    dict[str, typing.Any]: {"key": [1, "x"]},
    typing.Any: {"state": [1]},
    Urgency: Urgency.LOW,
    DomainLoad | None: DomainLoad(usage_by_team={"a": Resources(cores=1)}),
    SlotGrantInfo: SlotGrantInfo(
        grant_id="g", upstream_id="u", address="a:1", start_by_wall=1, deadline_wall=2
    ),
    JobSpec: JobSpec(job_id="d.1", team="a", queue="q", kind=JobKind.GANG),
}
MESSAGES = list(typing.get_args(PeerMessage))


def build(kind: type[messages.Message]) -> PeerMessage:
    fields = msgspec.structs.fields(kind)
    built: PeerMessage = kind(**{f.name: VALUES_BY_TYPE[f.type] for f in fields})  # type: ignore[assignment]
    return built


@pytest.mark.parametrize("kind", MESSAGES, ids=lambda kind: kind.__name__)
def test_message_round_trip(kind: type[messages.Message]) -> None:
    """A field lost in encoding would change the receiver's decisions."""
    message = build(kind)
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize("kind", MESSAGES, ids=lambda kind: kind.__name__)
def test_truncated_message_is_an_error(kind: type[messages.Message]) -> None:
    """A truncated message must not be decoded as a shorter one."""
    data = encode_message(build(kind))
    for length in range(len(data)):
        with pytest.raises(DecodeError):
            decode_message(data[:length])


@settings(derandomize=True, max_examples=300)
@given(st.one_of(st.binary(max_size=300), st.recursive(
    st.none() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=8),
    max_leaves=20,
).map(msgspec.msgpack.encode)))  # fmt: skip
def test_arbitrary_bytes_are_an_error_or_a_message(data: bytes) -> None:
    """Arbitrary bytes must raise no exception other than ``DecodeError``."""
    try:
        message = decode_message(data)
    except DecodeError:
        return
    assert decode_message(encode_message(message)) == message
