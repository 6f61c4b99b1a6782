"""Tests of the readers of the store with arbitrary bytes and mutated records."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarrun_cell.clock import LoopClock
from briarrun_cell.config_view import ConfigView
from briarrun_cell.election import Election
from briarrun_cell.entry_vms import EntryVmTable
from briarrun_cell.job_table import JobTable
from briarrun_cell.ports import Record, Topic
from briarrun_cell.registry import WorkerRegistry
from briarrun_cell.stream import JobStreamListener
from briarrun_cell.tail import TopicListener
from briarrun_platform.decoding import PlatformDecoder
from tests.cell.test_odd_claims import Role, claim_value
from tests.cell.test_odd_entries import GOOD, job_value, new_registry, vm_value
from tools.emulator.cell.cell import FakeCell
from tools.emulator.cell.store import StoreView

pytestmark = pytest.mark.looptime


def _listeners() -> dict[Topic, tuple[TopicListener, str, bytes]]:
    """Return a listener of each topic, and a good record of it."""
    election = Election(
        StoreView(FakeCell(1).store), LoopClock(), "vm0", "vm0:1", "vm0", Role()
    )
    return {
        Topic.WORKERS: (new_registry(), "i-1", GOOD),
        Topic.CONFIG: (ConfigView(PlatformDecoder()), "config", b'{"version": 7}'),
        Topic.VMS: (EntryVmTable(), "a", vm_value()),
        Topic.JOBS: (JobStreamListener(JobTable()), "j/1", job_value()),
        Topic.HOLDER: (election, "holder", claim_value()),
    }


def _state(listener: TopicListener) -> object:
    match listener:
        case WorkerRegistry():
            return listener.by_id.get("last")
        case ConfigView():
            return listener.config.version >= 2**50
        case EntryVmTable():
            return listener.by_name.get("last")
        case JobStreamListener():
            return listener._table.by_id.get("last")
        case Election():
            return listener._last_claim
        case _:
            raise AssertionError(listener)


@st.composite
def _mutated(draw: st.DrawFn, good: bytes) -> bytes:
    """Return a good record in which some bytes are replaced or removed."""
    start = draw(st.integers(0, len(good)))
    end = draw(st.integers(start, min(len(good), start + 12)))
    tokens = (
        b"null",
        b"-1",
        b"1e999",
        b"9" * 400,
        b'"',
        b"{}",
        b"\\u0000",
    )
    put = draw(st.one_of(st.sampled_from(tokens), st.binary(max_size=8)))
    return good[:start] + put + good[end:]


def _extended(good: bytes, depth: int) -> bytes:
    """Return a good record with a further field that is nested ``depth`` deep."""
    return b'{"further":' + b"[" * depth + b"]" * depth + b"," + good[1:]


@pytest.mark.parametrize("topic", list(Topic))
@settings(max_examples=60, derandomize=True, deadline=None, database=None)
@given(data=st.data())
async def test_any_bytes_are_followed_by_good_records(
    topic: Topic, data: st.DataObject
) -> None:
    """Guards against bytes that end a reader or hide the records behind them."""
    listener, key, good = _listeners()[topic]
    extended = st.integers(1, 2_000).map(lambda depth: _extended(good, depth))
    odd = data.draw(
        st.lists(st.one_of(st.binary(max_size=40), _mutated(good), extended))
    )
    records = [Record(key, value, offset) for offset, value in enumerate(odd)]
    listener.on_snapshot(records[: len(odd) // 2], 0.0)
    listener.on_records(records[len(odd) // 2 :], 0.0)
    last_key = {
        Topic.CONFIG: key,
        Topic.HOLDER: key,
        Topic.JOBS: "j/last",
    }.get(topic, "last")
    if topic is Topic.CONFIG:
        good = b'{"version": %d}' % 2**62
    listener.on_records([Record(last_key, good, len(odd))], 0.0)
    assert _state(listener)
