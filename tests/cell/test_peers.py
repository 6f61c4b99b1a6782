"""Tests of the HTTP calls between entry VMs."""

from __future__ import annotations

import pytest

from briarrun_cell.entry_vms import EntryVm
from briarrun_cell.job_view import CountAnswer, JobAnswer, JobView, PeerUnavailable
from briarrun_cell.model import JobState, StepId
from briarrun_cell.peers import (
    ADVISE_PATH,
    DEFAULT_SETTLE_S,
    RECORD_PATH,
    STATE_PATH,
    WAITING_PATH,
    PeerAdviceProxy,
    PeerHandler,
    PeerRecordRelay,
    PeerReplicaClient,
)
from briarrun_cell.ports import AdviceUnavailable, Record
from briarrun_cell.record_writer import WriteOutcome, WriteResult
from briarrun_wire.http_client import HttpPool
from briarrun_wire.http_server import HttpHandler, HttpServer
from briarrun_wire.http_types import HttpRequest, HttpResponse
from tests.test_http_client import ScriptedServer
from tools.emulator.cell.fleet import FakeAdvisor


class _View(JobView):
    """Knows one running job and counts three waiting ones."""

    def known_state(self, job_id: str) -> JobState | None:
        return JobState.RUNNING if job_id == "known" else None

    async def state(self, job_id: str, *, wait_for_outcome: bool) -> JobAnswer:
        return JobAnswer(self.known_state(job_id), current=wait_for_outcome)

    async def confirmed_state(self, job_id: str) -> JobAnswer:
        return JobAnswer(self.known_state(job_id), current=job_id == "gone")

    async def count_waiting(self, queue: str) -> CountAnswer:
        return CountAnswer(3, current=queue == "normal")


class _Peer:
    """Process that stores the records of its peers with a fixed outcome."""

    def __init__(self, outcome: WriteOutcome | None) -> None:
        self.outcome = outcome
        self.records: list[Record] = []
        self.terms: tuple[float, int] | None = None
        self.server = HttpServer(PeerHandler(FakeAdvisor(), self._write, _View()))

    async def _write(
        self, record: Record, settle_s: float, priority: int
    ) -> WriteResult:
        self.records.append(record)
        self.terms = (settle_s, priority)
        if self.outcome is None:
            raise RuntimeError("defect of the peer")
        if self.outcome in (WriteOutcome.OVERLOAD, WriteOutcome.NEVER_RUNS):
            return WriteResult(self.outcome, 7, "too much waits")
        return WriteResult(self.outcome)


@pytest.mark.parametrize("outcome", list(WriteOutcome))
async def test_outcome_of_a_relayed_write(outcome: WriteOutcome) -> None:
    """Guards against an outcome that changes on its way between two VMs."""
    peer = _Peer(outcome)
    await peer.server.start()
    record = Record("j/1", '{"name":"Kōwhai"}'.encode())
    pool = HttpPool()
    relay = PeerRecordRelay(pool)
    answered = await relay.write_via(
        peer.server.address, record, send_within_s=1.0, timeout_s=2.0, priority=2
    )
    assert answered.outcome is outcome
    refused = outcome in (WriteOutcome.OVERLOAD, WriteOutcome.NEVER_RUNS)
    assert answered.retry_after_s == (7 if refused else None)
    assert answered.reason == ("too much waits" if refused else "")
    assert peer.records == [record]
    assert peer.terms is not None
    settle_s, priority = peer.terms
    assert 1.8 < settle_s < 2.0 and priority == 2
    await pool.close()
    await peer.server.close()


async def test_call_of_an_earlier_version_is_stored() -> None:
    """Guards against relayed writes that are refused while the cell is updated."""
    peer = _Peer(WriteOutcome.STORED)
    await peer.server.start()
    pool = HttpPool()
    result = await pool.request(
        peer.server.address,
        "POST",
        RECORD_PATH,
        body=b'{"key":"j/1","value":"{}"}',
        idempotent=True,
        timeout_s=2.0,
    )
    assert result.ok.body == b'{"outcome":"stored"}'
    assert peer.terms == (DEFAULT_SETTLE_S, 0)
    await pool.close()
    await peer.server.close()


async def test_relayed_write_without_an_answer() -> None:
    """Guards against "not stored" for a record that a failing peer may have stored."""
    peer = _Peer(None)
    await peer.server.start()
    pool = HttpPool()
    relay = PeerRecordRelay(pool)
    record = Record("j/1", b"{}")
    for address, expected in (
        (peer.server.address, WriteOutcome.UNKNOWN),
        ("127.0.0.1:1", WriteOutcome.NOT_STORED),
    ):
        answered = await relay.write_via(
            address, record, send_within_s=1.0, timeout_s=2.0
        )
        assert answered.outcome is expected
    silent = await ScriptedServer(lambda *_: None).start()
    answered = await relay.write_via(silent, record, send_within_s=1.0, timeout_s=1.0)
    assert answered.outcome is WriteOutcome.UNKNOWN
    await pool.close()
    await peer.server.close()


async def test_questions_to_a_replica() -> None:
    """Guards against a state or a count that changes on its way between two VMs."""
    peer = _Peer(WriteOutcome.STORED)
    await peer.server.start()
    pool = HttpPool()
    client = PeerReplicaClient(pool)
    vm = _vm(peer.server.address)
    for job_id, current in (("known", True), ("known", False), ("other", True)):
        answer = await client.state_at(vm, job_id, current, 2.0)
        known = JobState.RUNNING if job_id == "known" else None
        assert answer == JobAnswer(known, current)
    for job_id, current in (("known", False), ("other", False), ("gone", True)):
        answer = await client.confirmed_state_at(vm, job_id, 2.0)
        known = JobState.RUNNING if job_id == "known" else None
        assert answer == JobAnswer(known, current)
    for queue in ("normal", "urgent"):
        counted = await client.count_at(vm, queue, 2.0)
        assert counted == CountAnswer(3, current=queue == "normal")
    await pool.close()
    await peer.server.close()


async def test_replica_that_cannot_be_reached() -> None:
    """Guards against a lost replica that is taken for one that knows no job."""
    pool = HttpPool()
    client = PeerReplicaClient(pool)
    with pytest.raises(PeerUnavailable):
        await client.state_at(_vm("127.0.0.1:1"), "known", True, 0.5)
    with pytest.raises(PeerUnavailable):
        await client.count_at(_vm("127.0.0.1:1"), "normal", 0.5)
    await pool.close()


def _vm(address: str) -> EntryVm:
    return EntryVm(vm="replica", address=address, failure_domain="", region="")


@pytest.mark.parametrize("path", [RECORD_PATH, STATE_PATH, WAITING_PATH, ADVISE_PATH])
@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"key":1,"value":"x"}',
        b"\xff\xfe",
        b'{"key":"j/1"}',
        b'{"x":' + b"[" * 100_000,
        b'{"key":"x/1","value":"{}"}',
        b'{"key":"j/' + b"1" * 300 + b'","value":"{}"}',
    ],
)
async def test_malformed_call_of_a_peer_is_refused(path: str, body: bytes) -> None:
    """Guards against a malformed message that ends the process or is stored."""
    peer = _Peer(WriteOutcome.STORED)
    await peer.server.start()
    pool = HttpPool()
    result = await pool.request(
        peer.server.address,
        "POST",
        path,
        body=body,
        idempotent=True,
        timeout_s=2.0,
    )
    assert result.is_ok() and result.ok.status == 400
    assert not peer.records
    await pool.close()
    await peer.server.close()


class _FixedAnswer(HttpHandler):
    """Answers every call with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def handle(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, self._body)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[" * 100_000,
        b'{"x":' + b"[" * 100_000,
        b'{"state":7,"current":true,"waiting":-1}',
        b'{"waiting":' + b"9" * 400 + b',"current":true}',
        b'{"tickets_by_worker":{},"validity_s":-1}',
        b'{"tickets_by_worker":{},"validity_s":1e300}',
    ],
)
async def test_odd_answer_of_a_peer_counts_as_none(body: bytes) -> None:
    """Guards against an answer that ends the caller's request with another error."""
    server = HttpServer(_FixedAnswer(body))
    await server.start()
    pool = HttpPool()
    vm = _vm(server.address)
    client = PeerReplicaClient(pool)
    with pytest.raises(PeerUnavailable):
        await client.state_at(vm, "1", False, 2.0)
    with pytest.raises(PeerUnavailable):
        await client.count_at(vm, "q", 2.0)
    with pytest.raises(AdviceUnavailable):
        proxy = PeerAdviceProxy("other", FakeAdvisor(), pool)
        await proxy.ask_via(vm, StepId("1", 0, 0), ["w"], 2.0)
    written = await PeerRecordRelay(pool).write_via(
        server.address, Record("j/1", b"{}"), send_within_s=1.0, timeout_s=2.0
    )
    assert written.outcome is WriteOutcome.UNKNOWN
    await pool.close()
    await server.close()
